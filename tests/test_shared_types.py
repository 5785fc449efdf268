"""Tests of errors, the codec and the blackboard."""

import dataclasses
import unittest

import cbor2
import hypothesis
from hypothesis import strategies
import msgspec

from nutmeglift import blackboard
from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import plain_messages
from nutmeglift import states

NUMBER = blackboard.Entry("number", blackboard.Controller.PLAN, 0)


class ErrorsTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self):
        self.assertEqual(set(errors.ANSWER_BY_KIND), set(errors.ErrorKind))

    def test_refusals_by_limit_or_overload_did_not_run_and_may_be_retried(self):
        for kind in (
            errors.ErrorKind.DEADLINE,
            errors.ErrorKind.DRAINING,
            errors.ErrorKind.LIMIT_EXCEEDED,
            errors.ErrorKind.NO_BACKEND,
            errors.ErrorKind.OVERLOADED,
        ):
            with self.subTest(kind):
                answer = errors.ANSWER_BY_KIND[kind]
                self.assertEqual(answer.ran, states.Ran.NOT_RUN)
                self.assertTrue(answer.retryable)

    def test_unknown_outcome_is_never_retryable(self):
        answer = errors.ANSWER_BY_KIND[errors.ErrorKind.OUTCOME_UNKNOWN]
        self.assertEqual(answer.ran, states.Ran.UNKNOWN)
        self.assertFalse(answer.retryable)

    def test_explicit_ran_overrides_the_table(self):
        error = errors.RefusedError("x", ran=states.Ran.UNKNOWN)
        self.assertEqual(error.ran, states.Ran.UNKNOWN)


class CodecTest(unittest.TestCase):
    MESSAGES = (
        messages.Heartbeat(1, ids.Generation(2)),
        messages.HopFrame(
            (
                messages.Hop(
                    ids.RequestId("r"), ids.Attempt(1), 3, (2**61 - 2,), 4
                ),
            )
        ),
        plain_messages.PlainOutcome(
            ids.RequestId("r"),
            ids.Attempt(1),
            states.Ran.RAN,
            200,
            (("content-type", "text/plain"),),
            b"\x00\xff",
        ),
    )

    def test_decoding_returns_what_was_encoded(self):
        for message in self.MESSAGES:
            with self.subTest(type(message).__name__):
                decoded = codec.decode(codec.encode(message))
                self.assertEqual(decoded, message)

    def test_malformed_frames_raise_malformed_message_error(self):
        heartbeat = msgspec.to_builtins(self.MESSAGES[0])
        frames = {
            "empty": b"",
            "truncated": codec.encode(self.MESSAGES[0])[:-1],
            "trailing type": cbor2.dumps(heartbeat | {"sequence": "one"}),
            "missing field": cbor2.dumps({"t": "Heartbeat"}),
            "unknown tag": cbor2.dumps(heartbeat | {"t": "Heartbreak"}),
            "no tag": cbor2.dumps({"sequence": 1}),
            "a list": cbor2.dumps([1, 2]),
            "deep": b"\x81" * 100_000,
            "too large": b"\x00" * (codec.MAX_FRAME_BYTES + 1),
        }
        for name, frame in frames.items():
            malformed = self.assertRaises(errors.MalformedMessageError)
            with self.subTest(name), malformed:
                codec.decode(frame)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_decode_or_raise_malformed_message_error(self, frame):
        try:
            codec.decode(frame)
        except errors.MalformedMessageError:
            return

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.integers(0, 400), strategies.integers(0, 255))
    def test_changed_byte_decodes_or_raises_malformed_message_error(
        self, index, byte
    ):
        for message in self.MESSAGES:
            frame = bytearray(codec.encode(message))
            frame[index % len(frame)] = byte
            try:
                codec.decode(bytes(frame))
            except errors.MalformedMessageError:
                continue


class BlackboardTest(unittest.TestCase):
    def test_only_the_owner_writes(self):
        board = blackboard.Blackboard()
        with self.assertRaises(PermissionError):
            board.write(NUMBER, 1, blackboard.Controller.DRAIN)
        self.assertEqual(board.read(NUMBER), 0)

    def test_generation_increases_only_on_changes(self):
        board = blackboard.Blackboard()
        seen = []
        end = board.watch(NUMBER, seen.append)
        for value in (1, 1, 2):
            board.write(NUMBER, value, NUMBER.owner)
        end()
        board.write(NUMBER, 3, NUMBER.owner)
        self.assertEqual(seen, [1, 2])
        self.assertEqual(
            dataclasses.astuple(board.read_versioned(NUMBER)), (3, 3)
        )


if __name__ == "__main__":
    unittest.main()
