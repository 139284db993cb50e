"""Which daemons there are: the platform's list, the roster, and who talks to whom."""
