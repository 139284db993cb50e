"""Small things that any module may use; this module imports no other."""

import attrs
from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url


@attrs.frozen(kw_only=True)
class Mistake:
    """A mistake in a file that a person wrote, with all needed to mend it.

    >>> print(Mistake(file="a.yaml", line=3, field="tiers[0].rank",
    ...               found="'high'", allowed="a whole number"))
    a.yaml:3: tiers[0].rank: found 'high', allowed: a whole number
    """

    file: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}: {self.field}: "
            f"found {self.found}, allowed: {self.allowed}"
        )


class UserError(Exception):
    """An error that its reader can mend; shown line by line, with no traceback.

    `exit_status` is the command's.
    """

    exit_status = 1

    def __init__(self, *lines: object):
        super().__init__(*lines)
        self.lines = [str(line) for line in lines]


def is_http_url(text: str) -> bool:
    """Return whether the text is a URL that an HTTP client can use.

    >>> is_http_url("http://10.0.0.2:7500"), is_http_url("10.0.0.2:7500")
    (True, False)
    """
    try:
        url = parse_url(text)
    except LocationParseError:
        return False
    return url.scheme in ("http", "https") and bool(url.host)
