"""What workers' answers tell of their load, in this and in other forms."""

from __future__ import annotations

from testtools import TestCase

from mountstand.platform.worker_protocol import PlatformWorkerProtocol
from mountstand.serving.worker import LoadReport
from mountstand.transport.headers import Headers
from mountstand.transport.http_client import ReplyHead


def report(text: str) -> LoadReport | None:
    head = ReplyHead(200, Headers([("Server-Load", text)]), None, False)
    return PlatformWorkerProtocol().reply_summary(head).load


class Reports(TestCase):
    def test_three_counts(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8), report("3,1,8"))
        self.assertIsNone(LoadReport(3, 1, 8).slowdown)

    def test_the_fourth_figure_is_the_slowdown(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8, 2.5), report("3, 1, 8, 250"))

    def test_further_figures_are_passed_over(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8, 1.0), report("3,1,8,100,7,x"))

    def test_a_slowdown_that_says_nothing_leaves_the_counts(self) -> None:
        for text in ("3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,fast"):
            self.assertEqual(LoadReport(3, 1, 8), report(text), text)

    def test_counts_that_cannot_be_read_say_nothing(self) -> None:
        for text in ("", "3", "3,1", "3,,8", "3,1,x,100", "-3,1,8", "3;1;8"):
            self.assertIsNone(report(text), text)
