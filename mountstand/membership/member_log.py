"""Decision lines on changes of members, bounded where many change at once.

When a fleet of hundreds starts or loses power, each daemon sees every other one change. One line
for each would be as many lines as pairs of daemons; beyond a few a second they are counted, and one
line tells how many went to which state.
"""

from __future__ import annotations

from collections import Counter

from mountstand.membership.member import Member
from mountstand.telemetry.decisions import DecisionLog

LINES_PER_S = 5
"""Changes told one by one in a second: more than failures of single daemons make."""

SPAN_S = 1.0


class MemberLog:
    """Tells changes of members one by one, or counted where they are many."""

    __slots__ = ("_begun_at_s", "_counted", "_last", "_log", "_told")

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._begun_at_s = float("-inf")
        self._told = 0
        self._counted: Counter[str] = Counter()
        self._last = ""

    def note(self, member: Member, now_s: float) -> None:
        """Tell, or count, a change."""
        self.flush(now_s)
        if self._told < LINES_PER_S:
            self._told += 1
            self._log.event(
                "member_changed",
                member=member.member_id,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )
            return
        self._counted[member.state.name.lower()] += 1
        self._last = member.member_id

    def flush(self, now_s: float) -> None:
        """Tell what was counted once its second is over; call regularly."""
        if now_s - self._begun_at_s < SPAN_S:
            return
        self._begun_at_s = now_s
        self._told = 0
        if self._counted:
            self._log.event("members_changed", to_state=dict(self._counted), last=self._last)
            self._counted.clear()
