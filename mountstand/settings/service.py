"""Settings of one daemon: its replica, kept up to date from peers first and the table second.

Every frame between daemons carries the sender's revision. A daemon that hears of a higher one asks
that sender for the changes and, once it has them, tells a few others at once; so a change reaches
all in a few hops, and the table is read by few. A slow poll of the table catches what gossip
missed.
"""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from pydantic import BaseModel, ValidationError

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.clock import elapsed_s
from mountstand.errors import MountstandError, PeerUnavailable
from mountstand.membership.member import Member
from mountstand.membership.service import MembershipService
from mountstand.settings.store import RequestedChange, SettingsStore
from mountstand.settings.tree import Revision, SettingsReplica, SettingsTree
from mountstand.telemetry.logs import log_state_change
from mountstand.wire.messages import RevisionHint, SettingsReply, SettingsRequest
from mountstand.wire.peers import PeerClient

logger = logging.getLogger(__name__)

HINTED_PEERS = 3
"""With three, a change reaches 370 daemons in about six hops."""

REPEATED_HINT_S = 0.5
"""Hints are repeated this often for a while, in case datagrams are lost; a daemon that has not
caught up yet tries again as often."""

REPEATED_HINTS = 3
TABLE_POLL_S = 5.0
CATCH_UP_PEERS = 3
MAX_DATAGRAM_DOCUMENT_BYTES = 1000
DATAGRAM_ANSWER_S = 0.2
DATAGRAM_CHECK_S = 0.01

TreeObserver = Callable[[SettingsTree], None]


class SettingsDocument(BaseModel):
    """Changes as one daemon gives them to another: revisions, or a whole tree."""

    revisions: list[Revision] | None = None
    tree: SettingsTree | None = None


