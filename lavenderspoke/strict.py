"""Converters that take a value of the exact type and nothing that resembles it.

cattrs turns "5" and True into 5 where a whole number belongs. What comes from
outside is refused instead: a guess at what its writer meant is worse than none. So is
what can be read but not written again: a number that no message holds, or half a
surrogate pair.
"""

import math
from collections.abc import Callable
from typing import TypeVar

import cattrs

# The whole numbers that messages between daemons hold.
INT_MIN, INT_MAX = -(2**63), 2**64 - 1

ConverterT = TypeVar("ConverterT", bound=cattrs.Converter)


def strict(converter: ConverterT) -> ConverterT:
    """Make a converter refuse scalars of another type; it raises TypeError.

    >>> strict(cattrs.Converter()).structure(5, int)
    5
    >>> strict(cattrs.Converter()).structure("5", int)
    Traceback (most recent call last):
    ...
    TypeError: str where int belongs
    """
    for wanted in (bool, bytes):
        converter.register_structure_hook(wanted, _exactly(wanted))
    converter.register_structure_hook(int, structure_int)
    converter.register_structure_hook(str, structure_str)
    converter.register_structure_hook(float, structure_float)
    return converter


def _exactly(wanted: type) -> Callable:
    def structure(value, _):
        _check_type(value, wanted)
        return value

    return structure


def _check_type(value, wanted: type) -> None:
    if type(value) is not wanted:
        raise TypeError(f"{type(value).__name__} where {wanted.__name__} belongs")


def structure_int(value, kind: type[int] = int) -> int:
    """Return a whole number that fits into 64 bits; raise TypeError for others.

    A `kind` such as an enumeration is made of it.

    >>> structure_int(2**64)
    Traceback (most recent call last):
    ...
    TypeError: a whole number of at most 64 bits belongs here
    """
    _check_type(value, int)
    if not INT_MIN <= value <= INT_MAX:
        raise TypeError("a whole number of at most 64 bits belongs here")
    return value if kind is int else kind(value)


def structure_str(value, kind: type[str] = str) -> str:
    """Return text that can be encoded; raise TypeError for others.

    A `kind` such as an enumeration is made of it.

    >>> structure_str("\\ud800")
    Traceback (most recent call last):
    ...
    TypeError: text that can be encoded belongs here
    """
    _check_type(value, str)
    if not value.isascii() and not _is_encodable(value):
        raise TypeError("text that can be encoded belongs here")
    return value if kind is str else kind(value)


def structure_float(value, _=None) -> float:
    """Return a finite number as a float; raise TypeError for others.

    A NaN deadline compares false with everything, so a request that carried one would
    never expire; no field has a use for it or for infinity.

    >>> structure_float(10**400)
    Traceback (most recent call last):
    ...
    TypeError: a finite number belongs here
    """
    if type(value) not in (float, int) or not _is_finite(value):
        raise TypeError("a finite number belongs here")
    return float(value)


def _is_finite(value: float | int) -> bool:
    try:
        return math.isfinite(value)
    except OverflowError:
        # A whole number that no float holds.
        return False


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
