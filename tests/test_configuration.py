"""Tests of the accepted configuration in the key-value service."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from nutmeglift import audit
from nutmeglift import auth
from nutmeglift import configuration
from nutmeglift import configuration_apply
from nutmeglift import configuration_chunks as chunks
from nutmeglift import declaration
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv
from tests import utils
from tests import virtual_time


def make_accounts(count: int, changed: int = 0, priority: int = 1):
    """Returns a declaration with that many accounts.

    Args:
        count: number of accounts.
        changed: number of accounts, from the first, with the priority.
        priority: their priority; the others have 0.
    """
    return utils.make_declaration(
        client_accounts=tuple(
            declaration.ClientAccount.model_construct(
                id=ids.AccountId(f"account-{n:05d}"),
                token_sha256=(auth.hash_token(f"token-{n}"),),
                priority=priority if n < changed else 0,
                weight=1.0,
                requests_per_second=0.0,
                tokens_per_second=0.0,
                routes=(),
                services=(),
            )
            for n in range(count)
        )
    )


def make_apply_request(
    name: str, **changes
) -> configuration_apply.ApplyRequest:
    """Returns an apply request by an operator of this name."""
    request = configuration_apply.ApplyRequest(
        ids.ApplyId(f"apply-of-{name}"), name, time=1000.0
    )
    return dataclasses.replace(request, **changes)


def apply(store, declared, name="ana", **changes):
    """Applies a declaration."""
    applier = configuration_apply.Applier(store, asyncio.sleep)
    return applier.apply(declared, make_apply_request(name, **changes))


class HookedKv(kv.MemoryKv):
    """Runs hooks before transactions and counts the bytes written.

    Attributes:
        hook_by_txn: hooks by the number of the transaction they precede.
        txn_count: number of transactions so far.
        bytes_written: bytes of the values written so far.
    """

    def __init__(self):
        super().__init__()
        self.hook_by_txn = {}
        self.txn_count = 0
        self.bytes_written = 0

    async def txn(self, compares, writes, otherwise=None):
        self.txn_count += 1
        step = self.hook_by_txn.pop(self.txn_count, None)
        if step is not None:
            await step()
        self.bytes_written += sum(
            len(w.value) for w in writes if isinstance(w, kv.Put)
        )
        return await super().txn(compares, writes, otherwise)


class ChunkTest(unittest.TestCase):
    def test_account_sets_of_all_sizes_round_trip(self):
        for count in (0, 1, 64, 65, 128, 129, 1000):
            with self.subTest(count):
                declared = make_accounts(count)
                split = chunks.ChunkedDeclaration(declared)
                leaves = chunks.leaves_of(split.index, split.chunk_by_digest)
                found = chunks.join(leaves, split.chunk_by_digest)
                ordered = sorted(found.client_accounts, key=lambda a: a.id)
                self.assertEqual(tuple(ordered), declared.client_accounts)
                for section in ("models", "routes", "services", "operators"):
                    self.assertEqual(
                        getattr(found, section), getattr(declared, section)
                    )

    def test_order_of_accounts_does_not_matter(self):
        declared = make_accounts(500)
        reversed_accounts = declared.model_copy(
            update={"client_accounts": declared.client_accounts[::-1]}
        )
        self.assertEqual(
            chunks.ChunkedDeclaration(declared).index,
            chunks.ChunkedDeclaration(reversed_accounts).index,
        )

    def test_damaged_leaf_is_refused(self):
        split = chunks.ChunkedDeclaration(make_accounts(3))
        (leaf, *_) = chunks.leaves_of(split.index, split.chunk_by_digest)
        for name, body in {"cut": b"x", "empty": b""}.items():
            with self.subTest(name), self.assertRaises(errors.DeclarationError):
                chunks.join([leaf], {leaf: body})

    def test_45000_accounts_fit_and_ten_changes_write_few_bytes(self):
        async def scenario():
            store = HookedKv()
            declared = make_accounts(45_000)
            await apply(store, declared)
            largest = max(len(value) for value in store.dump().values())
            first, store.bytes_written = store.bytes_written, 0
            accounts = (
                make_accounts(10, changed=10).client_accounts
                + declared.client_accounts[10:]
            )
            changed = declared.model_copy(update={"client_accounts": accounts})
            await apply(store, changed, "ben")
            head = store.dump()[configuration.HEAD_KEY]
            _, found = await configuration.read(store)
            trail = await audit.read(store, 1)
            return largest, first, store.bytes_written, head, found, trail

        largest, first, second, head, found, trail = virtual_time.run(
            scenario()
        )
        self.assertLess(largest, 1_000_000)
        self.assertLess(len(head), 8_000)
        self.assertLess(second, first / 40)
        self.assertEqual(len(found.client_accounts), 45_000)
        changed = [a.id for a in found.client_accounts if a.priority]
        self.assertEqual(
            sorted(changed), [f"account-{n:05d}" for n in range(10)]
        )
        self.assertEqual(len(trail[0].changes), 10)


class ApplyTest(unittest.TestCase):
    def test_concurrent_applies_accept_exactly_one(self):
        for operators in (2, 5):
            with self.subTest(operators):
                self._race(operators)

    def _race(self, operators: int):
        async def scenario():
            store = kv.MemoryKv()
            store.delay = 0.01
            found = await asyncio.gather(
                *(
                    apply(store, make_accounts(n + 1), f"operator-{n}")
                    for n in range(operators)
                ),
                return_exceptions=True,
            )
            return found, await configuration.read(store)

        found, (head, declared) = virtual_time.run(scenario())
        winners = [f for f in found if isinstance(f, configuration.Head)]
        losers = [f for f in found if isinstance(f, errors.ConflictError)]
        self.assertEqual([head], winners)
        self.assertEqual(len(losers), operators - 1)
        number = int(head.author.rpartition("-")[2])
        self.assertEqual(len(declared.client_accounts), number + 1)
        for loser in losers:
            self.assertIn(head.author, loser.detail)
            self.assertIn("+ client_accounts account-00000", loser.detail)

    def test_outcomes_of_lost_answers_are_resolved(self):
        for name, faults in {
            "after the write": {"lose_answers": 1},
            "before the write": {"lose_requests": 1},
            "before and after": {"lose_requests": 2, "lose_answers": 2},
        }.items():
            for call in range(1, 12):
                with self.subTest(name, call=call):
                    self._lose(faults, call)

    def _lose(self, faults: dict[str, int], call: int):
        async def scenario():
            store = HookedKv()
            await apply(store, make_accounts(1), "first")

            async def fail():
                for fault, count in faults.items():
                    setattr(store, fault, count)

            store.hook_by_txn[store.txn_count + call] = fail
            try:
                answer = await apply(store, make_accounts(2))
            except errors.PlatformError as error:
                answer = error
            store.hook_by_txn.clear()
            store.lose_answers = store.lose_requests = 0
            return answer, (await configuration.read(store))[0]

        answer, head = virtual_time.run(scenario())
        if isinstance(answer, configuration.Head):
            self.assertEqual(answer, head)
            self.assertEqual(head.generation, 2)
        else:
            # Lost before the swap was sent: nothing may be accepted.
            self.assertEqual(head.author, "first")

    def test_outage_at_each_step(self):
        for seconds in (0.5, 60.0):
            for call in range(1, 10):
                with self.subTest(call=call, seconds=seconds):
                    self._fail_at(call, seconds)

    def _fail_at(self, call: int, seconds: float):
        async def scenario():
            store = HookedKv()
            await apply(store, make_accounts(1), "first")

            async def fail():
                store.set_down(True)
                asyncio.get_running_loop().call_later(
                    seconds, store.set_down, False
                )

            store.hook_by_txn[store.txn_count + call] = fail
            try:
                answer = await apply(store, make_accounts(2))
            except errors.PlatformError as error:
                answer = error
            store.hook_by_txn.clear()
            await asyncio.sleep(2 * seconds)
            return answer, (await configuration.read(store))[0]

        answer, head = virtual_time.run(scenario())
        accepted = isinstance(answer, configuration.Head)
        self.assertEqual(head.author, "ana" if accepted else "first")

    def test_persistently_lost_answer_is_reported_as_unknown(self):
        async def scenario():
            store = kv.MemoryKv()
            applier = configuration_apply.Applier(store, asyncio.sleep)
            original = configuration_apply.Applier._swap

            async def swap(self, *args):
                store.lose_answers = 1000
                return await original(self, *args)

            with mock.patch.object(configuration_apply.Applier, "_swap", swap):
                await applier.apply(make_accounts(1), make_apply_request("ana"))

        with self.assertRaises(errors.KvAnswerLostError) as caught:
            virtual_time.run(scenario())
        self.assertIn("apply-of-ana", caught.exception.detail)

    def test_expected_generation(self):
        async def scenario(expected):
            store = kv.MemoryKv()
            await apply(store, make_accounts(1), "first")
            return await apply(
                store, make_accounts(2), expected=ids.Generation(expected)
            )

        self.assertEqual(virtual_time.run(scenario(1)).generation, 2)
        for wrong in (0, 2):
            with self.assertRaises(errors.ConflictError) as caught:
                virtual_time.run(scenario(wrong))
            self.assertIn("generation 1 of first", caught.exception.detail)

    def test_generation_continues_from_the_newest_known_to_routers(self):
        async def scenario():
            store = kv.MemoryKv()
            old = await apply(store, make_accounts(1), "first")
            backup = store.dump()
            newer = [
                await apply(store, make_accounts(n), f"operator-{n}")
                for n in (2, 3)
            ]
            store.restore(backup)
            found = await apply(store, make_accounts(4), known=newer[-1])
            return old, newer, found

        old, newer, found = virtual_time.run(scenario())
        self.assertEqual(found.generation, newer[-1].generation + 1)
        self.assertEqual(found.previous, newer[-1].digest)
        self.assertTrue(configuration.is_newer(found, newer[-1]))

    def test_dry_run_writes_nothing(self):
        async def scenario():
            store = HookedKv()
            await apply(store, make_accounts(1))
            before = store.dump()
            applier = configuration_apply.Applier(store, asyncio.sleep)
            found = await applier.plan(make_accounts(2, changed=1))
            return before == store.dump(), [change.line() for change in found]

        same, lines = virtual_time.run(scenario())
        self.assertTrue(same)
        self.assertEqual(
            lines,
            [
                "~ client_accounts account-00000: priority: 0 -> 1",
                "+ client_accounts account-00001",
            ],
        )

    def test_rollback_is_a_new_generation(self):
        async def scenario():
            store = kv.MemoryKv()
            for n in (1, 2, 3):
                await apply(store, make_accounts(n), f"operator-{n}")
            applier = configuration_apply.Applier(store, asyncio.sleep)
            head = await applier.roll_back(
                ids.Generation(1), make_apply_request("ana")
            )
            with self.assertRaises(errors.UsageError):
                await applier.roll_back(
                    ids.Generation(9), make_apply_request("ben")
                )
            return head, await configuration.read(store)

        head, (stored, declared) = virtual_time.run(scenario())
        self.assertEqual(head.generation, 4)
        self.assertEqual(stored, head)
        self.assertEqual(declared, make_accounts(1))


class SweepTest(unittest.TestCase):
    def test_sweep_keeps_only_the_chunks_of_retained_heads(self):
        async def scenario():
            store = kv.MemoryKv()
            for n in range(40):
                await apply(store, make_accounts(1, 1, n % 10), f"{n}")
                # Chunks of an apply that never swapped its head.
                await configuration.write_chunks(
                    store,
                    chunks.ChunkedDeclaration(
                        make_accounts(n + 5)
                    ).chunk_by_digest,
                )
            await configuration.sweep(store)
            kept = await store.range(
                kv.Get(configuration.RETAINED_HEAD_PREFIX, True)
            )
            for entry in kept:
                head = configuration.decode_head(entry.value)
                await configuration.read_all_chunks(store, head.chunks)
            listed = await store.range(
                kv.Get(configuration.CHUNK_PREFIX, prefix=True)
            )
            return len(kept), len(listed)

        kept, listed = virtual_time.run(scenario())
        self.assertEqual(kept, configuration.RETAINED_HEAD_COUNT)
        # One account with ten priorities, the indexes and shared sections.
        self.assertLess(listed, 30)

    def test_concurrent_sweep_keeps_chunks_that_an_apply_reuses(self):
        """The sweep runs between the writes of an apply and its swap."""
        for call in range(1, 10):
            with self.subTest(call):
                virtual_time.run(self._sweep_at(call))

    async def _sweep_at(self, call: int):
        store = HookedKv()
        await apply(store, make_accounts(1), "first")
        # The next apply finds its chunks written but unreferenced.
        await configuration.write_chunks(
            store, chunks.ChunkedDeclaration(make_accounts(2)).chunk_by_digest
        )
        swept = []

        async def sweep():
            swept.append(await configuration.sweep(store))

        store.hook_by_txn[store.txn_count + call] = sweep
        head = await apply(store, make_accounts(2))
        found, declared = await configuration.read(store)
        self.assertEqual(found, head)
        self.assertEqual(declared, make_accounts(2))

    def test_newest_head_is_rewritten_after_a_restore(self):
        async def scenario():
            store = kv.MemoryKv()
            await apply(store, make_accounts(1), "first")
            backup = store.dump()
            await apply(store, make_accounts(4), "between", time=1500)
            newest = await apply(store, make_accounts(2), "second", time=2000)
            found = await configuration.read_all_chunks(store, newest.chunks)
            store.restore(backup)
            stored = await configuration.read_head(store)
            done = await configuration.restore_newer_head(
                store, stored, newest, found
            )
            again = await configuration.restore_newer_head(
                store, stored, newest, found
            )
            plain = await configuration.read(store)
            # An apply that continues from the old head, unknown to routers.
            store.restore(backup)
            branch = await apply(store, make_accounts(3), "third", time=3000)
            stored = await configuration.read_head(store)
            await configuration.restore_newer_head(store, stored, newest, found)
            return (
                done,
                again,
                newest,
                plain,
                branch,
                (await configuration.read(store)),
            )

        done, again, newest, plain, branch, based = virtual_time.run(scenario())
        self.assertEqual((done, again), (True, False))
        self.assertEqual(plain, (newest, make_accounts(2)))
        head, declared = based
        self.assertEqual(declared, make_accounts(3))
        self.assertEqual(head.apply, branch.apply)
        self.assertEqual(head.generation, newest.generation + 1)


if __name__ == "__main__":
    unittest.main()
