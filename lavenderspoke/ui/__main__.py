"""Runs the command line as `python -m lavenderspoke.ui`."""

from lavenderspoke.ui import main

if __name__ == "__main__":
    main()
