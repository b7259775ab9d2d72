"""How the body of a frame is encoded; which messages there are differs between programs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any


class BodyError(Exception):
    """Bytes that are no message of the kind they claim to be."""


class BodyCodec(ABC):
    """Encodes and decodes the messages of one program."""

    __slots__ = ()

    @abstractmethod
    def encode(self, message: Any) -> tuple[int, bytes]:
        """Return a message's kind number and its binary form."""

    @abstractmethod
    def decode(self, kind: int, body: bytes) -> Any:
        """Return the message in ``body``. Raises ``BodyError``."""
