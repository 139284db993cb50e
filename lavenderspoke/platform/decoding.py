"""Decodes JSON from the platform: a value or an error is returned, nothing is raised.

All that comes from the platform as JSON is decoded here.
"""

import json
from typing import TypeVar

from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from lavenderspoke.strict import strict

# Characters of an error that are kept.
DETAIL_MAX = 200

RecordT = TypeVar("RecordT")

_converter = strict(make_converter(detailed_validation=False))


def parse(data: bytes) -> Result[object, str]:
    """Return the decoded JSON value, or an error message.

    >>> parse(b"[" * 100_000).is_err()
    True
    """
    try:
        return Ok(json.loads(data))
    except Exception as error:
        # Among others, deeply nested JSON is valid, but exceeds the recursion limit.
        return Err(error_text(error))


def parse_as(data: bytes, kind: type[RecordT]) -> Result[RecordT, str]:
    """Return the decoded JSON object as an instance of `kind`, or an error message.

    Unknown fields are ignored; a missing field or one of another type is an error.
    Dashes in field names are read as underscores.
    """
    return parse(data).and_then(lambda value: _object(value, kind))


def parse_value(data: bytes, kind: type[RecordT]) -> Result[RecordT, str]:
    """Return the decoded JSON value as a `kind` of plain type, or an error message.

    >>> parse_value(b"120.5", float), parse_value(b"[[1]]", list[list[str]]).is_err()
    (Ok(120.5), True)
    """
    return parse(data).and_then(lambda value: structured(value, kind))


def structured(value: object, kind: type[RecordT]) -> Result[RecordT, str]:
    """Return a part of a decoded JSON value as an instance of `kind`, or an error."""
    try:
        return Ok(_converter.structure(value, kind))
    except Exception as error:
        # cattrs and its generated hooks fail in ways of their own.
        return Err(error_text(error))


def _object(value: object, kind: type[RecordT]) -> Result[RecordT, str]:
    if not isinstance(value, dict):
        return Err(f"{type(value).__name__} instead of an object")
    fields = {name.replace("-", "_"): each for name, each in value.items()}
    return structured(fields, kind)


def error_text(error: Exception) -> str:
    """Return what a decoder says of an error."""
    return f"{type(error).__name__}: {error}"[:DETAIL_MAX]
