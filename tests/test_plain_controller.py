"""Tests of plain calls through real routers and agents, with faults."""

import asyncio
import unittest
import uuid

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import ledger
from nutmeglift import states
from nutmeglift_router import ledger_controller
from nutmeglift_router import plain_call_request
from tests import utils
from tests import virtual_time

Kind = errors.ErrorKind
Ran = states.Ran


class CallResult:
    """The result that a caller received."""

    def __init__(self, kind, ran, outcome=None):
        self.kind = kind
        self.ran = ran
        self.outcome = outcome

    def __repr__(self):
        return f"<{self.kind} {self.ran}>"


async def call(cluster, key, *, index=0, body=b"{}", account="bank-a"):
    """Makes one non-idempotent call and returns the caller's result."""
    router = list(cluster.router_by_vm.values())[index].router
    service = cluster.declared.services[0]
    request = plain_call_request.PlainCallRequest(
        utils.make_account(account),
        service,
        service.calls[0],
        "POST",
        "/releases",
        (),
        body,
        ids.IdempotencyKey(key),
    )
    try:
        outcome = await router.plain.call(request)
    except errors.NutmegError as error:
        return CallResult(error.kind, error.ran)
    return CallResult(None, outcome.ran, outcome)


async def make_idempotent_call(cluster, service_call=1):
    """Makes one idempotent call."""
    service = cluster.declared.services[0]
    request = plain_call_request.PlainCallRequest(
        utils.make_account("bank-a"),
        service,
        service.calls[service_call],
        "GET",
        "/releases/7",
        (),
        b"",
        None,
    )
    return await cluster.router.plain.call(request)


def read_claims(cluster) -> list[ledger.Claim]:
    """Returns the claims in the key-value service."""
    return [
        codec.decode_as(value, ledger.Claim)
        for key, value in cluster.store.dump().items()
        if key.startswith(ledger.CLAIM_PREFIX)
    ]


def run_in_world(**start):
    """Decorates a test coroutine to run in a world started with `start`."""

    def decorate(test):
        def run(self):
            async def work():
                cluster = utils.Cluster()
                await cluster.start(runners=0, **start)
                try:
                    await test(self, cluster)
                finally:
                    await cluster.stop()

            virtual_time.run(work())

        return run

    return decorate


class DuplicateTest(unittest.TestCase):
    @run_in_world(services=3, routers=2)
    async def test_concurrent_duplicates_through_two_routers(self, cluster):
        cluster.store.delay = 0.005
        results = await asyncio.gather(
            *(call(cluster, "key", index=n % 2) for n in range(8))
        )
        self.assertEqual(cluster.executions(), 1)
        self.assertEqual([r.kind for r in results].count(None), 1)
        others = {(r.kind, r.ran) for r in results if r.kind is not None}
        self.assertEqual(others, {(Kind.IN_PROGRESS, Ran.UNKNOWN)})
        repeat = await call(cluster, "key", index=1)
        (first,) = [r.outcome for r in results if r.kind is None]
        self.assertEqual(repeat.outcome, first)

    @run_in_world(routers=2)
    async def test_keys_of_two_accounts_are_independent(self, cluster):
        first = await call(cluster, "key")
        second = await call(cluster, "key", account="bank-b")
        self.assertEqual((first.kind, second.kind), (None, None))
        self.assertEqual(cluster.executions(), 2)

    @run_in_world(routers=2)
    async def test_another_body_under_the_same_key_is_refused(self, cluster):
        await call(cluster, "key")
        for index in (0, 1):
            reused = await call(cluster, "key", body=b"other", index=index)
            self.assertEqual(reused.kind, Kind.IDEMPOTENCY_KEY_REUSED)
            self.assertEqual(reused.ran, Ran.NOT_RUN)
        self.assertEqual(cluster.executions(), 1)

    @run_in_world()
    async def test_run_reports_a_replay(self, cluster):
        service = cluster.declared.services[0]
        request = plain_call_request.PlainCallRequest(
            utils.make_account("bank-a"),
            service,
            service.calls[0],
            "POST",
            "/releases",
            (),
            b"",
            ids.IdempotencyKey("key"),
        )
        first = await cluster.router.plain.run(request)
        await asyncio.sleep(1.0)
        second = await cluster.router.plain.run(request)
        self.assertEqual((first.replayed, second.replayed), (False, True))
        self.assertEqual(first.outcome, second.outcome)


