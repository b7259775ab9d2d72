"""Forces when a daemon gets SIGTERM: as its main thread begins to wait for it, or while it waits.

The interpreter loads this module first in each process that has its folder on ``PYTHONPATH``. It
acts in the processes whose command has the word in ``FORCED_ORDER_COMMAND``.

SIGTERM is blocked in all threads, so that it stays with a thread of this module until the main
thread is about to wait: in ``Condition.wait`` or in ``recv`` of ``StopSignals``. The main thread
then lets that thread have the interpreter's lock at its last look for signals before the wait. The
thread sends SIGTERM while it keeps the lock, and keeps it for ``LOCK_KEPT_S`` more. Or it lets the
main thread go on, and sends SIGTERM once that one sleeps (``FORCED_ORDER_MOMENT=inside``).
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal
import sys
import threading
import time
import traceback
from pathlib import Path
from typing import Any

LOCK_KEPT_S = 0.2
UNHEARD_S = 2.0
"""Time from SIGTERM to the report of the main thread's stack."""

LOCK_KEPT_US = int(LOCK_KEPT_S * 1_000_000)
LOOK_EVERY_US = 2000
ASK_EVERY_S = 0.0005
SIGNAL_LINES = ("SigPnd", "ShdPnd", "SigBlk", "SigCgt")


class ForcedOrder:
    """Keeps SIGTERM back until the main thread is at its wait."""

    def __init__(self, moment: str, receiver: str, report: Path) -> None:
        self._inside = moment == "inside"
        self._to_main = receiver == "main"
        self._report = report
        # Calls of this library keep the interpreter's lock.
        self._library = ctypes.PyDLL(None)
        self._main = threading.main_thread()
        self._main_id = threading.get_native_id()
        self._received = threading.Event()
        self._armed = False
        self._at_look = False
        self._lock_taken = False
        self._write(f"moment {moment}, receiver {receiver}")
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        threading.Thread(target=self._hold, daemon=True, name="forced order").start()
        self._patch_condition()

    def arm(self) -> None:
        """Wait for SIGTERM in the main thread; its next wait is the one that yields."""
        self._received.wait()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
        self._armed = True

    def yield_lock(self) -> None:
        """Let the other thread have the interpreter's lock; nothing after that looks for signals.

        The caller goes straight on into its wait.
        """
        if not self._armed or threading.current_thread() is not self._main:
            return
        self._armed = False
        sleep = self._library.usleep
        while True:
            # The look that follows the call is the only one while this is set.
            self._at_look = True
            sleep(LOOK_EVERY_US)
            self._at_look = False
            if self._lock_taken:
                return

    def _hold(self) -> None:
        signal.sigwait({signal.SIGTERM})
        receiver_id = self._main_id if self._to_main else threading.get_native_id()
        if not self._to_main:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
        self._received.set()
        send, sleep = self._library.tgkill, self._library.usleep
        process_id, number = os.getpid(), int(signal.SIGTERM)
        while not self._at_look:
            time.sleep(ASK_EVERY_S)
        # Up to the end of the next call nothing gives the lock away, so that the main thread is
        # still at its last look.
        self._lock_taken = True
        if not self._inside:
            send(process_id, receiver_id, number)
            sleep(LOCK_KEPT_US)
        else:
            time.sleep(LOCK_KEPT_S)
            send(process_id, receiver_id, number)
        self._write("sent")
        time.sleep(UNHEARD_S)
        self._report_state()

    def _patch_condition(self) -> None:
        release_save = threading.Condition._release_save  # type: ignore[attr-defined]

        def released(condition: Any) -> Any:
            state = release_save(condition)
            self.yield_lock()
            return state

        threading.Condition._release_save = released  # type: ignore[attr-defined]

    def _report_state(self) -> None:
        stack = traceback.extract_stack(sys._current_frames()[self._main.ident or 0])
        for frame in stack:
            self._write(f"{frame.name} ({Path(frame.filename).name}:{frame.lineno})")
        for line in Path("/proc/self/status").read_text().splitlines():
            if line.startswith(SIGNAL_LINES):
                self._write(line)

    def _write(self, line: str) -> None:
        with self._report.open("a") as report:
            print(line, file=report)


class YieldingSocket:
    """A socket whose reader yields the interpreter's lock just before its ``recv``."""

    def __init__(self, wrapped: Any, order: ForcedOrder) -> None:
        self._wrapped = wrapped
        self._order = order

    def recv(self, size: int) -> bytes:
        self._order.yield_lock()
        return self._wrapped.recv(size)


def patch_daemon(order: ForcedOrder) -> None:
    """Arm the order as a daemon has started."""
    from mountstand import daemon

    start = daemon.Daemon.start

    def started(self: daemon.Daemon) -> None:
        start(self)
        order.arm()

    daemon.Daemon.start = started  # type: ignore[method-assign]


def patch_stop_signals(order: ForcedOrder) -> None:
    """Yield the interpreter's lock where ``StopSignals`` waits."""
    from mountstand.cli import stopping

    init = stopping.StopSignals.__init__

    def made(self: stopping.StopSignals, *arguments: Any) -> None:
        init(self, *arguments)
        self._receiver = YieldingSocket(self._receiver, order)  # type: ignore[assignment]

    stopping.StopSignals.__init__ = made  # type: ignore[method-assign]


ORDER: ForcedOrder | None = None
if os.environ.get("FORCED_ORDER_COMMAND", "-") in sys.orig_argv:
    ORDER = ForcedOrder(
        os.environ["FORCED_ORDER_MOMENT"],
        os.environ["FORCED_ORDER_RECEIVER"],
        Path(os.environ["FORCED_ORDER_REPORT"]),
    )
    if "mountstand" in sys.orig_argv:
        patch_daemon(ORDER)
        # A tree without it waits in ``Condition.wait``.
        with contextlib.suppress(ImportError):
            patch_stop_signals(ORDER)
