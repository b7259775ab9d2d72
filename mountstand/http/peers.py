"""``POST /internal/messages``: calls of other daemons, authenticated by the frame itself."""

from __future__ import annotations

import cherrypy

from mountstand.http.requests import read_body
from mountstand.wire.frames import MAX_FRAME_BYTES
from mountstand.wire.peers import PeerServer


class PeerMessagesResource:
    """Answers sealed messages."""

    exposed = True

    def __init__(self, peers: PeerServer) -> None:
        self._peers = peers

    def POST(self) -> bytes:  # noqa: N802
        """Answer one message."""
        answer = self._peers.answer(read_body(MAX_FRAME_BYTES))
        cherrypy.response.headers["Content-Type"] = "application/octet-stream"
        return answer
