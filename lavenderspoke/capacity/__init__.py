"""Concurrency limits of upstreams, learned from their latencies."""
