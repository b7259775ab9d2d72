"""An entry of the known failures excuses the failure that it names, and nothing else."""

from __future__ import annotations

from testtools import TestCase

from tests import known_red
from tests.known_red import Verdict

LINES = """
tests/a.py::A::test_x | intermittent | LOST | an item, seed 3; issue 1
tests/a.py::A::test_y | always | 'QUOTA' | 47 runs | 46 may be; issue 2
"""


class KnownRed(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.entries = known_red.parse(LINES)

    def test_only_the_failure_that_was_seen_is_excused(self) -> None:
        entry = self.entries["tests/a.py::A::test_x"]
        self.assertEqual(Verdict.EXCUSED, entry.judge("assert ['LOST'] == []"))
        self.assertEqual(Verdict.OTHER_FAILURE, entry.judge("not so after 60 s: all three run"))
        self.assertEqual(Verdict.PASSED, entry.judge(None))

    def test_one_that_always_fails_goes_once_it_passes(self) -> None:
        entry = self.entries["tests/a.py::A::test_y"]
        self.assertEqual("47 runs | 46 may be; issue 2", entry.known)
        self.assertEqual(Verdict.MENDED, entry.judge(None))

    def test_an_entry_without_a_failure_is_an_error(self) -> None:
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | always |  | what")
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | always")
        self.assertRaises(ValueError, known_red.parse, "tests/a.py::x | often | LOST | what")

    def test_the_list_of_the_project_can_be_read(self) -> None:
        for test_id in known_red.read():
            self.assertTrue(test_id.startswith("tests/"), test_id)
