"""Small statistics for experiments."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile; 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, math.ceil(percent / 100 * len(ordered)))
    return ordered[rank - 1]