class KeyValueFaultTest(unittest.TestCase):
    @run_in_world(routers=2)
    async def test_lost_responses_are_resolved_by_reading_back(self, cluster):
        cluster.store.lose_answers = 3
        first = await call(cluster, "key")
        self.assertEqual(first.ran, Ran.RAN)
        cluster.store.lose_requests = 3
        self.assertEqual((await call(cluster, "key-2")).ran, Ran.RAN)
        await asyncio.sleep(3.0)
        self.assertEqual((await call(cluster, "key", index=1)).kind, None)
        self.assertEqual(cluster.executions(), 2)

    @run_in_world(routers=2)
    async def test_outage_before_the_claim_means_not_run(self, cluster):
        cluster.store.set_down(True)
        refused = await call(cluster, "key")
        self.assertEqual(refused.kind, Kind.PLATFORM_UNAVAILABLE)
        self.assertEqual(refused.ran, Ran.NOT_RUN)
        cluster.store.set_down(False)
        await asyncio.sleep(5.0)
        self.assertEqual(cluster.executions(), 0)
        self.assertEqual((await call(cluster, "key", index=1)).ran, Ran.RAN)
        self.assertEqual(cluster.executions(), 1)

    @run_in_world(routers=2)
    async def test_late_claim_write_is_voided(self, cluster):
        cluster.store.delay = 4.0
        refused = await call(cluster, "key")
        self.assertEqual(refused.ran, Ran.NOT_RUN)
        self.assertEqual(read_claims(cluster), [])
        await asyncio.sleep(30.0)
        (claim,) = read_claims(cluster)
        self.assertEqual(claim.state, states.ClaimState.VOID)
        self.assertEqual(cluster.executions(), 0)
        # The loss of the agent does not affect a voided key.
        cluster.store.delay = 0.0
        await cluster.kill("core-1")
        cluster.restart_agent("core-1")
        await asyncio.sleep(5.0)
        self.assertEqual((await call(cluster, "key", index=1)).ran, Ran.RAN)
        self.assertEqual(cluster.executions(), 1)

    @run_in_world(routers=2)
    async def test_outage_after_dispatch_does_not_hide_the_outcome(
        self, cluster
    ):
        cluster.services[0].delay = 2.0
        calling = asyncio.ensure_future(call(cluster, "key"))
        await asyncio.sleep(1.0)
        cluster.store.set_down(True)
        first = await calling
        self.assertEqual(first.ran, Ran.RAN)
        await asyncio.sleep(30.0)
        cluster.store.set_down(False)
        await asyncio.sleep(3.0)
        self.assertEqual(read_claims(cluster)[0].state, states.ClaimState.DONE)
        repeat = await call(cluster, "key", index=1)
        self.assertEqual(repeat.outcome, first.outcome)

    @run_in_world()
    async def test_outage_is_probed_once_per_second_not_once_per_call(
        self, cluster
    ):
        cluster.store.set_down(True)
        before = cluster.router_by_vm["entry-1"].metrics.total_by_name.copy()
        calls = [call(cluster, f"key-{n}") for n in range(500)]
        results = await asyncio.gather(*calls)
        self.assertEqual({r.ran for r in results}, {Ran.NOT_RUN})
        after = cluster.router_by_vm["entry-1"].metrics.total_by_name
        name = "ledger.transactions"
        self.assertLessEqual(after[name] - before[name], 10)


class ClaimDeadlineTest(unittest.TestCase):
    @run_in_world()
    async def test_claim_decided_at_the_timeout_is_not_lost(self, cluster):
        """Checks that no order of write and timeout leaves a claim open."""
        steps = [n * 1e-4 for n in range(-3, 4)]
        for index, step in enumerate(steps):
            cluster.store.delay = ledger_controller.CLAIM_TIMEOUT_SECONDS + step
            result = await call(cluster, f"key-{index}")
            await asyncio.sleep(30.0)
            state = states.ClaimState.VOID
            if result.kind is None:
                state = states.ClaimState.DONE
            found = {
                c.state
                for c in read_claims(cluster)
                if c.request.endswith(f"-{index + 1}")
            }
            self.assertEqual(found, {state}, step)


