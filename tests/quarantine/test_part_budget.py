"""How often requests with a part that crashes workers reach workers over ten minutes.

Several daemons with a store on a paused clock, and callers that send such requests all the time.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mountstand.serving.prompt import Prompt, PromptPart
from mountstand.serving.worker_ends import BrokenRun
from mountstand.serving.worker_protocol import Call
from tests.quarantine.test_service import Daemon, Network, NetworkTestCase, worker

CONTACT_S = 3.0
"""Time after a crash by which daemons must know of it."""

CRASHES = 5
"""Crashes under a part after which daemons must hold it back."""

LATE_RUNS_ALLOWED = 3
PLAY_S = 600.0
CALL_GAP_S = 0.25
LATE_CALL_GAP_S = 1.0
EARLY_S = 60.0
"""How long requests come every ``CALL_GAP_S``; later every ``LATE_CALL_GAP_S``."""

TIME_TO_CRASH_S = 0.09
TIME_TO_NOTICE_S = 0.12
CHANCE_CRASHES = 3
OTHER_CRASHES_S = 60.0
"""How long workers crash for other reasons."""

DAEMONS = "abcd"
FIRST_PART = "first"
BAD_PART = "bad"
OTHER_BAD_PART = "bad too"


def request(number: int, *shared_parts: str) -> Call:
    """Return a request with a content and a last part of its own."""
    parts = (*(PromptPart(part, 1) for part in shared_parts), PromptPart(f"own {number}", 1))
    return Call(f"r{number}", "llm", "POST", "/x", (), b"%d" % number, Prompt(parts))


@dataclass
class Play:
    """Requests with bad parts, all of which crash their worker, and sound ones."""

    network: Network
    runs_s: dict[str, list[float]] = field(default_factory=dict)
    """When requests with each bad part reached workers."""

    crashes_s: dict[str, list[float]] = field(default_factory=dict)
    numbers: itertools.count = field(default_factory=lambda: itertools.count(1))

    def daemon(self) -> Daemon:
        """Return one daemon after the other."""
        return self.network.by_name[DAEMONS[next(self.numbers) % len(DAEMONS)]]

    def new_request(self, *shared_parts: str) -> Call:
        """Return a request with a content that was not sent before."""
        return request(next(self.numbers), *shared_parts)

    async def send(self, call: Call, part: str, crash_after_s: float = TIME_TO_CRASH_S) -> bool:
        """Send a request with a bad part unless it is held back; return whether it was sent."""
        daemon = self.daemon()
        if daemon.quarantine.blocked_for_s(call):
            return False
        loop = asyncio.get_running_loop()
        sent_at_s = loop.time()
        self.runs_s.setdefault(part, []).append(sent_at_s)
        worker_of_run = worker(next(self.numbers))
        with daemon.quarantine.running(call, worker_of_run):
            await asyncio.sleep(crash_after_s)
            crashed_at_s = loop.time()
            self.crashes_s.setdefault(part, []).append(crashed_at_s)
            await asyncio.sleep(TIME_TO_NOTICE_S)
            if self.network.by_name[daemon.name] is not daemon:
                return True
            run = {call.content_key: BrokenRun(sent_at_s, call.prompt.shared_keys)}
            daemon.quarantine.on_worker_crash(worker_of_run, run, crashed_at_s)
        return True

    async def send_at_once(self, count: int, *shared_parts: str) -> None:
        """Send requests with new contents at the same moment."""
        part = shared_parts[-1]
        await asyncio.gather(
            *(self.send(self.new_request(*shared_parts), part) for _ in range(count))
        )

    async def keep_sending(self, *shared_parts: str, seconds: float = PLAY_S) -> None:
        """Send requests with new contents, one after the other."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() < began_s + seconds:
            await self.send(self.new_request(*shared_parts), shared_parts[-1])
            is_early = loop.time() < began_s + EARLY_S
            await asyncio.sleep(CALL_GAP_S if is_early else LATE_CALL_GAP_S)

    async def serve_sound(self, *shared_parts: str, seconds: float = PLAY_S) -> None:
        """Serve sound requests with these parts, one after the other."""
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s:
            self.serve(*shared_parts)
            await asyncio.sleep(2 * CALL_GAP_S)

    def serve(self, *shared_parts: str) -> None:
        """Serve a sound request unless it is held back."""
        daemon, call = self.daemon(), self.new_request(*shared_parts)
        if not daemon.quarantine.blocked_for_s(call):
            with daemon.quarantine.running(call, worker(next(self.numbers))):
                daemon.quarantine.note_served(call)

    async def kill_all(self) -> None:
        """Kill all daemons, and start them anew."""
        for daemon in self.network.by_name.values():
            daemon.kill()
        self.network.by_name.clear()
        for name in DAEMONS:
            self.network.add(name)
        await asyncio.sleep(0.5)

    def late_runs_s(self, part: str) -> list[float]:
        """Return the runs later than ``CONTACT_S`` after the fifth crash, in seconds after it."""
        fifth_crash_s = sorted(self.crashes_s[part])[CRASHES - 1]
        return [
            at_s - fifth_crash_s for at_s in self.runs_s[part] if at_s > fifth_crash_s + CONTACT_S
        ]


