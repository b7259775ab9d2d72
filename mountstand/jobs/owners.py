"""Which processes may own jobs, and in which order daemons adopt one."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.hashing import rendezvous_weight


class Owners:
    """Who may own jobs, as this daemon believes."""

    def __init__(
        self,
        own_token: str,
        live_tokens: Callable[[], dict[str, str]],
        own_name: str,
        serving: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self.own_token = own_token
        self._live_tokens = live_tokens
        self._own_name = own_name
        self._serving = serving

    def is_live(self, token: str) -> bool:
        """Return whether the process named ``token`` is believed to run."""
        return token == self.own_token or token in self._live_tokens().values()

    def rank(self, job_id: str) -> int:
        """Return how many live daemons come before this one for a job.

        Daemons that serve callers come before all others, since they know best which slots are
        free; after a loss of power, jobs would otherwise go to daemons that are told seldom.
        """
        names = set(self._live_tokens()) | {self._own_name}
        serving = names & self._serving()
        if self._own_name in serving:
            return self._rank_among(serving, job_id)
        return len(serving) + self._rank_among(names - serving, job_id)

    def _rank_among(self, names: set[str], job_id: str) -> int:
        own = rendezvous_weight(job_id, self._own_name)
        return sum(rendezvous_weight(job_id, name) > own for name in names)
