"""Stores the results of complete ranges and reports them to their owners."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Callable

from mountstand.batch.held_range import HeldRange
from mountstand.batch.model import only_segment
from mountstand.batch.owner_client import OwnerClient
from mountstand.errors import MountstandError
from mountstand.store.ports import ObjectPort
from mountstand.wire.messages import Confirmed, ReportRange

logger = logging.getLogger(__name__)

FINISH_RETRY_S = 0.5


class RangeFinisher:
    """Finishes ranges of the daemon ``self_id``; thread-safe.

    ``on_reported`` is called with each range whose owner has confirmed its results.
    """

    __slots__ = ("_objects", "_on_reported", "_owners", "_self_id", "_stopping")

    def __init__(
        self,
        self_id: str,
        objects: ObjectPort,
        owners: OwnerClient,
        on_reported: Callable[[HeldRange], None],
    ) -> None:
        self._self_id = self_id
        self._objects = objects
        self._owners = owners
        self._on_reported = on_reported
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Let the present tries to finish ranges be the last."""
        self._stopping.set()

    def finish(self, held: HeldRange) -> None:
        """Store a range's results and report them; go on until both are done."""
        name = segment_name(held)
        stored = False
        has_logged = False
        while not held.dropped and not self._stopping.is_set():
            try:
                if not stored:
                    self._objects.put(name, held.segment())
                    stored = True
                if self._report(held, name):
                    self._on_reported(held)
                    return
            except MountstandError as error:
                logger.debug("range cannot be finished yet", extra={"code": error.code})
            except Exception:
                if not has_logged:
                    logger.exception("range cannot be finished", extra={"object": name})
                has_logged = True
            self._stopping.wait(FINISH_RETRY_S)

    def _report(self, held: HeldRange, name: str) -> bool:
        completed = held.completed
        failed = len(held.items) - completed
        report = ReportRange(self._self_id, held.grant.key, name, completed, failed)
        reply = self._owners.call(held.owner_id, report)
        if isinstance(reply, Confirmed) and reply.confirmed:
            return True
        held.owner_id = self._owners.find(held.grant.key.job_key) or held.owner_id
        return False


def segment_name(held: HeldRange) -> str:
    """Return the name of the object for a range's results, unique where the range may run again."""
    prefix = held.grant.segment_prefix
    return f"{prefix}-{uuid.uuid4().hex}" if held.grant.repeatable else only_segment(prefix)
