"""Strict parsing of request bodies of the OpenAI API."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

import orjson

from persimmonyoke.errors import ErrorKind, RequestError
from persimmonyoke.internal.presets.model import PoolKind, Preset

DEFAULT_COMPLETION_TOKENS = 16
DEFAULT_CHAT_TOKENS = 256
ADAPTER_SEPARATOR = ":"
MAX_QUOTED_CHARACTERS = 100
NUMBER, STRING, BOOLEAN, OBJECT, ARRAY, ANY = (
    (int, float),
    (str,),
    (bool,),
    (dict,),
    (list,),
    (object,),
)

# Parameters of the OpenAI API that the engines don't support. They are ignored, but
# their types are checked, so that a caller's mistake is reported.
_IGNORED_COMMON = {
    "temperature": NUMBER,
    "top_p": NUMBER,
    "stop": (str, list),
    "presence_penalty": NUMBER,
    "frequency_penalty": NUMBER,
    "logit_bias": OBJECT,
    "seed": (int,),
    "user": STRING,
}
IGNORED_COMPLETION = MappingProxyType(
    {
        **_IGNORED_COMMON,
        "suffix": STRING,
        "logprobs": (int,),
    }
)
IGNORED_CHAT = MappingProxyType(
    {
        **_IGNORED_COMMON,
        "logprobs": BOOLEAN,
        "top_logprobs": (int,),
        "response_format": OBJECT,
        "tools": ARRAY,
        "tool_choice": (str, dict),
        "parallel_tool_calls": BOOLEAN,
        "functions": ARRAY,
        "function_call": (str, dict),
        "service_tier": STRING,
        "store": BOOLEAN,
        "metadata": OBJECT,
        "modalities": ARRAY,
        "audio": OBJECT,
        "prediction": OBJECT,
        "reasoning_effort": STRING,
        "verbosity": STRING,
        "web_search_options": OBJECT,
        "moderation": OBJECT,
        "safety_identifier": STRING,
        "prompt_cache_key": STRING,
        "prompt_cache_retention": STRING,
        "prompt_cache_options": OBJECT,
    }
)
USED_COMMON = frozenset({"model", "max_tokens", "stream", "stream_options", "n"})
USED_COMPLETION = USED_COMMON | {"prompt", "echo", "best_of"}
USED_CHAT = USED_COMMON | {"messages", "max_completion_tokens"}
MESSAGE_FIELDS = frozenset(
    {
        "role",
        "content",
        "name",
        "refusal",
        "tool_calls",
        "tool_call_id",
        "function_call",
        "audio",
    }
)
ROLES = frozenset({"developer", "system", "user", "assistant", "tool", "function"})
STREAM_OPTIONS = frozenset({"include_usage", "include_obfuscation"})


@dataclass(frozen=True)
class ParsedRequest:
    """Hold the parameters of a completion or chat request that have an effect."""

    model_id: str
    model: str
    adapter: str | None
    prompt: str
    max_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def model_ids(preset: Preset) -> dict[str, tuple[str, str | None]]:
    """Return the model and adapter of each model id that callers can name."""
    ids: dict[str, tuple[str, str | None]] = {}
    for pool in preset.pools.values():
        if pool.kind is not PoolKind.ENGINE:
            continue
        for spec in pool.models:
            ids[spec.name] = (spec.name, None)
            for adapter in spec.adapters:
                ids[f"{spec.name}{ADAPTER_SEPARATOR}{adapter}"] = (spec.name, adapter)
    return ids


def unknown_model(model_id: str) -> RequestError:
    """Return the error for a model id that no engine pool serves."""
    return RequestError(
        ErrorKind.UNKNOWN_MODEL,
        f"there is no model {model_id[:MAX_QUOTED_CHARACTERS]!r}",
        param="model",
    )


def parse_completion(body: bytes, preset: Preset, *, max_tokens: int) -> ParsedRequest:
    """Parse the body of ``/v1/completions``; raises ``RequestError``."""
    fields = _object(body)
    _check_fields(fields, USED_COMPLETION, IGNORED_COMPLETION)
    if fields.get("echo"):
        raise _invalid("echo", "true is not supported")
    _require_one(fields, "best_of")
    return _parsed(
        fields,
        preset,
        prompt=_prompt(fields),
        max_tokens=_max_tokens(
            fields, ("max_tokens",), DEFAULT_COMPLETION_TOKENS, max_tokens
        ),
        chat=False,
    )


def parse_chat(body: bytes, preset: Preset, *, max_tokens: int) -> ParsedRequest:
    """Parse the body of ``/v1/chat/completions``; raises ``RequestError``."""
    fields = _object(body)
    _check_fields(fields, USED_CHAT, IGNORED_CHAT)
    return _parsed(
        fields,
        preset,
        prompt=_messages(fields),
        max_tokens=_max_tokens(
            fields,
            ("max_completion_tokens", "max_tokens"),
            DEFAULT_CHAT_TOKENS,
            max_tokens,
        ),
        chat=True,
    )


def _parsed(
    fields: Mapping, preset: Preset, *, prompt: str, max_tokens: int, chat: bool
) -> ParsedRequest:
    model_id = _required(fields, "model", STRING)
    _require_one(fields, "n")
    stream = _optional(fields, "stream", BOOLEAN) or False
    names = model_ids(preset).get(model_id)
    if names is None:
        raise unknown_model(model_id)
    return ParsedRequest(
        model_id=model_id,
        model=names[0],
        adapter=names[1],
        prompt=prompt,
        max_tokens=max_tokens,
        stream=stream,
        include_usage=_include_usage(fields, stream),
        chat=chat,
    )


def _object(body: bytes) -> dict:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RequestError(
            ErrorKind.MALFORMED_BODY, f"the body is not valid JSON: {error}"
        ) from None
    if not isinstance(content, dict):
        raise RequestError(ErrorKind.MALFORMED_BODY, "the body is not a JSON object")
    return content


def _check_fields(
    fields: Mapping, used: frozenset[str], ignored: Mapping[str, tuple]
) -> None:
    for name, value in fields.items():
        if name in used:
            continue
        if name not in ignored:
            raise RequestError(
                ErrorKind.UNKNOWN_FIELD,
                f"unknown field {name[:MAX_QUOTED_CHARACTERS]!r}",
                param=name,
            )
        if value is not None:
            _check_type(name, value, ignored[name])


def _check_type(name: str, value: object, types: tuple) -> None:
    # bool is an int in Python but not in JSON.
    is_wrong_bool = isinstance(value, bool) and bool not in types
    if is_wrong_bool or not isinstance(value, types):
        accepted = " or ".join(_TYPE_NAMES[kind] for kind in types)
        raise _invalid(name, f"must be {accepted}")


_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
    dict: "an object",
    list: "an array",
}


def _invalid(name: str, problem: str) -> RequestError:
    return RequestError(ErrorKind.INVALID_VALUE, f"{name} {problem}", param=name)


def _optional(fields: Mapping, name: str, types: tuple):
    value = fields.get(name)
    if value is not None:
        _check_type(name, value, types)
    return value


def _required(fields: Mapping, name: str, types: tuple):
    value = _optional(fields, name, types)
    if value is None:
        raise _invalid(name, "is required")
    return value


def _require_one(fields: Mapping, name: str) -> None:
    if _optional(fields, name, (int,)) not in (None, 1):
        raise _invalid(name, "must be 1; only one choice is supported")


def _max_tokens(
    fields: Mapping, names: tuple[str, ...], default: int, limit: int
) -> int:
    chosen = None
    for name in names:
        value = _optional(fields, name, (int,))
        if value is None:
            continue
        if not 1 <= value <= limit:
            raise _invalid(name, f"must be between 1 and {limit}")
        chosen = value if chosen is None else chosen
    return min(default, limit) if chosen is None else chosen


def _include_usage(fields: Mapping, stream: bool) -> bool:
    options = _optional(fields, "stream_options", OBJECT)
    if options is None:
        return False
    if not stream:
        raise _invalid("stream_options", "is only allowed if stream is true")
    for name, value in options.items():
        if name not in STREAM_OPTIONS:
            raise RequestError(
                ErrorKind.UNKNOWN_FIELD,
                f"unknown field {name[:MAX_QUOTED_CHARACTERS]!r} in stream_options",
                param=f"stream_options.{name}",
            )
        if value is not None:
            _check_type(f"stream_options.{name}", value, BOOLEAN)
    return bool(options.get("include_usage"))


def _prompt(fields: Mapping) -> str:
    prompt = _required(fields, "prompt", (str, list))
    if isinstance(prompt, list):
        if len(prompt) != 1 or not isinstance(prompt[0], str):
            raise _invalid("prompt", "must be a string or an array of one string")
        prompt = prompt[0]
    if not prompt:
        raise _invalid("prompt", "must not be empty")
    return prompt


def _messages(fields: Mapping) -> str:
    """Return the prompt for a list of messages."""
    messages = _required(fields, "messages", ARRAY)
    if not messages:
        raise _invalid("messages", "must not be empty")
    parts = []
    for index, message in enumerate(messages):
        role, content = _message(f"messages[{index}]", message)
        parts.append(f"<|{role}|>\n{content}\n")
    return "".join([*parts, "<|assistant|>\n"])


def _message(path: str, message: object) -> tuple[str, str]:
    if not isinstance(message, dict):
        raise _invalid(path, "must be an object")
    for name in message:
        if name not in MESSAGE_FIELDS:
            raise RequestError(
                ErrorKind.UNKNOWN_FIELD,
                f"unknown field {name[:MAX_QUOTED_CHARACTERS]!r} in {path}",
                param=f"{path}.{name}",
            )
    role = message.get("role")
    if not isinstance(role, str) or role not in ROLES:
        raise _invalid(f"{path}.role", f"must be one of {', '.join(sorted(ROLES))}")
    content = message.get("content")
    if content is None and role == "assistant":
        return role, ""
    return role, _content(f"{path}.content", content)


def _content(path: str, content: object) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise _invalid(path, "must be a string or an array of text parts")
    texts = []
    for index, part in enumerate(content):
        is_text = isinstance(part, dict) and part.get("type") == "text"
        if not is_text or not isinstance(part.get("text"), str):
            raise _invalid(f"{path}[{index}]", "must be a part of type text")
        texts.append(part["text"])
    return "".join(texts)
