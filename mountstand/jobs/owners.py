"""Which processes may own jobs, and in which order daemons adopt one.

The owner of a job reads its document, so a job that may be served in some regions alone goes to
daemons there.
"""

from __future__ import annotations

from collections.abc import Callable

from mountstand.hashing import rendezvous_weight
from mountstand.serving.residency import ANYWHERE, Regions


class Owners:
    """Who may own jobs, as this daemon believes.

    ``is_in_regions`` returns whether a daemon is in one of some regions.
    """

    def __init__(
        self,
        own_token: str,
        live_tokens: Callable[[], dict[str, str]],
        own_name: str,
        serving: Callable[[], frozenset[str]] = frozenset,
        is_in_regions: Callable[[str, Regions], bool] = lambda name, regions: True,
    ) -> None:
        self.own_token = own_token
        self._live_tokens = live_tokens
        self._own_name = own_name
        self._serving = serving
        self._is_in_regions = is_in_regions

    def is_live(self, token: str) -> bool:
        """Return whether the process named ``token`` is believed to run."""
        return token == self.own_token or token in self._live_tokens().values()

    def may_own(self, regions: Regions | None) -> bool:
        """Return whether this daemon may own jobs that are served in ``regions`` alone."""
        return regions is None or self._is_in_regions(self._own_name, regions)

    def rank(self, job_id: str, regions: Regions | None = ANYWHERE) -> int:
        """Return how many live daemons come before this one for a job, of those in ``regions``.

        Daemons that serve callers come before all others, since they know best which slots are
        free; after a loss of power, jobs would otherwise go to daemons that are told seldom.
        """
        names = set(self._live_tokens()) | {self._own_name}
        if regions is not None:
            names = {name for name in names if self._is_in_regions(name, regions)}
        serving = names & self._serving()
        if self._own_name in serving:
            return self._rank_among(serving, job_id)
        return len(serving) + self._rank_among(names - serving, job_id)

    def _rank_among(self, names: set[str], job_id: str) -> int:
        own = rendezvous_weight(job_id, self._own_name)
        return sum(rendezvous_weight(job_id, name) > own for name in names)
