"""Ports to the platform: what mountstand needs of a table, an object store and a machine list.

Replacing the users' platform dialect touches one adapter per port and nothing else. All calls
block, raise only kinds from :mod:`mountstand.errors`, and may be made from any thread.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

ABSENT = 0
"""Version that stands for a row which does not exist."""


class Row(BaseModel):
    """One row of the table; ``version`` rises with every change of any row."""

    model_config = ConfigDict(frozen=True)

    key: str
    version: int
    write_id: str
    value: dict[str, Any]


class Condition(BaseModel):
    """Demand that row ``key`` has exactly ``version`` (``ABSENT``: no such row)."""

    model_config = ConfigDict(frozen=True)

    key: str
    version: int


class Put(BaseModel):
    """Write row ``key``."""

    model_config = ConfigDict(frozen=True)

    key: str
    value: dict[str, Any]


class Transaction(BaseModel):
    """Conditions, writes and reads that take effect together or not at all.

    ``write_id`` is unique to the attempt and is stored in every row written, so that a lost answer
    can be resolved by reading a row back. Reads see the state after the writes.
    """

    model_config = ConfigDict(frozen=True)

    write_id: str = ""
    conditions: list[Condition] = Field(default_factory=list)
    puts: list[Put] = Field(default_factory=list)
    deletes: list[str] = Field(default_factory=list)
    read_keys: list[str] = Field(default_factory=list)
    read_prefixes: list[str] = Field(default_factory=list)


class Outcome(BaseModel):
    """What a committed transaction read, and the version its writes got."""

    model_config = ConfigDict(frozen=True)

    version: int
    rows: list[Row] = Field(default_factory=list)

    def row(self, key: str) -> Row | None:
        """Return the row read under ``key``, if it exists."""
        return next((row for row in self.rows if row.key == key), None)


class TablePort(ABC):
    """The transactional table service."""

    @abstractmethod
    def commit(self, transaction: Transaction) -> Outcome:
        """Run ``transaction``.

        Raises
        ------
        WriteConflict
            A condition did not hold; nothing was written.
        StoreThrottled
            Over the store's rate; nothing was written.
        StoreUnavailable
            No connection; nothing was written.
        WriteOutcomeUnknown
            The answer was lost; the writes may have taken effect.
        """

    def read(self, *keys: str, prefixes: tuple[str, ...] = ()) -> Outcome:
        """Read rows by key and by key prefix at one moment."""
        return self.commit(Transaction(read_keys=list(keys), read_prefixes=list(prefixes)))


class ObjectPort(ABC):
    """The object store. Objects are written once under unique names and never changed."""

    @abstractmethod
    def put(self, name: str, body: bytes) -> None:
        """Store ``body``; repeating the same call is harmless. Raises ``StoreUnavailable``."""

    @abstractmethod
    def get(self, name: str) -> bytes:
        """Return an object. Raises ``NotFound`` or ``StoreUnavailable``."""

    @abstractmethod
    def delete(self, name: str) -> None:
        """Remove an object, if it is there. Raises ``StoreUnavailable``."""


class MachineRole(Enum):
    """What a machine of the fleet runs."""

    DAEMON = "daemon"
    ENGINE = "engine"
    APPLICATION = "application"


class MachineState(Enum):
    """Whether the platform will take a machine away."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(BaseModel):
    """One machine of the platform's list; ``service`` names what its worker serves.

    ``software_version`` is that of the worker's software, empty if the list doesn't tell. Daemons
    that don't know the field reject a list with it.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    machine_id: str
    role: MachineRole
    address: str
    port: int = Field(ge=1, le=65535)
    zone: str
    service: str = ""
    state: MachineState = MachineState.LIVE
    software_version: str = ""

    @property
    def leaving(self) -> bool:
        """Whether the platform will take this machine away."""
        return self.state is MachineState.LEAVING


class MachineListPort(ABC):
    """The platform's lagging list of live and leaving machines."""

    @abstractmethod
    def machines(self) -> list[Machine]:
        """Return the list as the platform shows it. Raises ``StoreUnavailable``."""
