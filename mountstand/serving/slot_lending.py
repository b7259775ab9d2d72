"""Borrow slots from other daemons, and lend this daemon's own.

Each daemon owns a share of every service's slots (:mod:`mountstand.serving.slot_shares`) and knows
the state of its own slots exactly. When none of them is free, the daemon asks a peer that has free
slots or preemptible batch items according to the load snapshot. The peer replies with a worker, and
counts the slot as taken until the borrower's digests include the request. If a peer does not reply
in time, the daemon uses the peer's workers according to the load snapshot.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.membership.message_link import MessageLink
from mountstand.serving.slot_demand import WorkKind, service_key
from mountstand.serving.worker import Worker
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import SlotAsk, SlotGrant, SlotReturn

SLOT_REPLY_TIMEOUT_S = 0.02
"""Maximum wait for the reply to a ``SlotAsk``. A datagram round trip between zones takes about 2
ms; the rest is a margin for a busy peer."""

LOAN_EXPIRY_MARGIN_S = 0.02
"""Margin by which a loan outlives the digest delay; covers the time until the borrower sends its
request to the worker."""

UNMET_ASK_TTL_S = 0.25
"""How long a ``SlotAsk`` that could not be met stays valid for a slot that is released later."""

MAX_PEERS_ASKED = 3
"""Maximum number of peers asked, one after another, per attempt to borrow a slot. Each reply adds
some milliseconds to the request's wait."""

MAX_UNMET_ASKS = 64
"""Maximum number of unmet slot asks kept per service; the oldest are dropped first."""

NO_WORKER_KEY = 0
"""``SlotGrant.worker`` of a reply that grants no slot."""


SlotMessage = SlotAsk | SlotGrant | SlotReturn


@dataclass(frozen=True, slots=True)
class _LenderCandidate:
    """A daemon with ``slots`` that it may lend, according to the load snapshot."""

    owner: str
    slots: float
    worker: Worker
    """Its worker with the most such slots, which is used if the daemon does not reply."""


@dataclass(frozen=True, slots=True)
class _UnmetAsk:
    """A peer's slot ask that could not be met at once."""

    sender: str
    number: int
    expires_at_s: float


