"""What an agent's upstream is to it, and how the kinds of upstreams are spoken to."""
