"""Lines on changes of members stay few when a whole fleet changes."""

from __future__ import annotations

from testtools import TestCase

from mountstand.membership.member import Member, MemberState
from mountstand.membership.member_log import LINES_PER_S, MemberLog
from tests.stand_ins.harness import RecordingLog


def member(number: int, state: MemberState = MemberState.ALIVE) -> Member:
    return Member(f"d{number}", "127.0.0.1", 1, "zone-a", 1, state)


class Lines(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = RecordingLog()
        self.members = MemberLog(self.log)

    def test_single_changes_are_told_at_once(self) -> None:
        self.members.note(member(1, MemberState.SUSPECT), 0.0)
        line = self.log.lines("member_changed")[0]
        self.assertEqual(("d1", "suspect"), (line["member"], line["state"]))

    def test_a_start_of_the_whole_fleet_is_counted(self) -> None:
        for number in range(195):
            self.members.note(member(number), 0.001 * number)
        self.members.flush(1.1)
        self.assertEqual(LINES_PER_S, len(self.log.lines("member_changed")))
        counted = self.log.lines("members_changed")
        self.assertEqual([{"alive": 195 - LINES_PER_S}], [line["to_state"] for line in counted])

    def test_after_that_single_changes_are_told_again(self) -> None:
        for number in range(20):
            self.members.note(member(number), 0.0)
        self.members.note(member(7, MemberState.DEAD), 2.0)
        self.assertEqual("dead", self.log.lines("member_changed")[-1]["state"])
        self.assertEqual(1, len(self.log.lines("members_changed")))
