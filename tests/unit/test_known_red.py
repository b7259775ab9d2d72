"""An entry of the known failures excuses the failure that it names, and nothing else."""

from __future__ import annotations

from testtools import TestCase

from tests import known_red
from tests.known_red import Verdict

LINES = """
tests/a.py::A::test_x | intermittent | LOST | an item, seed 3; issue 1
tests/a.py::A::test_y | always | 'QUOTA' | 47 runs | 46 may be; issue 2
tests/a.py::A::test_z | intermittent | does not end: | a stop that hung; issue 3
tests/a.py::A::test_z | always | is ready | a start that hung; issue 4
"""


class KnownRed(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.entries = known_red.parse(LINES)

    def test_only_the_failure_that_was_seen_is_excused(self) -> None:
        [entry] = self.entries["tests/a.py::A::test_x"]
        self.assertEqual(Verdict.EXCUSED, entry.judge("assert ['LOST'] == []"))
        self.assertEqual(Verdict.OTHER_FAILURE, entry.judge("not so after 60 s: all three run"))
        self.assertEqual(Verdict.PASSED, entry.judge(None))

    def test_one_that_always_fails_goes_once_it_passes(self) -> None:
        [entry] = self.entries["tests/a.py::A::test_y"]
        self.assertEqual("47 runs | 46 may be; issue 2", entry.known)
        self.assertEqual(Verdict.MENDED, entry.judge(None))

    def test_each_failure_of_a_test_that_is_listed_is_excused(self) -> None:
        # Guards against a second line for one test that replaces the first.
        entries = self.entries["tests/a.py::A::test_z"]
        for entry, failure in zip(
            entries, ("x does not end:\n", "not so: x is ready"), strict=True
        ):
            judgement = known_red.judge(entries, failure)
            self.assertEqual(Verdict.EXCUSED, judgement.verdict, failure)
            self.assertEqual((entry,), judgement.entries, failure)
        other = known_red.judge(entries, "0 != 1")
        self.assertEqual(Verdict.OTHER_FAILURE, other.verdict)
        self.assertEqual(tuple(entries), other.entries)

    def test_one_failure_that_always_shows_is_enough_for_a_pass_to_be_an_error(self) -> None:
        entries = self.entries["tests/a.py::A::test_z"]
        self.assertEqual(
            known_red.Judgement(Verdict.MENDED, (entries[1],)), known_red.judge(entries, None)
        )

    def test_a_failure_that_is_listed_twice_is_an_error(self) -> None:
        line = "tests/a.py::x | intermittent | LOST | what\n"
        self.assertRaises(ValueError, known_red.parse, line + line.replace("what", "more"))

    def test_an_entry_without_a_failure_is_an_error(self) -> None:
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | always |  | what")
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | always")
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | often | LOST | what")

    def test_the_list_of_the_project_can_be_read(self) -> None:
        for test_id in known_red.read():
            self.assertTrue(test_id.startswith("tests/"), test_id)
