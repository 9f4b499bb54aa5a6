"""JSON encoding and decoding of typed messages."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.messages import Refusal
from ..core.states import RefusalCode

T = TypeVar("T")

_encoder = msgspec.json.Encoder()
_decoders: dict[type[Any], msgspec.json.Decoder[Any]] = {}


def encode(message: Any) -> bytes:
    """Encode a message as JSON."""
    return _encoder.encode(message)


def decode(body: bytes, type: type[T]) -> Result[T, Refusal]:
    """Decode the message in a body, or return a refusal that names the invalid field."""
    decoder = _decoders.get(type)
    if decoder is None:
        decoder = msgspec.json.Decoder(type)
        _decoders[type] = decoder
    try:
        return Success(decoder.decode(body))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `")
        return Err(_build_refusal(message, path.rstrip("`") or None))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_build_refusal(f"not valid JSON: {error}", None))


def _build_refusal(message: str, path: str | None) -> Refusal:
    return Refusal(code=RefusalCode.INVALID, message=message, path=path)
