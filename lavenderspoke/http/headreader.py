"""Reads the head of a response line by line, and takes only what has one meaning.

The standard library's parser leaves out all fields behind a line that is none, keeps
spaces behind a value, and takes a carriage return within a line for its end.
"""

import http.client
import io
import re

# A field on one line, or the end of the fields. Continued lines are obsolete, and
# RFC 9112, section 5.2, lets a gateway reject them.
FIELD_LINE = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*)?\r?\n")
SPACE = b" \t\r\n"


class HeadReader:
    """Reads a head, whose lines must come whole and be fields.

    What `read` begins is the status line, which its reader checks.
    """

    def __init__(self, fp: io.BufferedReader):
        self._fp = fp
        self._is_in_status_line = False

    def read(self, size: int) -> bytes:
        self._is_in_status_line = True
        return self._fp.read(size)

    def readline(self, limit: int) -> bytes:
        line = self._fp.readline(limit)
        if not line.endswith(b"\n"):
            raise http.client.HTTPException("the head ended within a line")
        if self._is_in_status_line:
            self._is_in_status_line = False
            return line
        if not FIELD_LINE.fullmatch(line):
            raise http.client.HTTPException("a line of the head is no field")
        return line.rstrip(SPACE) + b"\r\n"
