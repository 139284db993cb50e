"""How many requests an upstream is given at a time, learned from how it answers."""
