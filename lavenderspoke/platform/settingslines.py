"""The lines of the platform's settings file, taken apart."""

CALLERS_ADDRESS_KEY = "listen.frontend"


def parse_lines(text: str) -> dict[str, str]:
    """Return the values by name; comments and lines without a value are left out.

    >>> parse_lines("# names\\na.b = 1,2\\nother")
    {'a.b': '1,2'}
    """
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values
