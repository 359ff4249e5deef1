"""Bodies of OpenAI-style completion calls: parses requests and builds responses."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec
from werkzeug.exceptions import BadRequest

from standins.engine_model import count_tokens

DONE = b"data: [DONE]\n\n"


class ContinueFrom(msgspec.Struct, frozen=True):
    """Output that earlier calls of the same request have generated."""

    text: str = ""
    tokens: int = 0


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: str


class _CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    prompt: str = ""
    messages: tuple[_Message, ...] = ()
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    continue_from: ContinueFrom = ContinueFrom()


@dataclass(frozen=True, slots=True)
class Completion:
    """A completion request.

    Attributes:
        model: Model to run, as ``adapter@version``.
        prompt: Original prompt, without text that earlier calls generated.
        max_tokens: Number of tokens of the whole response, including earlier calls.
        first_token: Number of tokens that earlier calls generated.
        priority: Priority level; lower values run first.
        is_streamed: Whether the response is a stream of events.
        is_chat: Whether the request is a chat completion.
        response_id: Value of ``id`` in the response.
    """

    model: str
    prompt: str
    max_tokens: int
    first_token: int
    priority: int
    is_streamed: bool
    is_chat: bool
    response_id: str


def parse_completion(data: bytes, *, is_chat: bool, response_id: str) -> Completion:
    """Parses the body of a completion call.

    Args:
        data: JSON body.
        is_chat: Whether the body has ``messages`` instead of ``prompt``.
        response_id: Value of ``id`` in the response.

    Raises:
        BadRequest: If the body is invalid.
    """
    try:
        body = msgspec.json.decode(data, type=_CompletionBody)
    except msgspec.MsgspecError as error:
        raise BadRequest(f"body is not a completion request: {error}") from error
    if body.max_tokens < 1 or body.continue_from.tokens < 0:
        raise BadRequest(
            "max_tokens must be at least 1 and continue_from.tokens at least 0"
        )
    if is_chat and not body.messages:
        raise BadRequest("messages must not be empty")
    generated = body.continue_from.text
    return Completion(
        model=body.model,
        prompt=_format_chat_prompt(body.messages, generated)
        if is_chat
        else body.prompt.removesuffix(generated),
        max_tokens=body.max_tokens,
        first_token=body.continue_from.tokens,
        priority=body.priority,
        is_streamed=body.stream,
        is_chat=is_chat,
        response_id=response_id,
    )


def encode_stream_event(
    completion: Completion, *, model: str, text: str, tokens: int, is_last: bool
) -> bytes:
    """Encodes one server-sent event of a streamed response.

    Args:
        completion: The request.
        model: Model that ran.
        text: Text of the token; empty if no token was left to generate.
        tokens: Tokens that this call has generated so far.
        is_last: Whether this is the final event, which carries the usage.
    """
    content = {"delta": {"content": text}} if completion.is_chat else {"text": text}
    event = _build_envelope(completion, model, content, is_last=is_last)
    if completion.is_chat:
        event["object"] = "chat.completion.chunk"
    if is_last:
        event["usage"] = _build_usage(completion, tokens)
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def build_completion_response(
    completion: Completion, *, model: str, text: str, tokens: int
) -> dict[str, Any]:
    """Builds the body of a response that is not streamed.

    Args:
        completion: The request.
        model: Model that ran.
        text: Text that this call has generated.
        tokens: Tokens that this call has generated.
    """
    message = {"message": {"role": "assistant", "content": text}}
    content = message if completion.is_chat else {"text": text}
    response = _build_envelope(completion, model, content, is_last=True)
    response["usage"] = _build_usage(completion, tokens)
    return response


def _build_envelope(
    completion: Completion, model: str, content: dict[str, Any], *, is_last: bool
) -> dict[str, Any]:
    finish_reason = "length" if is_last else None
    return {
        "id": completion.response_id,
        "object": "chat.completion" if completion.is_chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, **content, "finish_reason": finish_reason}],
    }


def _build_usage(completion: Completion, tokens: int) -> dict[str, int]:
    prompt_tokens = count_tokens(completion.prompt) + completion.first_token
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def _format_chat_prompt(messages: tuple[_Message, ...], generated: str) -> str:
    last = messages[-1]
    if generated and last.role == "assistant" and last.content == generated:
        messages = messages[:-1]
    return "\n".join(f"{message.role}: {message.content}" for message in messages)
