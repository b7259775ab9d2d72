"""Which owners told of items that nobody runs yet."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from mountstand.clock import elapsed_s
from mountstand.wire.messages import WorkHint

WORK_HINT_LIFE_S = 2.0


@dataclass(frozen=True, slots=True)
class _Known:
    """The last hint of one owner."""

    hint: WorkHint
    expires_s: float


class KnownWork:
    """Hints of owners, each for a while; thread-safe."""

    __slots__ = ("_by_owner", "_lock")

    def __init__(self) -> None:
        self._by_owner: dict[str, _Known] = {}
        self._lock = threading.Lock()

    def note(self, owner_id: str, hint: WorkHint) -> None:
        """Take an owner's hint."""
        known = _Known(hint, elapsed_s() + WORK_HINT_LIFE_S)
        with self._lock:
            self._by_owner[owner_id] = known

    def forget(self, owner_id: str) -> None:
        """Drop an owner that has nothing left, or does not answer."""
        with self._lock:
            self._by_owner.pop(owner_id, None)

    def owners(self) -> list[str]:
        """Return the owners that told of work lately, by the priority of their work."""
        now_s = elapsed_s()
        with self._lock:
            self._by_owner = {
                owner: known for owner, known in self._by_owner.items() if known.expires_s > now_s
            }
            return sorted(self._by_owner, key=lambda owner: self._by_owner[owner].hint.priority)
