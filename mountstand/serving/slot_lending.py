"""Slots of other daemons for requests that find none of this daemon's own free.

A daemon asks one that has free slots by the picture, or batch items that would give way; that one
knows exactly, and names a worker. It counts the slot as taken until the borrower's digests show it.
A daemon that says nothing holds nothing back: its workers are used by the picture then.
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

ANSWER_S = 0.02
"""How long an answer is waited for: a datagram there and back takes two milliseconds between zones,
and a busy daemon some more."""

HELD_S = 0.02
"""Time for the word of a request to be sent, beyond that which digests take."""

OFFER_S = 0.25
"""A daemon that was told that nothing is free gets the next slot that is, if that is so soon."""

MOST_ASKED = 3
"""Daemons that one request asks, one after another; each answer takes some milliseconds."""

MOST_UNSERVED = 64
"""Questions that are remembered at most; the oldest go first."""

NO_WORKER = 0
"""What an answer names that lends nothing."""


SlotMessage = SlotAsk | SlotGrant | SlotReturn


@dataclass(frozen=True, slots=True)
class _Offer:
    """A daemon that may have slots to lend, by the picture."""

    owner: str
    slots: float
    worker: Worker
    """Its worker with most of them, for the case that it says nothing."""


@dataclass(frozen=True, slots=True)
class _Unserved:
    """A question of another daemon to which nothing was free."""

    sender: str
    number: int
    until_s: float


class SlotLending:
    """Borrows slots from other daemons, and lends this daemon's own.

    ``may_lend`` says whether no request waits here itself, so that free slots may go to others;
    ``preempt_batch_item`` takes a batch item of this daemon off and returns the worker, if there is one:
    requests that wait here have each had one taken off already. ``assign_borrowed_slot`` gives a slot to a request
    that waits here, and returns whether there is one.
    """

    def __init__(
        self, directory: WorkerDirectory, own: str, link: MessageLink, rng: random.Random
    ) -> None:
        self._directory = directory
        self._own = own
        self._link = link
        self._rng = rng
        self._numbers = itertools.count(rng.getrandbits(32))
        self._answer_by_number: dict[int, asyncio.Future[bool]] = {}
        self.may_lend: Callable[[str], bool] = lambda service: True
        self.preempt_batch_item: Callable[[str], Worker | None] = lambda service: None
        self.assign_borrowed_slot: Callable[[Worker], bool] = lambda worker: False
        self._unserved_by_service: dict[str, deque[_Unserved]] = {}

    def slots_are_partitioned(self, service: str) -> bool:
        """Return whether there are daemons to ask."""
        return bool(self._directory.chooser.slot_owners_by_service.get(service))

    async def borrow(self, service: str) -> None:
        """Look for a slot for one of the requests that wait here."""
        asked: set[str] = set()
        for _ in range(MOST_ASKED):
            offer = self._best_offer(service, asked)
            if offer is None:
                return
            asked.add(offer.owner)
            if await self._ask(service, offer):
                return

    def handle(self, sender: str, message: SlotMessage) -> None:
        """Answer another daemon's question, or take its answer."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, SlotAsk):
            self._answer(sender, message)
        elif isinstance(message, SlotReturn):
            worker = self._directory.by_key.get(message.worker)
            if worker is not None:
                worker.note_slot_returned()
                self.offer(worker, now_s)
        else:
            lent = message.worker != NO_WORKER and self._use_lent(sender, message.worker, now_s)
            answer = self._answer_by_number.get(message.number)
            if answer is not None and not answer.done():
                answer.set_result(lent)

    def _use_lent(self, sender: str, key: int, now_s: float) -> bool:
        """Use a lent slot, or give it back; returns whether its worker can be used at all."""
        worker = self._directory.by_key.get(key)
        if worker is None or not worker.is_available(now_s):
            return False
        if not self.assign_borrowed_slot(worker):
            self._link.send(SlotReturn(key), (sender,))
        return True

    def offer(self, worker: Worker, now_s: float) -> None:
        """Lend a slot that just became free to a daemon that asked in vain a moment ago."""
        unserved = self._unserved_by_service.get(worker.record.service)
        while unserved:
            question = unserved.popleft()
            if question.until_s > now_s:
                worker.note_slot_granted(self._held_until_s(now_s))
                self._link.send(SlotGrant(question.number, worker.key), (question.sender,))
                return

    def _held_until_s(self, now_s: float) -> float:
        """Return until when a lent slot counts as taken: then digests show what runs there."""
        return now_s + 2 * self._directory.chooser.peer_load_age_s + HELD_S

    async def _ask(self, service: str, offer: _Offer) -> bool:
        """Ask one daemon; returns whether it lent a slot, or said nothing and one was used."""
        number = next(self._numbers)
        answer = self._answer_by_number[number] = asyncio.get_running_loop().create_future()
        try:
            self._link.send(SlotAsk(number, service_key(service, WorkKind.ONLINE)), (offer.owner,))
            async with asyncio.timeout(ANSWER_S):
                return await answer
        except TimeoutError:
            now_s = asyncio.get_running_loop().time()
            return offer.worker.has_free_slot(now_s) and self.assign_borrowed_slot(offer.worker)
        finally:
            del self._answer_by_number[number]

    def _answer(self, sender: str, question: SlotAsk) -> None:
        """Lend a slot, or remember who asked."""
        now_s = asyncio.get_running_loop().time()
        service = self._service(question.service)
        worker = self._lend(service, now_s) if service is not None else None
        if worker is None and service is not None:
            unserved = self._unserved_by_service.setdefault(service, deque(maxlen=MOST_UNSERVED))
            unserved.append(_Unserved(sender, question.number, now_s + OFFER_S))
        key = worker.key if worker is not None else NO_WORKER
        self._link.send(SlotGrant(question.number, key), (sender,))

    def _lend(self, service: str, now_s: float) -> Worker | None:
        """Return a worker whose slot another daemon may use, and count the slot as taken."""
        worker = self._directory.choose_own_slot(service, now_s) if self.may_lend(service) else None
        if worker is None:
            worker = self.preempt_batch_item(service)
        if worker is not None:
            worker.note_slot_granted(self._held_until_s(now_s))
        return worker

    def _service(self, key: int) -> str | None:
        services = self._directory.services
        return next((s for s in services if service_key(s, WorkKind.ONLINE) == key), None)

    def _best_offer(self, service: str, asked: set[str]) -> _Offer | None:
        """Return one of the daemons that may lend, the likelier the more slots they have."""
        now_s = asyncio.get_running_loop().time()
        best_by_owner: dict[str, _Offer] = {}
        owners_by_worker = self._directory.chooser.slot_owners_by_service.get(service, {})
        for worker in self._directory.active_workers(service):
            if not worker.is_available(now_s):
                continue
            free = worker.slots() - worker.estimated_load(now_s) + worker.peer_batch
            if free < 1:
                continue
            for owner, slots in owners_by_worker.get(worker.record.worker_id, {}).items():
                if owner == self._own or owner in asked:
                    continue
                known = best_by_owner.get(owner)
                found = min(free, slots)
                if known is None:
                    best_by_owner[owner] = _Offer(owner, found, worker)
                else:
                    best = worker if found > known.slots else known.worker
                    best_by_owner[owner] = _Offer(owner, known.slots + found, best)
        offers = list(best_by_owner.values())
        if not offers:
            return None
        return self._rng.choices(offers, [offer.slots for offer in offers])[0]
