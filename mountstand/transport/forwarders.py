"""How a port forwarder shows that nobody answers behind it: it turns connections away.

It accepts them, so that no connect is refused, and closes them at once.
"""

from __future__ import annotations

TURNED_AWAY_S = 0.05
"""A forwarder that finds nobody behind it closes a connection within some milliseconds; a worker
keeps one that says nothing for hundreds."""

TURNED_AWAY_PAUSE_S = 0.25
"""Time between checks where connections are turned away. A worker that is full does so too, for
some tenths of a second, and a link that resets some lets the next one through; either is heard
meanwhile on other connections."""
