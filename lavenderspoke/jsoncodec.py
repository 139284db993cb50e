"""Strict decoding of JSON that comes from outside into attrs classes.

Numbers aren't taken for strings nor strings for numbers, and a list is wanted
where a class has a tuple. Fields that the class doesn't have are passed over,
so that the platform may add some.
"""

import json
from typing import TypeVar, get_origin

import attrs
import cattrs
from result import Err, Ok, Result

from lavenderspoke.strict import strict

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class DecodeError:
    """Bytes from outside that aren't what was expected."""

    detail: str


def _is_tuple(kind: object) -> bool:
    return get_origin(kind) is tuple


def _strict_tuple(kind: type):
    item_kind = kind.__args__[0]

    def structure(value: object, _: type) -> tuple:
        if type(value) is not list:
            raise TypeError("a list belongs here")
        return tuple(_converter.structure(item, item_kind) for item in value)

    return structure


_converter = strict(cattrs.Converter(detailed_validation=False))
_converter.register_structure_hook_factory(_is_tuple, _strict_tuple)


def decode(data: bytes, cls: type[T]) -> Result[T, DecodeError]:
    """Return the instance that the JSON text describes.

    >>> from lavenderspoke.model import RequestId
    >>> decode(b'{"value": "r1"}', RequestId).unwrap()
    RequestId(value='r1')
    >>> decode(b'{"value": 1}', RequestId).is_err()
    True
    """
    try:
        value = json.loads(data)
    except Exception as error:
        # Among others, deeply nested JSON is valid, but exceeds the recursion limit.
        return Err(_error(error))
    return structured(value, cls)


def structured(value: object, cls: type[T]) -> Result[T, DecodeError]:
    """Return the instance that a part of a decoded JSON text describes."""
    try:
        return Ok(_converter.structure(value, cls))
    except Exception as error:
        # cattrs and its generated hooks fail in ways of their own.
        return Err(_error(error))


def _error(error: Exception) -> DecodeError:
    return DecodeError(detail=f"{type(error).__name__}: {error}"[:200])


def encode(value: object) -> bytes:
    """Return JSON text for an attrs instance or plain data."""
    return json.dumps(_converter.unstructure(value)).encode()
