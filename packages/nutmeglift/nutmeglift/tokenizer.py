"""Tokenizers for chat prompts."""

import abc
from collections.abc import Sequence

import msgspec


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class BaseTokenizer(abc.ABC):
    """Converts chats to tokens."""

    @abc.abstractmethod
    def encode(self, chat: Sequence[ChatMessage]) -> tuple[int, ...]:
        """Returns the tokens of a chat's prompt."""


class ByteTokenizer(BaseTokenizer):
    """Encodes each UTF-8 byte as one token, as the stand-in engine expects."""

    def encode(self, chat: Sequence[ChatMessage]) -> tuple[int, ...]:
        """Returns the bytes of "role: content" lines."""
        text = "".join(f"{m.role}: {m.content}\n" for m in chat)
        return tuple(text.encode())
