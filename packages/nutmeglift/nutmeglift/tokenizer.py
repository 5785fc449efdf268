"""Turns chat messages into the tokens of a prompt."""

import abc
from collections.abc import Sequence

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class BaseTokenizer(abc.ABC):
    """Turns text into tokens."""

    @abc.abstractmethod
    def encode(self, chat: Sequence[ChatMessage]) -> tuple[int, ...]:
        """Returns the tokens of a chat's prompt."""


class ByteTokenizer(BaseTokenizer):
    """One token for each byte of UTF-8, as the stand-in engine takes."""

    def encode(self, chat: Sequence[ChatMessage]) -> tuple[int, ...]:
        """Returns the bytes of "role: content" lines."""
        text = "".join(f"{m.role}: {m.content}\n" for m in chat)
        return tuple(text.encode())
