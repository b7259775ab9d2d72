"""Time-outs that follow how long a thing usually takes."""

from __future__ import annotations

SMOOTHING = 0.2
"""Weight of a new time that is shorter than usual; a longer one counts at once."""

LOSS_FACTOR = 1.5
"""A loss raises the usual time by this much, so that what is only slow is waited for in the end."""


class AdaptiveTimeout:
    """A multiple of the usual time, within bounds; all in seconds."""

    def __init__(self, shortest_s: float, longest_s: float, factor: float) -> None:
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._factor = factor
        self._usual_s = shortest_s / factor

    @property
    def value_s(self) -> float:
        """The time-out to use now."""
        return min(self._longest_s, max(self._shortest_s, self._factor * self._usual_s))

    @property
    def usual_s(self) -> float:
        """How long it usually takes."""
        return self._usual_s

    def note(self, duration_s: float) -> None:
        """Take note of how long it took."""
        if duration_s > self._usual_s:
            self._usual_s = duration_s
        else:
            self._usual_s += SMOOTHING * (duration_s - self._usual_s)

    def note_loss(self) -> None:
        """Take note that a time-out ran out."""
        self._usual_s = min(self._longest_s, LOSS_FACTOR * self._usual_s)
