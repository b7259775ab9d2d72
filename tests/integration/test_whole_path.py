"""The main job over real processes: online answers, streams, applications and a batch."""

from __future__ import annotations

import orjson
from testtools import TestCase

from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from tests.integration.helpers import (
    batch_lines,
    check_results,
    results,
    stream_text,
    submit,
    wait_completed,
)


class WholePath(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = Fleet(FleetPlan())
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def request(self, method: str, path: str, daemon: int = 0, **keywords):
        url = self.fleet.daemons[daemon].callers_url + path
        return self.fleet.http.request(method, url, **keywords)

    def test_whole_answer(self) -> None:
        body = {"model": "caption", "prompt": "a lighthouse", "max_tokens": 5}
        answer = self.request("POST", "/v1/completions", body=orjson.dumps(body))
        self.assertEqual(200, answer.status, answer.data)
        text = orjson.loads(answer.data)["choices"][0]["text"]
        self.assertEqual(expected_completion("a lighthouse", 5), text)

    def test_stream(self) -> None:
        body = {
            "model": "caption",
            "messages": [{"role": "user", "content": "an album"}],
            "max_tokens": 20,
            "stream": True,
        }
        answer = self.request("POST", "/v1/chat/completions", body=orjson.dumps(body))
        expected = expected_completion("user: an album", 20)
        self.assertEqual((expected, True), stream_text(answer.data))

    def test_large_prompt(self) -> None:
        prompt = "note " * 200_000
        body = {"model": "caption", "prompt": prompt, "max_tokens": 2}
        answer = self.request("POST", "/v1/completions", body=orjson.dumps(body))
        self.assertEqual(200, answer.status, answer.data)

    def test_application(self) -> None:
        answer = self.request("GET", "/v1/services/album/thumbnails/7?size=2")
        self.assertEqual(200, answer.status, answer.data)
        self.assertEqual("/thumbnails/7", orjson.loads(answer.data)["path"])

    def test_batch(self) -> None:
        lines = batch_lines(500)
        first = submit(self.fleet, self.fleet.daemons[0], "whole", lines)
        self.assertEqual(201, first.status, first.data)
        again = submit(self.fleet, self.fleet.daemons[1], "whole", lines)
        self.assertEqual(200, again.status, again.data)
        other = submit(self.fleet, self.fleet.daemons[2], "whole", batch_lines(3))
        self.assertEqual(409, other.status, other.data)
        wait_completed(self.fleet, self.fleet.daemons[2], "whole")
        check_results(results(self.fleet, self.fleet.daemons[1], "whole"), 500)
        part = results(self.fleet, self.fleet.daemons[0], "whole", "?first=40&count=10")
        self.assertEqual(list(range(40, 50)), [line["index"] for line in part])

    def test_a_batch_of_unannounced_length(self) -> None:
        lines = batch_lines(40, prefix="chunked")
        pieces = iter([lines[:1000], lines[1000:]])
        answer = self.request("PUT", "/v1/batches/chunked", body=pieces, timeout=20.0)
        self.assertEqual(201, answer.status, answer.data)
        wait_completed(self.fleet, self.fleet.daemons[0], "chunked")
        found = results(self.fleet, self.fleet.daemons[1], "chunked")
        check_results(found, 40, prefix="chunked")

    def test_files_and_batches_as_openai_has_them(self) -> None:
        lines = batch_lines(60, prefix="file")
        uploaded = self.request(
            "POST", "/v1/files", fields={"purpose": "batch", "file": ("items.jsonl", lines)}
        )
        self.assertEqual(200, uploaded.status, uploaded.data)
        file = orjson.loads(uploaded.data)
        self.assertEqual((len(lines), "items.jsonl"), (file["bytes"], file["filename"]))
        content = self.request("GET", f"/v1/files/{file['id']}/content", daemon=1)
        self.assertEqual(lines, content.data)

        body = orjson.dumps({"input_file_id": file["id"], "endpoint": "/v1/completions"})
        key = {"Idempotency-Key": "reunion"}
        first = self.request("POST", "/v1/batches", body=body, headers=key)
        again = self.request("POST", "/v1/batches", daemon=2, body=body, headers=key)
        self.assertEqual((201, 200), (first.status, again.status), first.data)
        batch = orjson.loads(first.data)
        self.assertEqual(batch["id"], orjson.loads(again.data)["id"])
        wait_completed(self.fleet, self.fleet.daemons[0], batch["id"])
        output = self.request("GET", f"/v1/files/{batch['output_file_id']}/content", daemon=1)
        found = [orjson.loads(line) for line in output.data.splitlines()]
        check_results(found, 60, prefix="file")

    def test_faulty_requests_are_told_what_to_do(self) -> None:
        ok = orjson.dumps({"model": "caption", "prompt": "x"})
        unknown = orjson.dumps({"model": "no", "prompt": "x"})
        cases = [
            ("POST", "/v1/completions", b"{", {}, 400, "malformed_request"),
            ("POST", "/v1/completions", b"[]", {}, 400, "malformed_request"),
            (
                "POST",
                "/v1/completions",
                unknown,
                {},
                404,
                "unknown_model",
            ),
            ("POST", "/v1/completions", b'{"model": "caption"}', {}, 400, "malformed_request"),
            ("POST", "/v1/completions", b" " * (9 * 2**20), {}, 413, "body_too_large"),
            ("POST", "/v1/completions", ok, {"X-Deadline-Ms": "soon"}, 400, "malformed_request"),
            ("POST", "/v1/completions", ok, {"X-Repeatable": "maybe"}, 400, "malformed_request"),
            ("GET", "/v1/services/none/x", None, {}, 404, "unknown_service"),
            ("GET", "/v1/nothing", None, {}, 404, "not_found"),
            ("POST", "/v1/files", b"x", {}, 400, "malformed_request"),
            ("POST", "/v1/batches", b"{}", {}, 400, "malformed_request"),
            ("GET", "/v1/files/none", None, {}, 404, "not_found"),
            ("PUT", "/v1/batches/job", b"not json", {}, 400, "malformed_request"),
            ("PUT", "/v1/batches/a%20b", b"{}", {}, 400, "malformed_request"),
            ("GET", "/v1/batches/none", None, {}, 404, "not_found"),
        ]
        for method, path, body, headers, status, code in cases:
            answer = self.request(method, path, body=body, headers=headers)
            problem = orjson.loads(answer.data)
            self.assertEqual((status, code), (answer.status, problem["code"]), problem)
            self.assertEqual("no", problem["executed"], problem)
            self.assertNotEqual("", problem["remedy"])
