"""A process that is told to stop hears it and ends in bounded time, whatever keeps its threads."""

from __future__ import annotations

import signal
import subprocess
import sys
import time

from testtools import TestCase

ENDS_S = 30.0
"""The processes end within some seconds by themselves; this leaves room on a busy machine."""

SET_UP = """
import contextlib, os, signal, threading, time
from mountstand.cli import stopping
from mountstand.cli.stopping import StopSignals, end_after
from mountstand.telemetry.logs import configure_logging

LIMIT_S = 0.3
stopping.LAST_LOG_S = 0.7

def fill_log():
    os.set_blocking(2, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(2, b"x" * size)
    os.set_blocking(2, True)

configure_logging("limits")
"""


class LimitsTestCase(TestCase):
    def started(self, steps: str) -> subprocess.Popen[bytes]:
        """Start a process whose log nobody reads."""
        child = subprocess.Popen(
            [sys.executable, "-c", SET_UP + steps],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        for stream in (child.stdout, child.stderr):
            assert stream is not None
            self.addCleanup(stream.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def code(self, child: subprocess.Popen[bytes]) -> int | None:
        """Return the code with which a process ends, ``None`` if it doesn't."""
        try:
            return child.wait(ENDS_S)
        except subprocess.TimeoutExpired:
            return None


class SignalIsHeard(LimitsTestCase):
    def test_beside_a_flood_of_others(self) -> None:
        """Signals that nobody reads yet fill the socket; the next one's number is dropped."""
        child = self.started("""
stopping.log_stacks = lambda event: None
signals = StopSignals()
for _ in range(5_000):
    signal.raise_signal(signal.SIGUSR1)
signal.raise_signal(signal.SIGTERM)
signals.wait()
os._exit(0)
""")
        self.assertEqual(0, self.code(child))

    def test_while_stacks_wait_for_a_log_whose_reader_stands_still(self) -> None:
        child = self.started("""
log_stacks = stopping.log_stacks

def told(event):
    os.write(1, b"l")
    log_stacks(event)

stopping.log_stacks = told
signals = StopSignals()
fill_log()
os.kill(os.getpid(), signal.SIGUSR1)
signals.wait()
os._exit(0)
""")
        assert child.stdout is not None
        self.assertEqual(b"l", child.stdout.read(1))
        child.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.code(child))

    def test_before_the_process_has_started(self) -> None:
        """A start that waits for the log's reader never comes to the stop."""
        child = self.started("""
signals = StopSignals(LIMIT_S)
fill_log()
os.write(1, b"w")
os.write(2, b"started")
""")
        assert child.stdout is not None
        self.assertEqual(b"w", child.stdout.read(1))
        deadline_s = time.monotonic() + ENDS_S
        while child.poll() is None and time.monotonic() < deadline_s:
            child.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        self.assertEqual(-signal.SIGALRM, child.poll(), "later signals put the end off")


class LimitOfTheStop(LimitsTestCase):
    def test_beside_threads_that_the_interpreter_waits_for(self) -> None:
        child = self.started("""
from concurrent.futures import ThreadPoolExecutor
ThreadPoolExecutor().submit(time.sleep, 1000)
threading.Thread(target=time.sleep, args=(1000,)).start()
end_after(LIMIT_S)
""")
        self.assertEqual(1, self.code(child))

    def test_beside_a_log_whose_reader_stands_still(self) -> None:
        """The stacks that are logged at the limit wait for the reader as any other line."""
        child = self.started("""
fill_log()
end_after(LIMIT_S)
time.sleep(1000)
""")
        self.assertEqual(-signal.SIGALRM, self.code(child))

    def test_beside_a_thread_that_keeps_the_interpreters_lock(self) -> None:
        child = self.started("""
import ctypes
end_after(LIMIT_S)
ctypes.PyDLL(None).sleep(1000)
""")
        self.assertEqual(-signal.SIGALRM, self.code(child))

    def test_beside_an_end_of_the_interpreter_that_does_not_come(self) -> None:
        child = self.started("""
class Endless:
    def __del__(self):
        while True:
            pass

held = Endless()
end_after(LIMIT_S)
""")
        self.assertEqual(-signal.SIGALRM, self.code(child))

    def test_where_no_thread_can_be_started(self) -> None:
        child = self.started("""
def refuse(*_):
    raise RuntimeError("can't start new thread")

threading.Thread(target=time.sleep, args=(1000,)).start()
threading._start_new_thread = refuse
end_after(LIMIT_S)
os.write(1, b"s")
""")
        self.assertEqual(-signal.SIGALRM, self.code(child))
        assert child.stdout is not None
        self.assertEqual(b"s", child.stdout.read(), "the stop goes on")
