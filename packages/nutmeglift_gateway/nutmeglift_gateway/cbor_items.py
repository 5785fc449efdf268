"""Counts the items of a CBOR message before they are decoded.

An item of one byte can take 64 bytes of memory once it is decoded, so the
length of a message doesn't bound what it takes.
"""

from nutmeglift import errors

MAX_ITEMS = 200_000
"""Most items in a message: four a server, for 50,000 servers."""
MIN_COUNTED_BYTES = 128 * 1024
"""A shorter message can't have many items, and isn't counted."""

_BYTES_BY_INFO = {24: 1, 25: 2, 26: 4, 27: 8}
_MAJOR_BYTES = 2
_MAJOR_TEXT = 3
_WITHOUT_LENGTH = 31


def check(raw: bytes) -> None:
    """Checks the number of items; invalid bytes are left to the decoder.

    Raises:
        errors.MalformedMessageError: the message has too many items.
    """
    if len(raw) < MIN_COUNTED_BYTES:
        return
    position = 0
    count = 0
    while position < len(raw):
        major, info = raw[position] >> 5, raw[position] & 31
        position += 1
        extra = _BYTES_BY_INFO.get(info, 0)
        if major in (_MAJOR_BYTES, _MAJOR_TEXT):
            end = position + extra
            value = raw[position:end]
            size = int.from_bytes(value, "big") if extra else info
            # The parts of a string without a length are items themselves.
            position = end + (size if info != _WITHOUT_LENGTH else 0)
        else:
            position += extra
        count += 1
        if count > MAX_ITEMS:
            raise errors.MalformedMessageError(
                f"more than {MAX_ITEMS} items in {len(raw)} bytes"
            )
