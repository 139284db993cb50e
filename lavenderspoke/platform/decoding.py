"""JSON from the platform, taken apart without ever raising."""

import json
from typing import TypeVar

import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from lavenderspoke.strict import strict

RecordT = TypeVar("RecordT")

_converter = strict(make_converter(detailed_validation=False))


def parse(data: bytes) -> Result[object, str]:
    """Return the JSON value in these bytes, or what is wrong with them.

    >>> parse(b"[" * 100_000).is_err()
    True
    """
    try:
        return Ok(json.loads(data))
    except (ValueError, RecursionError) as error:
        # Deep nesting isn't malformed, and the parser gives up on it all the same.
        return Err(f"{type(error).__name__}: {error}")


def parse_as(data: bytes, kind: type[RecordT]) -> Result[RecordT, str]:
    """Return the object in these bytes as one of that class.

    Fields that the class doesn't name are ignored; a missing one, or one of
    another type, is an error. Names are written with dashes there.
    """
    return parse(data).and_then(lambda value: _structured(value, kind))


def _structured(value: object, kind: type[RecordT]) -> Result[RecordT, str]:
    if not isinstance(value, dict):
        return Err(f"{type(value).__name__} where an object belongs")
    try:
        fields = {name.replace("-", "_"): each for name, each in value.items()}
        return Ok(_converter.structure(fields, kind))
    except (cattrs.BaseValidationError, LookupError, TypeError, ValueError) as error:
        return Err(f"{type(error).__name__}: {error}")
