"""Cost of claims: key-value writes per claim and added latency."""

import asyncio
import random
import time
import tracemalloc

from benchmarks import figures
from nutmeglift import attempts
from nutmeglift import codec
from nutmeglift import ids
from nutmeglift import kv
from nutmeglift import ledger
from nutmeglift import plain_messages
from nutmeglift import states
from nutmeglift_router import ledger_controller
from nutmeglift_wire import clock as clocks
from nutmeglift_wire import metrics
from tests import virtual_time

STORE_ROUND_TRIP_SECONDS = 0.005
CALL_DURATION_SECONDS = 0.02
SEED = 1
MAX_CALL_COUNT = 20_000
MAX_ARRIVAL_SECONDS = 60.0
RESPONSE_BODY = b"x" * 200


def make_claim(number: int) -> ledger.Claim:
    """Returns the claim of the call with a given number."""
    return ledger.Claim(
        states.ClaimState.CLAIMED,
        ids.RequestId(f"epoch-{number}"),
        ids.Attempt(1),
        ledger.body_digest("POST", "/releases", b"%d" % number),
        ids.VmId("core-1"),
        ids.Incarnation("core-1-1"),
        "10.0.0.1:7000",
        0.0,
        expires_at=86400.0,
    )


class ClaimLoad:
    """Calls that arrive at one router as a Poisson process.

    Attributes:
        claim_latencies: duration of each claim, in seconds.
        store: the key-value service.
    """

    def __init__(self, rate: float) -> None:
        self.claim_latencies: list[float] = []
        self.store = kv.MemoryKv()
        self.store.delay = STORE_ROUND_TRIP_SECONDS
        self._rate = rate
        self._rng = random.Random(SEED)
        self._ledger = ledger_controller.LedgerController(
            store=self.store,
            clock=clocks.PausableClock(),
            metrics=metrics.NoMetrics(),
        )

    async def run(self) -> None:
        """Runs all calls and waits until their outcomes are recorded."""
        call_count = min(MAX_CALL_COUNT, int(self._rate * MAX_ARRIVAL_SECONDS))
        tasks = []
        for number in range(call_count):
            await asyncio.sleep(self._rng.expovariate(self._rate))
            tasks.append(asyncio.ensure_future(self._call(number)))
        await asyncio.gather(*tasks)
        while self._ledger.pending_writes:  # noqa: ASYNC110
            await asyncio.sleep(STORE_ROUND_TRIP_SECONDS)

    async def _call(self, number: int) -> None:
        claim = make_claim(number)
        key = ledger.claim_key(ids.Digest(f"{number:064x}"))
        started = asyncio.get_running_loop().time()
        result = await self._ledger.write(key, kv.NEVER_WRITTEN, claim)
        self.claim_latencies.append(asyncio.get_running_loop().time() - started)
        await asyncio.sleep(CALL_DURATION_SECONDS)
        outcome = plain_messages.PlainOutcome(
            claim.request,
            claim.attempt,
            states.Ran.RAN,
            200,
            body=RESPONSE_BODY,
        )
        held = ledger_controller.StoredClaim(key, claim, result.revision)  # type: ignore[union-attr]
        self._ledger.record(held, ledger.complete_claim(claim, outcome))


def measure_claims_per_write(rate: float) -> figures.Measurement:
    """Measures claims per transaction, including those that record outcomes.

    The baseline writes each claim and each outcome in its own transaction.
    """
    load = ClaimLoad(rate)
    virtual_time.run(load.run())
    return figures.Measurement(
        round(len(load.claim_latencies) / load.store.transactions, 2), 0.5
    )


def measure_added_latency() -> figures.Measurement:
    """Measures the mean latency of a claim at 10 calls per second.

    The baseline is one write per claim, which takes one round trip.
    """
    load = ClaimLoad(10.0)
    virtual_time.run(load.run())
    mean = sum(load.claim_latencies) / len(load.claim_latencies)
    return figures.Measurement(round(mean, 6), STORE_ROUND_TRIP_SECONDS)


def measure_latency_quantile(
    rate: float, quantile: float
) -> figures.Measurement:
    """Measures a quantile of the claim latency at a rate of calls."""
    load = ClaimLoad(rate)
    virtual_time.run(load.run())
    claim_latencies = sorted(load.claim_latencies)
    return figures.Measurement(
        round(claim_latencies[int(quantile * len(claim_latencies))], 6),
        STORE_ROUND_TRIP_SECONDS,
    )


def measure_cpu_per_call() -> figures.Measurement:
    """Measures the ledger's processor time per call, for claim and outcome.

    The time of the in-memory key-value service and the event loop is included.
    """
    load = ClaimLoad(1000.0)
    started = time.process_time()
    virtual_time.run(load.run())
    spent = time.process_time() - started
    return figures.Measurement(
        round(spent / len(load.claim_latencies) * 1e6, 1)
    )


def measure_claim_bytes(state: states.ClaimState) -> figures.Measurement:
    """Measures the size of a stored claim: key and value."""
    claim = make_claim(1_000_000)
    outcome = plain_messages.PlainOutcome(
        claim.request, claim.attempt, states.Ran.RAN, 200, body=RESPONSE_BODY
    )
    if state is not states.ClaimState.CLAIMED:
        claim = ledger.complete_claim(claim, outcome)
    if state is states.ClaimState.EXPIRED:
        aged = ledger.check_retention(claim, 1e9)
        claim = aged.claim  # type: ignore[union-attr]
    key = ledger.claim_key(ids.Digest("0" * 64))
    return figures.Measurement(len(key) + len(codec.encode(claim)))


def measure_attempt_bytes() -> figures.Measurement:
    """Measures an agent's memory per settled attempt."""
    count = attempts.MAX_SETTLED_ATTEMPT_COUNT
    table = attempts.AttemptTable(ids.Incarnation("one"))
    tracemalloc.start()
    for number in range(count):
        call = plain_messages.PlainCall(
            ids.RequestId(f"{number % 16:016x}-{number}"),
            ids.Attempt(1),
            ids.ServiceId("core"),
            ids.Incarnation("one"),
            "POST",
            "/releases",
            (),
            b"",
            False,
            10.0,
        )
        table.begin(call)
        body = RESPONSE_BODY + b"%d" % number
        table.finish(
            plain_messages.PlainOutcome(
                call.request, call.attempt, states.Ran.RAN, 200, body=body
            )
        )
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return figures.Measurement(round(held / count))


FIGURES = [
    figures.Figure("ledger_cpu_per_call", "us", "", measure_cpu_per_call),
    *(
        figures.Figure(
            f"ledger_{state.value}_bytes",
            "B",
            "",
            lambda state=state: measure_claim_bytes(state),  # type: ignore[misc]
        )
        for state in (
            states.ClaimState.CLAIMED,
            states.ClaimState.DONE,
            states.ClaimState.EXPIRED,
        )
    ),
    figures.Figure("agent_attempt_bytes", "B", "", measure_attempt_bytes),
    *(
        figures.Figure(
            f"ledger_claims_per_write_{rate}",
            "claims",
            ">= 20" if rate == 1000 else "",  # noqa: PLR2004
            lambda rate=rate: measure_claims_per_write(float(rate)),  # type: ignore[misc]
        )
        for rate in (10, 100, 1000)
    ),
    figures.Figure(
        "ledger_added_latency_10", "s", "<= 0.010", measure_added_latency
    ),
    figures.Figure(
        "ledger_added_latency_1000_p99",
        "s",
        "",
        lambda: measure_latency_quantile(1000.0, 0.99),
    ),
]
