"""What a process may use of its machine, and what it holds for clients."""
