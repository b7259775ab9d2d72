"""What daemons know of the software that began a stream, and how they tell each other."""

from __future__ import annotations

import asyncio
import zlib

import orjson
from testtools import TestCase

from mountstand.jobs.model import SavedProgress, decode_progress, encode_progress
from mountstand.serving.configuration import RequestKind
from mountstand.serving.software import SoftwareHistory, software_key
from mountstand.serving.stream_origins import HOLDERS, HolderChoice, StreamOrigins, stream_key
from mountstand.serving.stream_versions import StreamVersions
from mountstand.wire.gossip import UNKNOWN_SOFTWARE, StreamOrigin, StreamQuery
from tests.stand_ins.confirmation import StandInConfirmation
from tests.stand_ins.harness import RecordingLog, route, run
from tests.stand_ins.peer_link import RecordingPeerLink

V1, V2 = software_key("llm", "v1"), software_key("llm", "v2")
STREAM_ROUTE = route(RequestKind.STREAM, resumable=True)


class Histories(TestCase):
    def history(self) -> SoftwareHistory:
        history = SoftwareHistory()
        history.watch_from(0.0)
        history.note("llm", V1, 1.0)
        return history

    def test_only_software_is_told(self) -> None:
        self.assertEqual(V1, self.history().only_software({"llm"}, 0.5))

    def test_software_of_another_service_does_not_count(self) -> None:
        history = self.history()
        history.note("other", software_key("other", "v2"), 2.0)
        self.assertEqual(V1, history.only_software({"llm"}, 0.5))

    def test_unknown_beside_a_second_version_that_was_there_lately(self) -> None:
        """Guards against a stream of a version that has left, taken for one of the version left."""
        history = self.history()
        history.note("llm", V2, 5.0)
        history.note("llm", V1, 20.0)
        self.assertIsNone(history.only_software({"llm"}, 4.0))
        self.assertEqual(V1, history.only_software({"llm"}, 6.0))

    def test_a_daemon_knows_for_how_long_it_has_watched(self) -> None:
        """Guards against a new daemon that takes the one version it sees for the only one."""
        self.assertFalse(SoftwareHistory().knows_since(0.5))
        history = self.history()
        self.assertTrue(history.knows_since(0.5))
        history.watch_from(10.0)
        self.assertFalse(history.knows_since(9.0))
        self.assertTrue(history.knows_since(10.0))

    def test_workers_without_a_version_are_of_one_version(self) -> None:
        self.assertNotEqual(software_key("llm", ""), V1)
        self.assertEqual(software_key("llm", ""), software_key("llm", ""))


class Origins(TestCase):
    def test_origins_are_kept_for_their_time(self) -> None:
        origins = StreamOrigins(10.0)
        origins.note_own(1, V1, 0.0)
        origins.note(2, V2, 8.0)
        origins.note(3, V2, 11.0)
        self.assertEqual((None, V2), (origins.software(1), origins.software(2)))
        self.assertEqual([], origins.own())

    def test_large_fleets_have_few_holders_and_all_daemons_find_them(self) -> None:
        """Guards against reports to all of hundreds of daemons, and against lost ones."""
        names = {f"d{number}" for number in range(370)}
        for stream in (stream_key(f"r{number}") for number in range(100)):
            holders = HolderChoice().holders(stream, names - {"d1"})
            self.assertEqual(HOLDERS, len(holders))
            # Another daemon misses some of those that run, and knows itself not as a peer.
            asked = HolderChoice().queried(stream, names - {"d2", holders[0], holders[1]})
            self.assertEqual(set(), set(holders[2:]) - set(asked) - {"d2"})

    def test_small_fleets_tell_all(self) -> None:
        names = {f"d{number}" for number in range(12)}
        self.assertEqual(names, set(HolderChoice().holders(7, names)))


