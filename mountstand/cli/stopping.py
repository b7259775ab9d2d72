"""How a daemon's process learns that it must stop."""

from __future__ import annotations

import logging
import signal
import socket

from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.stacks import stacks

logger = logging.getLogger(__name__)

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
STACKS_SIGNAL = signal.SIGUSR1
RECEIVED_BYTES = 64


class StopSignals:
    """Hears the signals of a process; make it in the main thread, before other threads start.

    The interpreter's part in C writes each signal's number to a socket, in whatever thread the
    system runs it, and the main thread reads there. A handler of its own would run in the main
    thread alone, between two of its steps: never, where another thread got the signal while the
    main one sleeps; and one that sets an event waits for itself where the main thread has just
    taken the event's lock.
    """

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS | {STACKS_SIGNAL}:
            signal.signal(number, lambda *_: None)

    def wait(self) -> None:
        """Return once the process is told to stop; log the stacks of its threads when asked."""
        while True:
            numbers = self._receiver.recv(RECEIVED_BYTES)
            if STOP_SIGNALS & set(numbers):
                return
            if STACKS_SIGNAL in numbers:
                log_stacks("stacks")


def log_stacks(event: str) -> None:
    """Log where all threads stand."""
    log_state_change(logger, event, stacks=stacks())
