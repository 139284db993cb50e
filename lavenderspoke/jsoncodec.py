"""Strict decoding of JSON that comes from outside into attrs classes.

Numbers aren't taken for strings nor strings for numbers, and a list is wanted
where a class has a tuple. Fields that the class doesn't have are passed over,
so that the platform may add some.
"""

import json
import math
from typing import TypeVar, get_origin

import attrs
import cattrs
from result import Err, Ok, Result

T = TypeVar("T")
_PLAIN = (int, str, bool)


@attrs.frozen(kw_only=True)
class DecodeError:
    """Bytes from outside that aren't what was expected."""

    detail: str


def _strict(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise ValueError(f"{kind.__name__} expected, found {value!r:.40}")
    return value


def _strict_float(value: object, _: type) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"number expected, found {value!r:.40}")
    return float(value)


def _is_tuple(kind: object) -> bool:
    return get_origin(kind) is tuple


def _strict_tuple(kind: type):
    item_kind = kind.__args__[0]

    def structure(value: object, _: type) -> tuple:
        _strict(value, list)
        return tuple(_converter.structure(item, item_kind) for item in value)

    return structure


_converter = cattrs.Converter(detailed_validation=False)
_converter.register_structure_hook_func(lambda kind: kind in _PLAIN, _strict)
_converter.register_structure_hook_func(lambda kind: kind is float, _strict_float)
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
        return Ok(_converter.structure(json.loads(data), cls))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        return Err(DecodeError(detail=f"{type(error).__name__}: {error}"[:200]))
    except (RecursionError, cattrs.BaseValidationError) as error:
        return Err(DecodeError(detail=type(error).__name__))


def encode(value: object) -> bytes:
    """Return JSON text for an attrs instance or plain data."""
    return json.dumps(_converter.unstructure(value)).encode()
