"""The completions interface of an emulated engine: its requests and answers."""

from __future__ import annotations

from dataclasses import dataclass

import orjson
from aiohttp import web

from mountstand.emulator.engine_core import Sequence


@dataclass(frozen=True)
class CompletionCall:
    """A parsed completion request."""

    request_id: str
    label: str
    prompt: str
    max_tokens: int
    priority: int
    stream: bool
    chat: bool
    model: str


def parse_completion(request: web.Request, body: dict) -> CompletionCall:
    """Read a completion or chat completion request; raise ``ValueError`` when it is malformed."""
    chat = request.path.endswith("/chat/completions")
    if chat:
        prompt = "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])
    else:
        prompt = body["prompt"]
    if not isinstance(prompt, str):
        raise ValueError("prompt must be a string")
    return CompletionCall(
        request_id=request.headers.get("X-Request-Id", ""),
        label=request.headers.get("X-Label", ""),
        prompt=prompt,
        max_tokens=int(body.get("max_tokens", 16)),
        priority=int(request.headers.get("X-Priority", "0")),
        stream=bool(body.get("stream", False)),
        chat=chat,
        model=str(body.get("model", "")),
    )


def completion_body(call: CompletionCall, sequence: Sequence) -> dict:
    """Return the whole answer in OpenAI's shape."""
    text = "".join(sequence.tokens)
    choice: dict = {"index": 0, "finish_reason": "length"}
    if call.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": call.request_id,
        "object": "chat.completion" if call.chat else "text_completion",
        "model": call.model,
        "choices": [choice],
        "usage": {
            "completion_tokens": len(sequence.tokens),
            "cached_blocks": sequence.cached_blocks,
        },
    }


def token_frame(sequence: Sequence, index: int, *, chat: bool) -> bytes:
    """Return one server-sent event with one token."""
    token = sequence.tokens[index]
    choice: dict = {"index": 0}
    if chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    body = {"id": sequence.sequence_id, "token_index": index, "choices": [choice]}
    return b"data: " + orjson.dumps(body) + b"\n\n"
