"""Decides which processes may own jobs, and in which order daemons try to adopt one.

The owner of a job reads the job's submitted document, so a job restricted to certain regions is
owned only by daemons in those regions.
"""

from __future__ import annotations

from collections.abc import Callable

from mountstand.hashing import rendezvous_weight
from mountstand.serving.residency import ANYWHERE, Regions


class OwnershipRules:
    """Ownership rules for jobs, as seen from this daemon.

    ``live_tokens`` returns the process tokens of live daemons by daemon name, and ``serving_names``
    the names of the daemons that currently handle client requests. ``is_in_regions`` returns
    whether the named daemon is in one of the given regions.
    """

    def __init__(
        self,
        own_token: str,
        live_tokens: Callable[[], dict[str, str]],
        own_name: str,
        serving_names: Callable[[], frozenset[str]] = frozenset,
        is_in_regions: Callable[[str, Regions], bool] = lambda name, regions: True,
    ) -> None:
        self.own_token = own_token
        self._live_tokens = live_tokens
        self._own_name = own_name
        self._serving_names = serving_names
        self._is_in_regions = is_in_regions

    def is_live(self, token: str) -> bool:
        """Return whether the process with this token is considered live."""
        return token == self.own_token or token in self._live_tokens().values()

    def may_own(self, regions: Regions | None) -> bool:
        """Return whether this daemon may own jobs restricted to ``regions``."""
        return regions is None or self._is_in_regions(self._own_name, regions)

    def rank(self, job_id: str, regions: Regions | None = ANYWHERE) -> int:
        """Return this daemon's position, from 0, in the order in which daemons adopt a job.

        Only live daemons in ``regions`` are ranked, by rendezvous hashing; ``None`` means no
        restriction. Daemons that handle client requests rank before all others, because they know
        best which slots are free. Without this preference, jobs adopted after a power loss would
        go to daemons that receive load information rarely.
        """
        names = set(self._live_tokens()) | {self._own_name}
        if regions is not None:
            names = {name for name in names if self._is_in_regions(name, regions)}
        serving_names = names & self._serving_names()
        if self._own_name in serving_names:
            return self._rank_among(serving_names, job_id)
        return len(serving_names) + self._rank_among(names - serving_names, job_id)

    def _rank_among(self, names: set[str], job_id: str) -> int:
        own_weight = rendezvous_weight(job_id, self._own_name)
        return sum(rendezvous_weight(job_id, name) > own_weight for name in names)
