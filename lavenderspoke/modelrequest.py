"""What a completions or chat-completions request says of its size."""

import json

import attrs
from result import Err, Ok, Result

DEFAULT_OUTPUT_TOKENS = 256
"""What a request that names no limit is taken to ask for, for ordering only."""


@attrs.frozen(kw_only=True)
class ModelRequestError:
    """A model request that can't be understood."""

    detail: str


@attrs.frozen(kw_only=True)
class ModelRequest:
    """The parts of a model request on which it is scheduled.

    A token is estimated as a word of the prompt.
    """

    prompt: str
    prompt_tokens: int
    max_output_tokens: int
    stream: bool


def is_completion(method: str, path: str) -> bool:
    """Return whether a request asks a model engine to generate.

    >>> is_completion("POST", "/v1/chat/completions?trace=1")
    True
    """
    return method == "POST" and path.partition("?")[0].endswith("/completions")


def parse(body: bytes) -> Result[ModelRequest, ModelRequestError]:
    """Return what the JSON body says, or what is wrong with it."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return Err(ModelRequestError(detail="the body is not JSON"))
    if not isinstance(fields, dict):
        return Err(ModelRequestError(detail="the body must be a JSON object"))
    try:
        return Ok(_parse_fields(fields))
    except _FieldError as error:
        return Err(ModelRequestError(detail=str(error)))


class _FieldError(ValueError):
    """A field has the wrong type or value."""


def _parse_fields(fields: dict) -> ModelRequest:
    prompt, prompt_tokens = _prompt(fields)
    return ModelRequest(
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        max_output_tokens=_max_output_tokens(fields),
        stream=_stream(fields),
    )


def _stream(fields: dict) -> bool:
    stream = fields.get("stream")
    if not isinstance(stream, bool | None):
        raise _FieldError("stream must be true or false")
    return bool(stream)


def _max_output_tokens(fields: dict) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if type(value) is not int or value < 0:
            raise _FieldError(f"{name} must be a whole number, zero or more")
        return value
    return DEFAULT_OUTPUT_TOKENS


def _prompt(fields: dict) -> tuple[str, int]:
    """Return the prompt's text and its estimated tokens."""
    if "messages" in fields:
        text = "\n".join(_contents(fields["messages"]))
        return text, len(text.split())
    prompt = fields.get("prompt")
    if isinstance(prompt, str):
        return prompt, len(prompt.split())
    if isinstance(prompt, list) and all(isinstance(each, str) for each in prompt):
        text = "\n".join(prompt)
        return text, len(text.split())
    if isinstance(prompt, list) and all(type(each) is int for each in prompt):
        return " ".join(map(str, prompt)), len(prompt)
    raise _FieldError("prompt must be text, or messages must be given")


def _contents(messages) -> list[str]:
    if not isinstance(messages, list):
        raise _FieldError("messages must be a list")
    return [_content(message) for message in messages]


def _content(message) -> str:
    if not isinstance(message, dict):
        raise _FieldError("each message must be an object")
    content = message.get("content")
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list) and all(isinstance(each, dict) for each in content):
        return "\n".join(str(each.get("text", "")) for each in content)
    raise _FieldError("a message's content must be text or a list of parts")