class IdempotentCallTest(unittest.TestCase):
    @run_in_world(services=2)
    async def test_refused_call_is_retried_on_another_server(self, cluster):
        cluster.services[0].refuse = True
        for _ in range(8):
            self.assertEqual((await make_idempotent_call(cluster)).ran, Ran.RAN)

    @run_in_world(services=2)
    async def test_call_is_retried_when_its_server_dies(self, cluster):
        for service in cluster.services:
            service.delay = 1.0
        reading = asyncio.ensure_future(make_idempotent_call(cluster))
        await asyncio.sleep(0.5)
        tracked_by_attempt = (
            cluster.router.plain._attempt_tracker._tracked_by_attempt
        )
        ((tracked,),) = tracked_by_attempt.values()
        await cluster.kill(tracked.vm)
        self.assertEqual((await reading).ran, Ran.RAN)

    @run_in_world(services=1)
    async def test_call_fails_after_the_second_attempt(self, cluster):
        cluster.services[0].refuse = True
        with self.assertRaises(errors.NutmegError) as caught:
            await make_idempotent_call(cluster)
        self.assertEqual(caught.exception.ran, Ran.NOT_RUN)


class RetentionTest(unittest.TestCase):
    @run_in_world(routers=2)
    async def test_keys_past_retention_are_refused_not_run_again(self, cluster):
        now = asyncio.get_running_loop().time()
        timed = uuid.UUID(int=(int(now * 1000) << 80) | (7 << 76) | (2 << 62))
        keys = ("plain-key", str(timed))
        for key in keys:
            self.assertEqual((await call(cluster, key)).ran, Ran.RAN)
        await asyncio.sleep(1.0)
        day = 86400.0 + 2 * ledger.MAX_CLOCK_SKEW_SECONDS + 10.0
        for offset, remaining in ((day, 2), (7 * day, 1)):
            self._shift_clocks(cluster, offset)
            for _ in range(2):
                for key in keys:
                    for body in (b"{}", b"other"):
                        late = await call(cluster, key, index=1, body=body)
                        self.assertEqual(
                            late.kind, Kind.IDEMPOTENCY_KEY_EXPIRED
                        )
                await self._sweep(cluster)
            found = [(c.state, c.outcome) for c in read_claims(cluster)]
            self.assertEqual(
                found, [(states.ClaimState.EXPIRED, None)] * remaining
            )
        self.assertEqual(cluster.executions(), 2)

    @run_in_world(routers=2)
    async def test_raised_retention_does_not_revive_expired_keys(self, cluster):
        now = asyncio.get_running_loop().time()
        timed = uuid.UUID(int=(int(now * 1000) << 80) | (7 << 76) | (2 << 62))
        keys = ("plain-key", str(timed))
        for key in keys:
            await call(cluster, key)
        await asyncio.sleep(1.0)
        raised = cluster.declared.services[0].model_copy(
            update={"key_retention_seconds": 1e9}
        )
        for days in (2, 6, 8):
            self._shift_clocks(cluster, days * 86400.0)
            await self._sweep(cluster)
            cluster.declared = utils.make_declaration(services=(raised,))
            for key in keys:
                late = await call(cluster, key)
                self.assertEqual(late.kind, Kind.IDEMPOTENCY_KEY_EXPIRED)
        self.assertEqual(cluster.executions(), 2)

    def _shift_clocks(self, cluster, offset):
        for process in cluster.router_by_vm.values():
            real = process.clock
            real.utc = lambda real=real, add=offset: real.now() + add

    async def _sweep(self, cluster):
        controller = cluster.router.plain.ledger
        for part in range(16):
            await controller.sweep_part(f"{part:x}")

    @run_in_world()
    async def test_key_from_the_future_is_refused(self, cluster):
        now = asyncio.get_running_loop().time() + 3600.0
        timed = uuid.UUID(int=(int(now * 1000) << 80) | (7 << 76) | (2 << 62))
        refused = await call(cluster, str(timed))
        self.assertEqual(
            (refused.kind, refused.ran), (Kind.BAD_REQUEST, Ran.NOT_RUN)
        )

    @run_in_world()
    async def test_claim_within_retention_is_kept(self, cluster):
        await call(cluster, "key")
        await asyncio.sleep(1.0)
        await self._sweep(cluster)
        self.assertEqual(read_claims(cluster)[0].state, states.ClaimState.DONE)


if __name__ == "__main__":
    unittest.main()
