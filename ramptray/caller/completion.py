"""Assembles a completion from an engine's stream of chunks."""

from __future__ import annotations

from typing import Any

import msgspec

from ramptray.engine import event


def assemble_completion(events: list[event.Event]) -> dict[str, Any]:
    """Returns the completion whose chunks are the data of the events."""
    chunks = [msgspec.json.decode(e.data) for e in events if not e.is_end]
    first, last = chunks[0], chunks[-1]
    is_chat = first.get("object") == "chat.completion.chunk"
    text = "".join(_get_text(chunk) for chunk in chunks)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": last["choices"][0].get("finish_reason"),
        "logprobs": None,
    }
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": first.get("id"),
        "object": "chat.completion" if is_chat else "text_completion",
        "created": first.get("created", 0),
        "model": first.get("model"),
        "choices": [choice],
        "usage": last.get("usage"),
    }


def render_prompt(payload: dict[str, Any]) -> str:
    """Returns the text of a request's prompt, for token counts and prefixes."""
    messages = payload.get("messages")
    if isinstance(messages, list):
        return "".join(
            f"{m.get('role')}: {m.get('content')}\n"
            for m in messages
            if isinstance(m, dict)
        )
    prompt = payload.get("prompt", "")
    return prompt if isinstance(prompt, str) else "".join(map(str, prompt))


def _get_text(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    choice = choices[0]
    return str(
        choice.get("delta", choice).get("content") or choice.get("text") or ""
    )
