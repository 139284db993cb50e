"""What the daemons tell of themselves: logs, metrics, a request's story."""
