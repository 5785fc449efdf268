"""Encodes messages as CBOR, and decodes and validates them."""

from collections.abc import Callable
from typing import TypeVar

import cbor2
import msgspec

from nutmeglift import control_messages
from nutmeglift import decoding
from nutmeglift import errors
from nutmeglift import messages
from nutmeglift import plain_messages

MAX_FRAME_BYTES = 4 * 1024 * 1024

AnyMessage = (
    messages.Hello
    | messages.Heartbeat
    | messages.Leaving
    | messages.StartAttempt
    | messages.OpenStage
    | messages.HopFrame
    | messages.NextTokenFrame
    | messages.TokenFrame
    | messages.FrameAcknowledged
    | messages.AttemptFailed
    | messages.AttemptsHeld
    | messages.CancelAttempt
    | messages.ReplaceStage
    | plain_messages.PlainCall
    | plain_messages.PlainOutcome
    | plain_messages.AttemptQuery
    | plain_messages.AttemptStatus
    | control_messages.Order
    | control_messages.OrderResult
    | control_messages.CacheEvents
    | control_messages.ConfigurationHead
    | control_messages.ConfigurationWanted
    | control_messages.ConfigurationChunk
    | control_messages.AgentConfiguration
    | control_messages.DrainOrder
    | control_messages.ShareDemand
    | control_messages.ShareGrant
)

S = TypeVar("S", bound=msgspec.Struct)


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Wraps a message, as msgspec caches the checks of structs, not unions."""

    message: AnyMessage


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message or another msgspec struct as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(frame: bytes) -> AnyMessage:
    """Decodes a message.

    Raises:
        errors.MalformedMessageError: the frame is too large, not CBOR, or not
            a known message with fields of the right types.
    """
    return _convert(frame, _Envelope, _wrap).message


def decode_as(frame: bytes, kind: type[S]) -> S:
    """Decodes a struct of a given type.

    Raises:
        errors.MalformedMessageError: the frame is too large, not CBOR, or not
            a valid struct of the type.
    """
    return _convert(frame, kind, _identity)


def _wrap(value: object) -> object:
    return (value,)


def _identity(value: object) -> object:
    return value


def _convert(
    frame: bytes, kind: type[S], prepare: Callable[[object], object]
) -> S:
    if len(frame) > MAX_FRAME_BYTES:
        raise errors.MalformedMessageError(
            f"a frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    return decoding.convert_cbor(
        frame, lambda found: msgspec.convert(prepare(found), kind)
    )
