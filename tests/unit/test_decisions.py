"""Decision lines: each is one valid JSON document, whatever its fields hold."""

from __future__ import annotations

import io
import math

import orjson
from testtools import TestCase

from mountstand.telemetry.decisions import DecisionLog


def written(**fields: object) -> dict[str, object]:
    """Return the line that one event wrote, read as strict JSON."""
    stream = io.StringIO()
    DecisionLog("front-1", stream).event("job_submitted", **fields)
    line: dict[str, object] = orjson.loads(stream.getvalue())
    return line


class Lines(TestCase):
    def test_an_age_that_is_not_known_is_null(self) -> None:
        """An age counts from minus infinity until something was heard; JSON has no infinity."""
        line = written(job="7c41", store_age_s=math.inf)
        self.assertIsNone(line["store_age_s"])
        self.assertEqual("7c41", line["job"])

    def test_what_is_not_a_number_is_null(self) -> None:
        self.assertIsNone(written(load_age_s=math.nan)["load_age_s"])

    def test_finite_figures_stay(self) -> None:
        self.assertEqual(1.25, written(store_age_s=1.25)["store_age_s"])
