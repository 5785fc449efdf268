"""Tests of the index of cached prompt prefixes."""

import unittest

from nutmeglift import control_messages
from nutmeglift import ids
from nutmeglift import prefix_index

BLOCK = prefix_index.BLOCK_TOKENS
PROMPT = tuple(range(4 * BLOCK))
BLOCKS = prefix_index.hash_prefix_blocks(PROMPT)
A, B = ids.VmId("a"), ids.VmId("b")


def stored(first: int, blocks: list[str], complete: bool = False):
    events = tuple(control_messages.CacheEvent(b, True) for b in blocks)
    return control_messages.CacheEvents(first, events, complete)


def removed(first: int, blocks: list[str]):
    events = tuple(control_messages.CacheEvent(b, False) for b in blocks)
    return control_messages.CacheEvents(first, events)


def matched_blocks(index: prefix_index.PrefixIndex, vm: ids.VmId) -> int:
    number = index.number_of(vm)
    for level in index.match(PROMPT).levels:
        if level.runner_bits >> number & 1:
            return level.blocks
    return 0


def runner_bits(index: prefix_index.PrefixIndex, *vms: ids.VmId) -> int:
    return sum(1 << index.number_of(vm) for vm in vms)


class PrefixBlocksTest(unittest.TestCase):
    def test_blocks_depend_on_everything_before_them(self):
        other = (1, *PROMPT[1:])
        changed = prefix_index.hash_prefix_blocks(other)
        self.assertEqual(len(BLOCKS), 4)
        self.assertFalse(set(BLOCKS) & set(changed))

    def test_only_whole_blocks_count(self):
        cases = {0: 0, BLOCK - 1: 0, BLOCK: 1, 2 * BLOCK + 3: 2}
        for tokens, expected in cases.items():
            with self.subTest(tokens=tokens):
                found = prefix_index.hash_prefix_blocks(PROMPT[:tokens])
                self.assertEqual(found, BLOCKS[:expected])


class PrefixIndexTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        index = prefix_index.PrefixIndex()
        index.record_events(A, stored(1, BLOCKS[:2]), 0.0)
        index.record_events(B, stored(1, BLOCKS), 0.0)
        self.assertEqual(
            (matched_blocks(index, A), matched_blocks(index, B)), (2, 4)
        )

    def test_matched_blocks_after_events(self):
        cases = {
            "removed": ([stored(1, BLOCKS), removed(5, BLOCKS[2:])], 2),
            "repeated": ([stored(1, BLOCKS), stored(1, BLOCKS)], 4),
            "repeat of a removed one": (
                [
                    stored(1, BLOCKS[:1]),
                    removed(2, BLOCKS[:1]),
                    stored(1, BLOCKS[:1]),
                ],
                0,
            ),
            "overlap": ([stored(1, BLOCKS[:2]), stored(2, BLOCKS[1:])], 4),
            "one lost in the middle": (
                [stored(1, BLOCKS[:1]), stored(3, BLOCKS[2:])],
                4,
            ),
            "complete replaces": (
                [stored(1, BLOCKS), stored(9, BLOCKS[:1], complete=True)],
                1,
            ),
            "no hash": ([stored(1, ["none", *BLOCKS[:1]])], 1),
        }
        for name, (messages, expected) in cases.items():
            with self.subTest(name):
                index = prefix_index.PrefixIndex()
                for events in messages:
                    index.record_events(A, events, 0.0)
                self.assertEqual(matched_blocks(index, A), expected)

    def test_older_entries_expire_after_a_gap_unless_confirmed(self):
        later = prefix_index.UNCONFIRMED_RETENTION_SECONDS + 2.0
        cases = {
            "not confirmed": (None, 0),
            "stored again": (stored(11, BLOCKS[:2]), 2),
            "complete": (stored(11, BLOCKS, complete=True), 4),
        }
        for name, (events, expected) in cases.items():
            with self.subTest(name):
                index = prefix_index.PrefixIndex()
                index.record_events(A, stored(1, BLOCKS), 0.0)
                index.record_events(A, removed(10, ["ff"]), 1.0)
                self.assertEqual(index.gaps, 1)
                if events is not None:
                    index.record_events(A, events, 2.0)
                index.expire(later - 2.0)
                self.assertEqual(matched_blocks(index, A), 4)
                index.expire(later)
                self.assertEqual(matched_blocks(index, A), expected)

    def test_own_dispatches_match_until_an_event_contradicts_them(self):
        index = prefix_index.PrefixIndex()
        match = index.match(PROMPT)
        index.record_dispatch(runner_bits(index, A, B), match, 0.0)
        self.assertEqual(matched_blocks(index, A), 4)
        index.record_events(A, removed(1, BLOCKS), 1.0)
        self.assertEqual(
            (matched_blocks(index, A), matched_blocks(index, B)), (0, 4)
        )
        step = prefix_index.DISPATCH_RETENTION_SECONDS + 1
        empty = prefix_index.NO_MATCH
        index.record_dispatch(0, empty, step)
        self.assertEqual(matched_blocks(index, B), 4)
        index.record_dispatch(0, empty, 2 * step)
        self.assertEqual(matched_blocks(index, B), 0)

    def test_forgotten_and_restarted_runners_match_nothing(self):
        for method in ("forget", "clear"):
            with self.subTest(method):
                index = prefix_index.PrefixIndex()
                index.record_events(A, stored(1, BLOCKS), 0.0)
                index.record_dispatch(
                    runner_bits(index, A), index.match(PROMPT), 0.0
                )
                getattr(index, method)(A)
                self.assertEqual(matched_blocks(index, B), 0)
                self.assertEqual(matched_blocks(index, A), 0)
                index.record_events(A, stored(1, BLOCKS[:1]), 1.0)
                self.assertEqual(matched_blocks(index, A), 1)

    def test_memory_is_bounded(self):
        index = prefix_index.PrefixIndex()
        for runner in range(40):
            vm = ids.VmId(f"r{runner}")
            blocks = [f"{runner:x}{n:08x}" for n in range(3000)]
            index.record_events(vm, stored(1, blocks), 0.0)
        self.assertLessEqual(
            index.count_entries(), 40 * prefix_index.MAX_ENTRY_COUNT_PER_RUNNER
        )
        newest = prefix_index.hash_prefix_blocks(PROMPT)
        index.record_events(vm, stored(3001, newest), 1.0)
        self.assertEqual(matched_blocks(index, vm), 4)


if __name__ == "__main__":
    unittest.main()