class SlotLending:
    """Borrows slots from other daemons, and lends this daemon's own.

    ``may_lend`` returns whether free slots of a service may be lent, that is, no request waits
    here. ``preempt_batch_item`` preempts one of this daemon's batch items, if any, and returns its
    worker; it is called even while requests wait here, since each of them has already triggered a
    preemption. ``assign_borrowed_slot`` assigns a slot to a request that waits here and returns
    whether there was one.
    """

    def __init__(
        self, directory: WorkerDirectory, own_id: str, link: MessageLink, rng: random.Random
    ) -> None:
        self._directory = directory
        self._own_id = own_id
        self._link = link
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(32))
        self._reply_by_number: dict[int, asyncio.Future[bool]] = {}
        self.may_lend: Callable[[str], bool] = lambda service: True
        self.preempt_batch_item: Callable[[str], Worker | None] = lambda service: None
        self.assign_borrowed_slot: Callable[[Worker], bool] = lambda worker: False
        self._unmet_asks_by_service: dict[str, deque[_UnmetAsk]] = {}

    def slots_are_partitioned(self, service: str) -> bool:
        """Return whether the service's slots are partitioned among daemons."""
        return bool(self._directory.chooser.slot_owners_by_service.get(service))

    async def borrow(self, service: str) -> None:
        """Try to borrow a slot for one of the requests that wait here."""
        asked: set[str] = set()
        for _ in range(MAX_PEERS_ASKED):
            lender = self._choose_lender(service, asked)
            if lender is None:
                return
            asked.add(lender.owner)
            if await self._request_slot(service, lender):
                return

    def handle(self, sender: str, message: SlotMessage) -> None:
        """Process a slot message from another daemon."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, SlotAsk):
            self._handle_ask(sender, message)
        elif isinstance(message, SlotReturn):
            worker = self._directory.by_key.get(message.worker)
            if worker is not None:
                worker.note_slot_returned()
                self.grant_freed_slot(worker, now_s)
        else:
            usable = message.worker != NO_WORKER_KEY and self._accept_grant(
                sender, message.worker, now_s
            )
            reply = self._reply_by_number.get(message.number)
            if reply is not None and not reply.done():
                reply.set_result(usable)

    def _accept_grant(self, sender: str, worker_key: int, now_s: float) -> bool:
        """Use a granted slot, or return it unused; return whether its worker is available."""
        worker = self._directory.by_key.get(worker_key)
        if worker is None or not worker.is_available(now_s):
            return False
        if not self.assign_borrowed_slot(worker):
            self._link.send(SlotReturn(worker_key), (sender,))
        return True

    def grant_freed_slot(self, worker: Worker, now_s: float) -> None:
        """Grant a slot that was just released to the oldest unmet slot ask that has not expired."""
        unmet_asks = self._unmet_asks_by_service.get(worker.record.service)
        while unmet_asks:
            ask = unmet_asks.popleft()
            if ask.expires_at_s > now_s:
                worker.note_slot_granted(self._loan_expires_at_s(now_s))
                self._link.send(SlotGrant(ask.number, worker.key), (ask.sender,))
                return

    def _loan_expires_at_s(self, now_s: float) -> float:
        """Return when the borrower's digests should include the request that uses the slot.

        ``peer_load_age_s`` is an average, so twice that age is allowed for.
        """
        return now_s + 2 * self._directory.chooser.peer_load_age_s + LOAN_EXPIRY_MARGIN_S

    async def _request_slot(self, service: str, lender: _LenderCandidate) -> bool:
        """Ask a peer for a slot; return whether one was granted or, without a reply, used."""
        number = next(self._numbers)
        reply = self._reply_by_number[number] = asyncio.get_running_loop().create_future()
        try:
            self._link.send(SlotAsk(number, service_key(service, WorkKind.ONLINE)), (lender.owner,))
            async with asyncio.timeout(SLOT_REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            now_s = asyncio.get_running_loop().time()
            return lender.worker.has_free_slot(now_s) and self.assign_borrowed_slot(lender.worker)
        finally:
            del self._reply_by_number[number]

    def _handle_ask(self, sender: str, ask: SlotAsk) -> None:
        """Grant a slot, or reply that none is free and keep the ask for a slot freed later."""
        now_s = asyncio.get_running_loop().time()
        service = self._service_with_key(ask.service)
        worker = self._reserve_slot(service, now_s) if service is not None else None
        if worker is None and service is not None:
            unmet_asks = self._unmet_asks_by_service.setdefault(
                service, deque(maxlen=MAX_UNMET_ASKS)
            )
            unmet_asks.append(_UnmetAsk(sender, ask.number, now_s + UNMET_ASK_TTL_S))
        worker_key = worker.key if worker is not None else NO_WORKER_KEY
        self._link.send(SlotGrant(ask.number, worker_key), (sender,))

    def _reserve_slot(self, service: str, now_s: float) -> Worker | None:
        """Choose a worker whose slot a peer may use, and count the slot as taken."""
        worker = self._directory.choose_own_slot(service, now_s) if self.may_lend(service) else None
        if worker is None:
            worker = self.preempt_batch_item(service)
        if worker is not None:
            worker.note_slot_granted(self._loan_expires_at_s(now_s))
        return worker

    def _service_with_key(self, key: int) -> str | None:
        services = self._directory.services
        return next((s for s in services if service_key(s, WorkKind.ONLINE) == key), None)

    def _choose_lender(self, service: str, asked: set[str]) -> _LenderCandidate | None:
        """Choose a peer at random, weighted by the slots that it may lend."""
        now_s = asyncio.get_running_loop().time()
        candidate_by_owner: dict[str, _LenderCandidate] = {}
        slots_by_owner_by_worker = self._directory.chooser.slot_owners_by_service.get(service, {})
        for worker in self._directory.active_workers(service):
            if not worker.is_available(now_s):
                continue
            free_slots = worker.slots() - worker.estimated_load(now_s) + worker.peer_batch
            if free_slots < 1:
                continue
            for owner, slots in slots_by_owner_by_worker.get(worker.record.worker_id, {}).items():
                if owner == self._own_id or owner in asked:
                    continue
                candidate = candidate_by_owner.get(owner)
                lendable_slots = min(free_slots, slots)
                if candidate is None:
                    candidate_by_owner[owner] = _LenderCandidate(owner, lendable_slots, worker)
                else:
                    best_worker = worker if lendable_slots > candidate.slots else candidate.worker
                    candidate_by_owner[owner] = _LenderCandidate(
                        owner, candidate.slots + lendable_slots, best_worker
                    )
        candidates = list(candidate_by_owner.values())
        if not candidates:
            return None
        return self._rng.choices(candidates, [candidate.slots for candidate in candidates])[0]
