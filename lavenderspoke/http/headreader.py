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
CRLF = b"\r\n"
LF = b"\n"


class HeadReader:
    """Reads a head, whose lines must come whole, be fields and end in the same way.

    A line feed that came twice would otherwise end the head early: the fields behind it
    would pass for content.
    What `read` begins is the status line, which its reader checks.
    """

    def __init__(self, fp: io.BufferedReader):
        self._fp = fp
        self._is_in_status_line = False
        self._line_end = b""

    def read(self, size: int) -> bytes:
        self._is_in_status_line = True
        return self._fp.read(size)

    def readline(self, limit: int) -> bytes:
        line = self._fp.readline(limit)
        if not line.endswith(b"\n"):
            raise http.client.HTTPException("the head ended within a line")
        line_end = CRLF if line.endswith(CRLF) else LF
        if self._is_in_status_line:
            self._is_in_status_line = False
            self._line_end = line_end
            if b"\r" in line.removesuffix(line_end):
                # The first field has lost its beginning, or the line its end.
                raise http.client.HTTPException("a line's end within the status line")
            return line
        if line_end != self._line_end:
            raise http.client.HTTPException("the head's lines end in different ways")
        if not FIELD_LINE.fullmatch(line):
            raise http.client.HTTPException("a line of the head is no field")
        return line.rstrip(SPACE) + b"\r\n"
