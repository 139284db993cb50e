"""Converters that take a value of the exact type and nothing that resembles it.

cattrs turns "5" and True into 5 where a whole number belongs. What comes from
outside is refused instead: a guess at what its writer meant is worse than none.
"""

import math
from collections.abc import Callable
from typing import TypeVar

import cattrs

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
    for wanted in (str, int, bool, bytes):
        converter.register_structure_hook(wanted, _exactly(wanted))
    converter.register_structure_hook(float, _structure_float)
    return converter


def _exactly(wanted: type) -> Callable:
    def structure(value, _):
        if type(value) is not wanted:
            raise TypeError(f"{type(value).__name__} where {wanted.__name__} belongs")
        return value

    return structure


def _structure_float(value, _) -> float:
    # A NaN deadline compares false with everything, so a request that carried
    # one would never expire; no field has a use for it or for infinity.
    if type(value) not in (float, int) or not math.isfinite(value):
        raise TypeError("a finite number belongs here")
    return float(value)
