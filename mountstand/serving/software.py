"""Which software runs at the workers of a service, now and lately.

Workers of several software versions may serve one service side by side. What two versions write
doesn't fit together, so a stream or an item's output goes on only at the version that began it. A
service and a version together are named by a key, which daemons exchange.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection
from dataclasses import dataclass

MAX_RETENTION_S = 3600.0
"""How long software is remembered after its last worker was listed."""


def software_key(service: str, version: str) -> int:
    """Return the number that stands for a version of a service's software.

    Workers that name no version count as one version.
    """
    return zlib.crc32(f"{service}\x00{version}".encode())


@dataclass(slots=True)
class _Sighting:
    service: str
    last_s: float


class SoftwareHistory:
    """When workers with each software were last listed. Times are those of the local clock."""

    __slots__ = ("_known_since_s", "_sighting_by_key", "_stored_since_s", "_unseen_s")

    def __init__(self) -> None:
        self._sighting_by_key: dict[int, _Sighting] = {}
        self._known_since_s: float | None = None
        self._stored_since_s: float | None = None
        self._unseen_s = float("-inf")

    def watch_from(self, now_s: float) -> None:
        """Note that workers may have come and gone unnoticed before ``now_s``."""
        self._known_since_s = now_s

    def note_unseen(self, now_s: float) -> None:
        """Note that a worker whose software is not known was listed until ``now_s``.

        What the store tells of software comes too late for one that was listed for a moment.
        """
        self._unseen_s = now_s

    def note_stored_since(self, since_s: float) -> None:
        """Note that the store tells of all software that any daemon has seen since."""
        self._stored_since_s = since_s

    def note(self, service: str, key: int, now_s: float) -> None:
        """Note that a worker of ``service`` with the software ``key`` is listed."""
        sighting = self._sighting_by_key.setdefault(key, _Sighting(service, now_s))
        sighting.last_s = max(sighting.last_s, now_s)

    def expire(self, now_s: float) -> None:
        """Forget software whose last worker left long ago."""
        self._sighting_by_key = {
            key: sighting
            for key, sighting in self._sighting_by_key.items()
            if now_s - sighting.last_s <= MAX_RETENTION_S
        }

    def knows_since(self, since_s: float) -> bool:
        """Return whether all software that was listed since ``since_s`` is known."""
        known_since_s = (self._known_since_s, self._stored_since_s)
        return any(each is not None and each <= since_s for each in known_since_s)

    def has_several(self, since_s: float) -> bool:
        """Return whether any service had workers with several softwares since ``since_s``."""
        services = [each.service for each in self._recent(since_s).values()]
        return len(services) > len(set(services))

    def _recent(self, since_s: float) -> dict[int, _Sighting]:
        return {
            key: sighting
            for key, sighting in self._sighting_by_key.items()
            if sighting.last_s >= since_s
        }

    def only_software(self, services: Collection[str], since_s: float) -> int | None:
        """Return the key of the only software of ``services`` that was listed since ``since_s``.

        Returns ``None`` if this daemon has seen more, or none, or may have missed one.
        """
        if self._unseen_s >= since_s:
            return None
        recent = self._recent(since_s)
        keys = [key for key, sighting in recent.items() if sighting.service in services]
        return keys[0] if len(keys) == 1 else None
