"""Splits the platform's settings file into names and values."""

CALLERS_ADDRESS_KEY = "listen.frontend"


def parse_lines(text: str) -> dict[str, str]:
    """Return the values by name; comments and lines without `=` are skipped.

    >>> parse_lines("# names\\na.b = 1,2\\nother")
    {'a.b': '1,2'}
    """
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values
