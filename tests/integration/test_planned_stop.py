"""A planned stop cuts off nothing, whole answers and slow first tokens included."""

from __future__ import annotations

import threading
import time

import orjson
from testtools import TestCase

from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from tests.integration.helpers import stream_text, wait_until

TOKENS = 100
LONG_PROMPT = "p" * 200_000


class PlannedStop(TestCase):
    def test_requests_in_progress_end_whole(self) -> None:
        plan = FleetPlan(daemons=1, engines=1, applications=0, engine={"step_s": 0.05})
        with Fleet(plan) as fleet:
            daemon = fleet.daemons[0]
            answers = {}

            def send(name: str, prompt: str, tokens: int, *, stream: bool) -> None:
                body = {"model": "caption", "prompt": prompt, "max_tokens": tokens}
                answers[name] = fleet.http.request(
                    "POST",
                    f"{daemon.callers_url}/v1/completions",
                    body=orjson.dumps(body | {"stream": stream}),
                    headers={"X-Request-Id": name},
                )

            threads = [
                threading.Thread(
                    target=send, args=("whole", "w", TOKENS), kwargs={"stream": False}
                ),
                threading.Thread(
                    target=send, args=("stream", "s", TOKENS), kwargs={"stream": True}
                ),
                # Its prompt alone takes the engine longer than cheroot waits for its threads.
                threading.Thread(
                    target=send, args=("slow", LONG_PROMPT, 2), kwargs={"stream": True}
                ),
            ]
            for thread in threads:
                thread.start()
            wait_until(lambda: len(fleet.executions()) == 3, "all three run")
            started_s = time.monotonic()
            code = fleet.terminate(daemon.daemon_id)
            for thread in threads:
                thread.join()
            self.assertEqual(0, code, time.monotonic() - started_s)
            text = orjson.loads(answers["whole"].data)["choices"][0]["text"]
            self.assertEqual(expected_completion("w", TOKENS), text)
            for name, prompt, tokens in (("stream", "s", TOKENS), ("slow", LONG_PROMPT, 2)):
                expected = (expected_completion(prompt, tokens), True)
                self.assertEqual(expected, stream_text(answers[name].data), name)
