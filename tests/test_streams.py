"""Tests of the ordering of positions, tokens and frames."""

import unittest

import hypothesis
from hypothesis import strategies as st

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import messages
from nutmeglift import states
from nutmeglift import streams

REQUEST = ids.RequestId("r")
NEXT = streams.SequenceStatus.NEXT
DUPLICATE = streams.SequenceStatus.DUPLICATE
GAP = streams.SequenceStatus.GAP
OLD = streams.SequenceStatus.OLD_ATTEMPT
STOP = states.FinishReason.STOP


def make_item(sequence, tokens, attempt=1, finish=None):
    return messages.TokenItem(
        REQUEST,
        ids.Attempt(attempt),
        sequence,
        tuple(tokens),
        tuple(str(token) for token in tokens),
        finish,
    )


class PositionFilterTest(unittest.TestCase):
    CASES = (
        # Next, position, count; then arrival, skip, next afterwards.
        (0, 0, 3, NEXT, 0, 3),
        (3, 3, 1, NEXT, 0, 4),
        (3, 1, 4, NEXT, 2, 5),
        (3, 0, 3, DUPLICATE, 3, 3),
        (3, 1, 1, DUPLICATE, 1, 3),
        (3, 4, 1, GAP, 0, 3),
    )

    def test_each_position_passes_once_in_order(self):
        for start, position, count, arrival, skip, after in self.CASES:
            with self.subTest(start=start, position=position, count=count):
                gate = streams.PositionFilter(start)
                self.assertEqual(
                    gate.accept(position, count),
                    streams.AcceptedPositions(arrival, skip),
                )
                self.assertEqual(gate.next_position, after)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        st.lists(st.tuples(st.integers(0, 12), st.integers(1, 5)), max_size=40)
    )
    def test_accepted_positions_are_contiguous(self, arrivals):
        gate = streams.PositionFilter()
        passed = []
        for position, count in arrivals:
            accepted = gate.accept(position, count)
            if accepted.status is NEXT:
                passed += range(position + accepted.skip, position + count)
        self.assertEqual(passed, list(range(len(passed))))


class TokenFilterTest(unittest.TestCase):
    CASES = {
        "next": (make_item(2, [7]), NEXT, ("7",)),
        "overlap": (make_item(1, [5, 7]), NEXT, ("7",)),
        "duplicate": (make_item(0, [4, 5]), DUPLICATE, ()),
        "gap": (make_item(3, [7]), GAP, ()),
        "older attempt": (make_item(2, [7], attempt=0), OLD, ()),
        "newer attempt": (make_item(2, [7], attempt=2), OLD, ()),
        "finish seen before": (make_item(1, [5], finish=STOP), NEXT, ()),
    }

    def test_tokens_are_released_once_in_order(self):
        for name, (item, arrival, texts) in self.CASES.items():
            with self.subTest(name):
                gate = streams.TokenFilter(ids.Attempt(1))
                gate.accept(make_item(0, [4, 5]))
                released = gate.accept(item)
                self.assertEqual(released.status, arrival)
                self.assertEqual(released.texts, texts)

    def test_restart_drops_and_go_on_keeps_the_older_attempt(self):
        for name, advance, arrival in (
            ("restart", streams.TokenFilter.restart, OLD),
            ("go on", streams.TokenFilter.continue_with, NEXT),
        ):
            with self.subTest(name):
                gate = streams.TokenFilter(ids.Attempt(1))
                advance(gate, ids.Attempt(2))
                item = make_item(0, [4], attempt=1)
                self.assertEqual(gate.accept(item).status, arrival)
                with self.assertRaises(ValueError):
                    advance(gate, ids.Attempt(2))

    def test_items_after_the_finish_are_not_accepted(self):
        gate = streams.TokenFilter(ids.Attempt(1))
        gate.accept(make_item(0, [4], finish=STOP))
        self.assertEqual(gate.accept(make_item(1, [5])).status, OLD)


class FramesTest(unittest.TestCase):
    def test_unacknowledged_frames_are_resumed_within_a_bound(self):
        outbox = streams.FrameOutbox(3)
        frames = [outbox.add((make_item(n, [n]),)) for n in range(3)]
        with self.assertRaises(errors.LinkClosedError):
            outbox.add(())
        outbox.acknowledge(1)
        self.assertEqual(outbox.resume(2), frames[2:])
        self.assertFalse(outbox.is_empty)
        outbox.acknowledge(3)
        self.assertTrue(outbox.is_empty)
        self.assertEqual(outbox.add(()).sequence, 4)

    def test_inbox_accepts_each_frame_once_in_order(self):
        inbox = streams.FrameInbox()
        for sequence, arrival in (
            (1, NEXT),
            (1, DUPLICATE),
            (3, GAP),
            (2, NEXT),
        ):
            self.assertEqual(inbox.accept(sequence), arrival)

    def test_inbox_resets_when_the_sender_lost_its_state(self):
        for sent_count, accepted in ((5, DUPLICATE), (2, DUPLICATE), (0, NEXT)):
            with self.subTest(sent_count=sent_count):
                inbox = streams.FrameInbox()
                inbox.accept(1)
                inbox.accept(2)
                inbox.resynchronize(sent_count)
                self.assertEqual(inbox.accept(1), accepted)


if __name__ == "__main__":
    unittest.main()
