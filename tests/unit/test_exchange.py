"""What an online request's attempts show of its content."""

from __future__ import annotations

from unittest.mock import Mock

from testtools import TestCase

from mountstand.serving.exchange import Exchange
from mountstand.serving.worker_protocol import Call


class GoingOn(TestCase):
    def test_only_events_brought_here_show_that_a_run_has_gone_on(self) -> None:
        """Guards against a request that crashes workers late, and names an early event."""
        for named, resumed_after, expected in (
            (None, None, False),
            (None, 5, True),
            (5, 5, False),
            (5, 9, True),
        ):
            with self.subTest((named, resumed_after)):
                call = Call("r", "h", "POST", "/x", (), b"", last_event_id=named)
                exchange = Exchange(Mock(), call, Mock(), "llm", 0.0)
                exchange.resumed_after_id = resumed_after
                self.assertEqual(expected, exchange.has_gone_on)
