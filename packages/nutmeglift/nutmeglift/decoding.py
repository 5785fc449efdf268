"""Turns every failure to decode foreign bytes into one error.

Decoders of libraries fail in many ways: with their own errors, and with those
of the language for input that is nested too deep, too large or out of range. A
caller that knew only some of them would end on one odd input.
"""

from collections.abc import Callable
from typing import TypeVar

import cbor2
import msgspec

from nutmeglift import errors

MAX_DETAIL_LENGTH = 200
"""Limits the text of an error, which may quote its input."""
MAX_INTEGER = 2**53 - 1
"""Greatest integer that all decoders and formats agree on (RFC 8259, section
6)."""

T = TypeVar("T")


def decode(read: Callable[[], T]) -> T:
    """Returns what a function reads from foreign bytes.

    Args:
        read: decodes the bytes and checks what they say.

    Raises:
        errors.MalformedMessageError: the function failed in any way.
    """
    try:
        return read()
    except Exception as error:
        raise errors.MalformedMessageError(describe(error)) from error


def decode_json(raw: bytes, kind: type[T]) -> T:
    """Decodes and validates JSON.

    Raises:
        errors.MalformedMessageError: the bytes are no valid JSON of the type.
    """
    return decode(lambda: msgspec.json.decode(raw, type=kind))


def convert_cbor(raw: bytes, convert: Callable[[object], T]) -> T:
    """Decodes CBOR and passes it to a function that validates it.

    Raises:
        errors.MalformedMessageError: the bytes are no valid CBOR, or the
            function failed.
    """
    return decode(lambda: convert(cbor2.loads(raw)))


def describe(error: Exception) -> str:
    """Returns a text of bounded length."""
    text = str(error) or type(error).__name__
    if not isinstance(error, (msgspec.MsgspecError, cbor2.CBORError)):
        text = f"{type(error).__name__}: {text}"
    return text[:MAX_DETAIL_LENGTH]
