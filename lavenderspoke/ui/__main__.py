"""Lets `python -m lavenderspoke.ui` run the command line."""

from lavenderspoke.ui import main

main()