class SettingsService(BackgroundPart):
    """The settings in force on this daemon; thread-safe."""

    name = "settings"

    def __init__(
        self, store: SettingsStore, membership: MembershipService, peers: PeerClient
    ) -> None:
        self._store = store
        self._membership = membership
        self._peers = peers
        self._lock = threading.RLock()
        self._replica = SettingsReplica()
        self._hints_left = 0
        self._heard: dict[str, int] = {}
        self._fetching: set[str] = set()
        self._fetchers = ThreadPoolExecutor(2, thread_name_prefix="settings-fetch")
        self.on_tree: TreeObserver = lambda tree: None
        self.caught_up = threading.Event()
        self._tasks = [
            PeriodicTask("settings poll", TABLE_POLL_S, self.poll_table),
            PeriodicTask("settings hints", REPEATED_HINT_S, self._repeat_hints),
        ]

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self._replica.revision

    @property
    def tree(self) -> SettingsTree:
        """Tree in force."""
        return self._replica.tree

    def start(self) -> None:
        """Start keeping up to date."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop."""
        stop_tasks(self._tasks)
        self._fetchers.shutdown(wait=False, cancel_futures=True)

    def apply(self, requested: list[RequestedChange], operator: str) -> Revision:
        """Make changes in the table and put them in force here; see :meth:`SettingsStore.apply`."""
        revision = self._store.apply(requested, operator)
        with self._lock:
            follows = self._take(SettingsDocument(revisions=[revision]))
        if not follows:
            self.poll_table()
        return revision

    def poll_table(self) -> None:
        """Catch up with the table; while it is down, with peers."""
        try:
            found = self._store.read_revision()
            if found > self.revision:
                self._catch_up_from_table(found)
        except MountstandError:
            if not self.caught_up.is_set():
                self._catch_up_from_peers()
            raise
        self.caught_up.set()

    def handle_revision(self, sender_id: str, revision: int) -> None:
        """Note a peer's revision; fetch what this daemon does not have."""
        self._heard[sender_id] = revision
        if revision <= self.revision:
            return
        with self._lock:
            if sender_id in self._fetching:
                return
            self._fetching.add(sender_id)
        self._fetchers.submit(self._fetch, sender_id)

    def answer(self, request: SettingsRequest) -> SettingsReply:
        """Answer a peer that wants to catch up."""
        with self._lock:
            revisions = self._replica.revisions_after(request.after_revision)
            document = (
                SettingsDocument(tree=self._replica.tree)
                if revisions is None
                else SettingsDocument(revisions=revisions)
            )
        return SettingsReply(document.model_dump_json(exclude_none=True).encode())

    def history(self, count: int) -> list[Revision]:
        """Return the last revisions, from the table."""
        last = self._store.read_revision()
        return self._store.read_revisions(max(1, last - count + 1), last)

    def status(self) -> dict[str, object]:
        """Return this daemon's revision and those it has heard of, for operators."""
        return {"revision": self.revision, "heard": dict(self._heard)}

    def _catch_up_from_table(self, found: int) -> None:
        missing = found - self.revision
        if self.revision and missing <= SettingsReplica.MAX_RECENT:
            revisions = self._store.read_revisions(self.revision + 1, found)
            document = SettingsDocument(revisions=revisions)
        else:
            document = SettingsDocument(tree=self._store.read_tree())
        with self._lock:
            self._take(document)

    def _catch_up_from_peers(self) -> None:
        """Take the highest revision of a few peers; the table cannot be asked."""
        for peer in self._membership.random_peers(CATCH_UP_PEERS):
            try:
                self._fetch_from(peer)
                self.caught_up.set()
            except PeerUnavailable:
                continue

    def _fetch(self, sender_id: str) -> None:
        try:
            member = self._membership.member(sender_id)
            if member is not None and not self._fetch_by_datagram(member):
                self._fetch_from(member)
        except PeerUnavailable:
            logger.debug("settings cannot be fetched", extra={"peer": sender_id})
        except Exception:
            logger.exception("settings cannot be fetched")
        finally:
            with self._lock:
                self._fetching.discard(sender_id)

    def _fetch_by_datagram(self, peer: Member) -> bool:
        """Ask by datagram, which is enough for a few changes; return whether this caught up."""
        wanted = self._heard.get(peer.member_id, 0)
        self._membership.send_hint(peer, SettingsRequest(self.revision))
        deadline_s = elapsed_s() + DATAGRAM_ANSWER_S
        while self.revision < wanted and elapsed_s() < deadline_s:
            time.sleep(DATAGRAM_CHECK_S)
        return self.revision >= wanted

    def handle_datagram(self, sender_id: str, message: SettingsRequest | SettingsReply) -> None:
        """Answer a request by datagram if the answer is small, or take such an answer."""
        if isinstance(message, SettingsReply):
            self._take_reply(sender_id, message)
            return
        member = self._membership.member(sender_id)
        reply = self.answer(message)
        if member is not None and len(reply.document) <= MAX_DATAGRAM_DOCUMENT_BYTES:
            self._membership.send_hint(member, reply)

    def _fetch_from(self, peer: Member) -> None:
        reply = self._peers.call(peer, SettingsRequest(self.revision))
        if not isinstance(reply, SettingsReply):
            raise PeerUnavailable(f"{peer.member_id}: unexpected answer")
        self._take_reply(peer.member_id, reply)

    def _take_reply(self, peer_id: str, reply: SettingsReply) -> None:
        try:
            document = SettingsDocument.model_validate_json(reply.document)
        except ValidationError:
            raise PeerUnavailable(f"{peer_id}: settings cannot be read") from None
        with self._lock:
            self._take(document)

    def _take(self, document: SettingsDocument) -> bool:
        """Put a document in force if it is newer; return whether it was."""
        if document.tree is not None:
            changed = self._replica.take_tree(document.tree)
        else:
            changed = self._replica.take_revisions(document.revisions or [])
        if changed:
            log_state_change(logger, "settings in force", revision=self.revision)
            self.on_tree(self._replica.tree)
            self._hints_left = REPEATED_HINTS
            self._send_hints()
        return changed

    def _repeat_hints(self) -> None:
        if not self.caught_up.is_set():
            self.poll_table()
        if self._hints_left > 0:
            self._hints_left -= 1
            self._send_hints()

    def _send_hints(self) -> None:
        for peer in self._membership.random_peers(HINTED_PEERS):
            self._membership.send_hint(peer, RevisionHint())
