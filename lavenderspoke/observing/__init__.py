"""Observability: logs, metrics, and analysis of log files."""
