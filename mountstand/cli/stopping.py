"""How a daemon's process learns that it must stop, and that it ends once it has been told."""

from __future__ import annotations

import contextlib
import logging
import os
import signal
import socket
import threading

from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.stacks import stacks

logger = logging.getLogger(__name__)

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
STACKS_SIGNAL = signal.SIGUSR1
RECEIVED_BYTES = 64
FAILURE = 0
"""Number in the place of a signal's for a part that has failed."""

CLOSE_S = 10.0
"""Time to close all parts after the stop's time-out has cut off what was in progress. Idle ones
take 1 s; each of the dozen tasks may be within a call to the store, which takes 1 s at most."""

LAST_LOG_S = 5.0
"""Time to log the stacks before the kernel ends the process."""

CUT_OFF = 1
"""Exit code of a stop that cut work off, or that a part which failed has caused."""


class StopSignals:
    """Hears the signals of a process; make it in the main thread, before other threads start.

    The interpreter's part in C writes each signal's number to a socket, in whatever thread the
    system runs it, and the main thread reads there. A handler of its own would run in the main
    thread alone, between two of its steps: never, where another thread got the signal while the
    main one sleeps; and one that sets an event waits for itself where the main thread has just
    taken the event's lock.
    """

    def __init__(self, limit_s: float | None = None) -> None:
        """Let ``limit_s`` pass after the first signal to stop, then end a process that still runs.

        A process that is told to stop before it has started may never come to its stop.
        ``end_after`` puts its own limit in the place of this one.
        """
        self._limit_s = limit_s
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        self._told_to_stop = False
        self.has_failed = False
        """Whether the process must stop as a part of it has failed."""

        for number in STOP_SIGNALS:
            signal.signal(number, self._note)
        signal.signal(STACKS_SIGNAL, lambda *_: None)
        self._stacks_wanted = threading.Event()
        threading.Thread(target=self._log_stacks_if_wanted, daemon=True, name="stacks").start()

    def wait(self) -> None:
        """Return once the process must stop; log the stacks of its threads when asked."""
        while True:
            numbers = self._receiver.recv(RECEIVED_BYTES)
            if self.has_failed:
                return
            if self._told_to_stop or STOP_SIGNALS & set(numbers):
                self._told_to_stop = False
                return
            if STACKS_SIGNAL in numbers:
                self._stacks_wanted.set()

    def note_failure(self) -> None:
        """Record that a part has failed without which the process is of no use; thread-safe."""
        self.has_failed = True
        # A socket that is full wakes the main thread as well.
        with contextlib.suppress(BlockingIOError):
            self._sender.send(bytes((FAILURE,)))

    def ignore(self) -> None:
        """Ignore all further signals; comes last in a stop.

        The interpreter's end takes handlers back, and a signal would then end the process with an
        exit code of its own. It leaves signals that are ignored as they are.
        """
        for number in STOP_SIGNALS | {STACKS_SIGNAL}:
            signal.signal(number, signal.SIG_IGN)

    def _note(self, *_: object) -> None:
        """Note a signal whose number may not have gone into a socket full of others.

        The main thread runs this at the latest after its next read, which does not wait then.
        """
        self._told_to_stop = True
        if self._limit_s is not None:
            # Later signals must not put the end off.
            limit_s, self._limit_s = self._limit_s, None
            _kill_after(limit_s + LAST_LOG_S)

    def _log_stacks_if_wanted(self) -> None:
        # In a thread of its own: a line may wait for the log's reader, and the main thread must
        # hear signals meanwhile.
        while True:
            self._stacks_wanted.wait()
            self._stacks_wanted.clear()
            log_stacks("stacks")


def end_after(limit_s: float) -> None:
    """End the process if it still runs after a time, whatever its threads wait for.

    The servers of callers and operators wait without limit for threads that answer requests, and
    the interpreter for all pools. A thread logs the stacks and ends the process. Where that thread
    waits itself, for the log or the interpreter's lock, the kernel ends it by SIGALRM. Call this in
    the main thread.
    """
    _kill_after(limit_s + LAST_LOG_S)
    thread = threading.Thread(target=_end_after, args=(limit_s,), daemon=True, name="stop limit")
    try:
        thread.start()
    except RuntimeError:
        # No thread can be started; the timer is enough for the stop to go on.
        logger.exception("no thread for the stop's limit")


def log_stacks(event: str) -> None:
    """Log where all threads stand."""
    log_state_change(logger, event, stacks=stacks())


def _kill_after(limit_s: float) -> None:
    """Let the kernel end the process after a time; call this in the main thread."""
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, limit_s)


def _end_after(limit_s: float) -> None:
    # The clock doesn't count a time in which the machine was suspended, in which nothing ended.
    threading.Event().wait(limit_s)
    log_stacks("stop takes too long")
    logging.shutdown()
    os._exit(CUT_OFF)