class PartBudget(NetworkTestCase):
    """Of runs later than 3 s after the fifth crash under a part, three may be."""

    def check(
        self, scenario: Callable[[Play], Awaitable[object]], *parts: str
    ) -> dict[str, list[float]]:
        late_runs_s: dict[str, list[float]] = {}

        async def work(network: Network) -> None:
            await asyncio.sleep(1.0)
            play = Play(network)
            await scenario(play)
            for part in parts or (BAD_PART,):
                late_runs_s[part] = play.late_runs_s(part)

        self.run_on_network(work)
        for part, late_s in late_runs_s.items():
            self.assertLessEqual(len(late_s), LATE_RUNS_ALLOWED, (part, late_s))
        return late_runs_s

    def test_one_crash_more_after_several_at_once(self) -> None:
        """Guards against a first trial that comes late, with as many after it as ever."""
        for at_once, delay_s in ((5, 0.7), (9, 1.2), (9, 1.9), (5, 2.9)):

            async def scenario(play: Play, delay_s=delay_s, at_once=at_once) -> None:
                straggler = play.new_request(BAD_PART)
                await asyncio.gather(
                    play.send_at_once(at_once, BAD_PART),
                    play.send(straggler, BAD_PART, TIME_TO_CRASH_S + delay_s),
                    play.keep_sending(BAD_PART),
                )

            self.check(scenario)

    def test_requests_that_come_one_after_the_other(self) -> None:
        """Guards against trials that are too many as the first crashes lie far apart."""
        for gap_s in (1.0, 5.0, 30.0):

            async def scenario(play: Play, gap_s=gap_s) -> None:
                for _ in range(3):
                    await play.send(play.new_request(BAD_PART), BAD_PART)
                    await asyncio.sleep(gap_s)
                await play.keep_sending(BAD_PART)

            self.check(scenario)

    def test_contents_that_are_sent_again(self) -> None:
        """Guards against crashes of repeats, which don't make a part suspected, left uncounted."""
        for repeated in (1, 2):

            async def scenario(play: Play, repeated=repeated) -> None:
                for number in range(3):
                    call = play.new_request(BAD_PART)
                    for _ in range(2 if number < repeated else 1):
                        await play.send(call, BAD_PART)
                        await asyncio.sleep(0.2)
                await play.keep_sending(BAD_PART)

            self.check(scenario)

    def test_part_that_was_served_before_it_crashed_workers(self) -> None:
        """Guards against trials without end of a part that is known as served."""
        for at_once in (3, 6):

            async def scenario(play: Play, at_once=at_once) -> None:
                by_chance = [play.new_request(BAD_PART) for _ in range(CHANCE_CRASHES)]
                await asyncio.gather(*(play.send(call, BAD_PART) for call in by_chance))
                play.runs_s.clear()
                play.crashes_s.clear()
                await play.serve_sound(BAD_PART, seconds=20.0)
                await asyncio.sleep(5.0)
                await play.send_at_once(at_once, BAD_PART)
                await play.keep_sending(BAD_PART)

            self.check(scenario)

    def test_two_bad_parts_at_once(self) -> None:
        """Guards against trials of one part that count for another, beside sound requests."""

        async def scenario(play: Play) -> None:
            await asyncio.gather(
                play.send_at_once(6, FIRST_PART, BAD_PART),
                play.send_at_once(6, FIRST_PART, OTHER_BAD_PART),
                play.keep_sending(FIRST_PART, BAD_PART),
                play.keep_sending(FIRST_PART, OTHER_BAD_PART),
                play.serve_sound(FIRST_PART),
            )

        self.check(scenario, BAD_PART, OTHER_BAD_PART)

    def test_two_bad_parts_in_each_request(self) -> None:
        """Guards against trials without end of parts that crash workers together."""

        async def scenario(play: Play) -> None:
            await play.send_at_once(6, FIRST_PART, BAD_PART)
            await play.keep_sending(FIRST_PART, BAD_PART)

        self.check(scenario)

    def test_part_whose_trials_crash_beside_other_workers(self) -> None:
        """Guards against trials without end while workers crash for other reasons."""

        async def crash_others(play: Play) -> None:
            end_s = asyncio.get_running_loop().time() + OTHER_CRASHES_S
            while asyncio.get_running_loop().time() < end_s:
                other = play.new_request(f"other {next(play.numbers)}")
                await play.send(other, "other")
                await asyncio.sleep(0.1)

        async def scenario(play: Play) -> None:
            await play.send_at_once(6, FIRST_PART, BAD_PART)
            await asyncio.gather(play.keep_sending(FIRST_PART, BAD_PART), crash_others(play))

        self.check(scenario)

    def test_restarts_of_all_daemons(self) -> None:
        """Guards against a count of trials that begins anew with the daemons."""

        async def kill_all_now_and_then(play: Play) -> None:
            for delay_s in (1.0, 2.0, 9.0, 9.0, 60.0):
                await asyncio.sleep(delay_s)
                await play.kill_all()

        for repeated in (False, True):

            async def scenario(play: Play, repeated=repeated) -> None:
                if repeated:
                    call = play.new_request(BAD_PART)
                    for _ in range(3):
                        await play.send(call, BAD_PART)
                    await play.send_at_once(2, BAD_PART)
                else:
                    await play.send_at_once(6, BAD_PART)
                await asyncio.sleep(0.1)
                await asyncio.gather(kill_all_now_and_then(play), play.keep_sending(BAD_PART))

            self.check(scenario)
