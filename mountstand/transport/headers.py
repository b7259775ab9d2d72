"""Header lists with case-insensitive look-up."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

Header = tuple[str, str]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection or one framing; never passed on."""


MAX_DIGITS = 18
"""Digits of a number, sign included, that fits into 64 bits and into a float of seconds."""


class Headers:
    """An ordered list of headers."""

    def __init__(self, items: Iterable[Header]) -> None:
        self.items = list(items)
        self._first: dict[str, str] = {}
        for name, value in self.items:
            self._first.setdefault(name.lower(), value)

    def __iter__(self) -> Iterator[Header]:
        return iter(self.items)

    def get(self, name: str) -> str | None:
        """Return the first value of ``name`` (lower case), or ``None``."""
        return self._first.get(name)

    def all(self, name: str) -> list[str]:
        """Return every value of ``name`` (lower case)."""
        return [value for key, value in self.items if key.lower() == name]

    def end_to_end(self) -> list[Header]:
        """Return the headers to pass on, without those of the connection itself."""
        named = {
            word.strip().lower() for value in self.all("connection") for word in value.split(",")
        }
        return [
            (name, value)
            for name, value in self.items
            if name.lower() not in HOP_BY_HOP and name.lower() not in named
        ]


def number(text: str | None) -> int | None:
    """Return a header's whole number, or ``None`` where there is none of at most 18 digits."""
    if text is None or len(text.strip()) > MAX_DIGITS:
        return None
    try:
        return int(text)
    except ValueError:
        return None
