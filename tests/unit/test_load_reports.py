"""Tests of the ``Server-Load`` header in which workers report their load."""

from __future__ import annotations

from testtools import TestCase

from mountstand.platform.worker_protocol import PlatformWorkerProtocol
from mountstand.serving.worker import LoadReport
from mountstand.transport.headers import Headers
from mountstand.transport.http_client import ReplyHead


def parse_report(text: str) -> LoadReport | None:
    head = ReplyHead(200, Headers([("Server-Load", text)]), None, False)
    return PlatformWorkerProtocol().reply_summary(head).load


class LoadReportParsing(TestCase):
    def test_three_counts(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8), parse_report("3,1,8"))
        self.assertIsNone(LoadReport(3, 1, 8).slowdown)

    def test_the_fourth_value_is_the_slowdown_in_percent(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8, 2.5), parse_report("3, 1, 8, 250"))

    def test_further_values_are_ignored(self) -> None:
        self.assertEqual(LoadReport(3, 1, 8, 1.0), parse_report("3,1,8,100,7,x"))

    def test_an_invalid_slowdown_is_ignored(self) -> None:
        for text in ("3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,fast"):
            self.assertEqual(LoadReport(3, 1, 8), parse_report(text), text)

    def test_invalid_counts_yield_no_report(self) -> None:
        for text in ("", "3", "3,1", "3,,8", "3,1,x,100", "-3,1,8", "3;1;8"):
            self.assertIsNone(parse_report(text), text)
