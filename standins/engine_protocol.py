"""Bodies of the OpenAI-style completion calls: parsing requests, building answers."""

import time
from dataclasses import dataclass
from typing import Any

import msgspec
from werkzeug.exceptions import BadRequest

from standins.engine_model import count_tokens

DONE = b"data: [DONE]\n\n"


class ContinueFrom(msgspec.Struct, frozen=True):
    """What an earlier call of the same request has generated."""

    text: str = ""
    tokens: int = 0


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: str


class _Body(msgspec.Struct, frozen=True, kw_only=True):
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
        model: ``adapter@version``.
        prompt: Original prompt, without what was generated earlier.
        max_tokens: Tokens of the whole answer, earlier calls included.
        first_token: Number of tokens that earlier calls have generated.
        priority: Lower goes first.
        is_streamed: Whether the answer is a stream of events.
        is_chat: Whether it came as a chat completion.
        answer_id: Value of ``id`` in the answer.
    """

    model: str
    prompt: str
    max_tokens: int
    first_token: int
    priority: int
    is_streamed: bool
    is_chat: bool
    answer_id: str


def parse_completion(data: bytes, *, is_chat: bool, answer_id: str) -> Completion:
    """Reads the body of a completion call.

    Args:
        data: JSON body.
        is_chat: Whether it has ``messages`` instead of ``prompt``.
        answer_id: Value of ``id`` in the answer.

    Raises:
        BadRequest: If the body cannot be read.
    """
    try:
        body = msgspec.json.decode(data, type=_Body)
    except msgspec.MsgspecError as error:
        raise BadRequest(f"body is not a completion request: {error}") from error
    if body.max_tokens < 1 or body.continue_from.tokens < 0:
        raise BadRequest(
            "max_tokens must be at least 1, continue_from.tokens at least 0"
        )
    if is_chat and not body.messages:
        raise BadRequest("messages must not be empty")
    generated = body.continue_from.text
    return Completion(
        model=body.model,
        prompt=_chat_prompt(body.messages, generated)
        if is_chat
        else body.prompt.removesuffix(generated),
        max_tokens=body.max_tokens,
        first_token=body.continue_from.tokens,
        priority=body.priority,
        is_streamed=body.stream,
        is_chat=is_chat,
        answer_id=answer_id,
    )


def answer_event(
    completion: Completion, *, model: str, text: str, tokens: int, is_last: bool
) -> bytes:
    """Returns one server-sent event of a streamed answer.

    Args:
        completion: The request.
        model: Model that really ran.
        text: Text of the token; empty if there was nothing left to generate.
        tokens: Tokens that this call has generated so far.
        is_last: Whether the usage is added and the answer ends.
    """
    content = {"delta": {"content": text}} if completion.is_chat else {"text": text}
    event = _frame(completion, model, content, is_last=is_last)
    if completion.is_chat:
        event["object"] = "chat.completion.chunk"
    if is_last:
        event["usage"] = _usage(completion, tokens)
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def whole_answer(
    completion: Completion, *, model: str, text: str, tokens: int
) -> dict[str, Any]:
    """Returns the body of an answer that is not streamed.

    Args:
        completion: The request.
        model: Model that really ran.
        text: Whole text of this call.
        tokens: Tokens that this call has generated.
    """
    message = {"message": {"role": "assistant", "content": text}}
    content = message if completion.is_chat else {"text": text}
    answer = _frame(completion, model, content, is_last=True)
    answer["usage"] = _usage(completion, tokens)
    return answer


def _frame(
    completion: Completion, model: str, content: dict[str, Any], *, is_last: bool
) -> dict[str, Any]:
    finish_reason = "length" if is_last else None
    return {
        "id": completion.answer_id,
        "object": "chat.completion" if completion.is_chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [{"index": 0, **content, "finish_reason": finish_reason}],
    }


def _usage(completion: Completion, tokens: int) -> dict[str, int]:
    prompt_tokens = count_tokens(completion.prompt) + completion.first_token
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def _chat_prompt(messages: tuple[_Message, ...], generated: str) -> str:
    last = messages[-1]
    if generated and last.role == "assistant" and last.content == generated:
        messages = messages[:-1]
    return "\n".join(f"{message.role}: {message.content}" for message in messages)