class Daemons(TestCase):
    def daemon(self, *peers: str) -> StreamVersions:
        self.link = RecordingPeerLink(*peers)
        self.history = SoftwareHistory()
        self.confirmation = StandInConfirmation()
        return StreamVersions(
            self.link, self.history, lambda: True, self.confirmation, RecordingLog()
        )

    def test_stream_is_reported_and_found(self) -> None:
        async def scenario() -> None:
            first = self.daemon("d2", "d3")
            first.note_begun("r1", V1)
            [(message, receivers)] = self.link.sent
            self.assertEqual(("d2", "d3"), receivers)
            second = self.daemon("d1", "d3")
            second.handle("d1", message)  # type: ignore[arg-type]
            self.assertEqual(V1, await second.find("r1", STREAM_ROUTE))
            self.assertEqual([], self.link.sent)

        run(scenario())

    def test_daemon_that_joins_learns_the_streams_before(self) -> None:
        """Guards against streams that began while their daemon knew no other."""

        async def scenario() -> None:
            daemon = self.daemon()
            daemon.note_begun("r1", V1)
            self.link.sent.clear()
            self.link.peers = ["d2"]
            daemon.handle_fleet_change()
            daemon.handle_fleet_change()
            self.assertEqual([(StreamOrigin(stream_key("r1"), V1), ("d2",))], self.link.sent)

        run(scenario())

    def test_unknown_stream_is_asked_for_until_somebody_knows_it(self) -> None:
        async def scenario() -> None:
            daemon = self.daemon("d2", "d3")
            finding = asyncio.create_task(daemon.find("r1", STREAM_ROUTE))
            await asyncio.sleep(0.01)
            query, receivers = self.link.sent[0]
            self.assertEqual((StreamQuery(stream_key("r1")), 2), (query, len(receivers)))
            daemon.handle("d2", StreamOrigin(stream_key("r1"), UNKNOWN_SOFTWARE))
            daemon.handle("d3", StreamOrigin(stream_key("r1"), V2))
            self.assertEqual(V2, await finding)

        run(scenario())

    def test_answers_that_all_know_nothing_end_the_wait(self) -> None:
        async def scenario() -> None:
            daemon = self.daemon("d2")
            started_s = asyncio.get_running_loop().time()
            finding = asyncio.create_task(daemon.find("r1", STREAM_ROUTE))
            await asyncio.sleep(0.01)
            daemon.handle("d2", StreamOrigin(stream_key("r1"), UNKNOWN_SOFTWARE))
            self.assertIsNone(await finding)
            self.assertLess(asyncio.get_running_loop().time() - started_s, 0.09)

        run(scenario())

    def test_callers_that_name_no_stream_go_on_at_the_only_software(self) -> None:
        """Guards against streams refused where there are no versions to mix."""

        async def scenario() -> None:
            daemon = self.daemon("d2")
            now_s = asyncio.get_running_loop().time()
            self.history.note("llm", V1, now_s)
            self.assertEqual(V1, await daemon.find("", STREAM_ROUTE))
            self.history.note("llm", V2, now_s)
            self.assertIsNone(await daemon.find("", STREAM_ROUTE))
            self.assertEqual([], self.link.sent)

        run(scenario())

    def test_new_daemon_does_not_take_the_one_version_it_sees_for_a_named_stream(self) -> None:
        """Guards against a stream of a version whose workers left before the daemon started."""

        async def scenario() -> None:
            daemon = self.daemon()
            now_s = asyncio.get_running_loop().time()
            self.history.watch_from(now_s - 1.0)
            self.history.note("llm", V1, now_s)
            self.assertIsNone(await daemon.find("r1", STREAM_ROUTE))
            self.history.watch_from(now_s - 60.0)
            self.assertEqual(V1, await daemon.find("r1", STREAM_ROUTE))

        run(scenario())

    def test_only_software_is_not_taken_unless_the_store_confirms_it(self) -> None:
        """Guards against streams joined at a daemon that is cut off and missed a version."""

        async def scenario() -> None:
            daemon = self.daemon()
            now_s = asyncio.get_running_loop().time()
            self.history.watch_from(now_s - 60.0)
            self.history.note("llm", V1, now_s)
            self.confirmation.confirmed = False
            self.assertIsNone(await daemon.find("r1", STREAM_ROUTE))
            self.assertIsNone(await daemon.find("", STREAM_ROUTE))
            self.confirmation.confirmed = True
            self.assertEqual(V1, await daemon.find("r1", STREAM_ROUTE))
            self.assertEqual(V1, await daemon.find("", STREAM_ROUTE))

        run(scenario())

    def test_version_that_the_store_tells_as_it_confirms_counts(self) -> None:
        """Guards against a version that joined unnoticed and is learned of a moment too late."""

        async def scenario() -> None:
            daemon = self.daemon()
            now_s = asyncio.get_running_loop().time()
            self.history.watch_from(now_s - 60.0)
            self.history.note("llm", V1, now_s)
            self.confirmation.on_confirm = lambda: self.history.note("llm", V2, now_s)
            self.assertIsNone(await daemon.find("r1", STREAM_ROUTE))

        run(scenario())

    def test_other_daemons_are_asked_before_the_only_software_is_taken(self) -> None:
        """Guards against a stream that goes on at the wrong version though a peer knows better."""

        async def scenario() -> None:
            daemon = self.daemon("d2")
            now_s = asyncio.get_running_loop().time()
            self.history.watch_from(now_s - 60.0)
            self.history.note("llm", V1, now_s)
            finding = asyncio.create_task(daemon.find("r1", STREAM_ROUTE))
            await asyncio.sleep(0.01)
            daemon.handle("d2", StreamOrigin(stream_key("r1"), V2))
            self.assertEqual(V2, await finding)
            self.assertEqual(0, self.confirmation.calls)

        run(scenario())

    def test_query_is_answered(self) -> None:
        async def scenario() -> None:
            daemon = self.daemon("d2")
            daemon.note_begun("r1", V1)
            daemon.handle("d2", StreamQuery(stream_key("r1")))
            daemon.handle("d2", StreamQuery(stream_key("r2")))
            answers = [message for message, receivers in self.link.sent[1:]]
            self.assertEqual(
                [
                    StreamOrigin(stream_key("r1"), V1),
                    StreamOrigin(stream_key("r2"), UNKNOWN_SOFTWARE),
                ],
                answers,
            )

        run(scenario())


class ProgressRows(TestCase):
    SAVED = SavedProgress(3, 17, 1, ["a", "b"], V1)

    def test_software_is_read_back(self) -> None:
        self.assertEqual(self.SAVED, decode_progress(encode_progress(self.SAVED)))

    def test_former_versions_read_the_row(self) -> None:
        """Guards against rows that daemons of the version before cannot read."""
        index, last_event_id, failures, texts = orjson.loads(
            zlib.decompress(encode_progress(self.SAVED))
        )
        self.assertEqual((3, 17, 1, ["a", "b"]), (index, last_event_id, failures, texts))

    def test_rows_of_former_versions_tell_no_software(self) -> None:
        row = zlib.compress(orjson.dumps([3, 17, 1, ["a", "b"]]), 1)
        self.assertIsNone(decode_progress(row).software_key)
