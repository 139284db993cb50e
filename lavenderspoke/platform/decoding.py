"""Decodes JSON from the platform; malformed input is returned as an error."""

import json
from typing import TypeVar

import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from lavenderspoke.strict import strict

RecordT = TypeVar("RecordT")

_converter = strict(make_converter(detailed_validation=False))


def parse(data: bytes) -> Result[object, str]:
    """Return the decoded JSON value, or an error message.

    >>> parse(b"[" * 100_000).is_err()
    True
    """
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError) as error:
        # Deeply nested JSON is valid, but exceeds the parser's recursion limit.
        return Err(f"{type(error).__name__}: {error}")


def parse_as(data: bytes, kind: type[RecordT]) -> Result[RecordT, str]:
    """Return the decoded JSON object as an instance of `kind`, or an error message.

    Unknown fields are ignored; a missing field or one of another type is an error.
    Dashes in field names are read as underscores.
    """
    return parse(data).and_then(lambda value: _structured(value, kind))


def _structured(value: object, kind: type[RecordT]) -> Result[RecordT, str]:
    if not isinstance(value, dict):
        return Err(f"{type(value).__name__} instead of an object")
    try:
        fields = {name.replace("-", "_"): each for name, each in value.items()}
        return Ok(_converter.structure(fields, kind))
    except (cattrs.BaseValidationError, LookupError, TypeError, ValueError) as error:
        return Err(f"{type(error).__name__}: {error}")
