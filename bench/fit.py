"""Straight lines through measured points."""

import math

import attrs
import numpy


@attrs.frozen(kw_only=True)
class Fit:
    """A line's slope and intercept, the slope's standard error, and R squared."""

    slope: float
    error: float
    intercept: float
    r_squared: float


def fit_line(sizes: list[float], values: list[float]) -> Fit:
    """Fit a line by least squares; needs three points at least.

    >>> fit = fit_line([1, 2, 3], [2, 4, 6])
    >>> round(fit.slope, 6), round(fit.intercept, 6)
    (2.0, 0.0)
    """
    x, y = numpy.asarray(sizes, float), numpy.asarray(values, float)
    slope, intercept = numpy.polyfit(x, y, 1)
    residual = float(((y - slope * x - intercept) ** 2).sum())
    spread_x = float(((x - x.mean()) ** 2).sum())
    spread_y = float(((y - y.mean()) ** 2).sum())
    return Fit(
        slope=float(slope),
        error=math.sqrt(residual / (len(x) - 2) / spread_x),
        intercept=float(intercept),
        r_squared=1.0 - residual / spread_y if spread_y else 1.0,
    )
