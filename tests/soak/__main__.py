"""Command line: python -m tests.soak --seeds=10 --first=1 --seconds=20."""

import asyncio
import bisect
import collections
import random

import fire

from tests.soak import faults as fault_kinds
from tests.soak import in_force
from tests.soak import in_force_check
from tests.soak import soak_run

MAX_SHOWN_COUNT = 3
"""Problems of one kind that are printed."""

DELAY_BUCKETS_SECONDS = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0)


def format_delays(departures, delays):
    """Returns a histogram of the last requests to servers that left."""
    counts = [0] * (len(DELAY_BUCKETS_SECONDS) + 1)
    for delay in delays:
        counts[bisect.bisect_left(DELAY_BUCKETS_SECONDS, delay)] += 1
    counts[0] += departures - len(delays)
    limits = [f"<= {limit} s" for limit in DELAY_BUCKETS_SECONDS] + ["more"]
    return ", ".join(
        f"{limit}: {count}" for limit, count in zip(limits, counts, strict=True)
    )


def format_first_seen(delays):
    """Returns a histogram of when versions were first seen at a router."""
    limits = [f"<= {limit} s" for limit in in_force.DELAY_BUCKETS_SECONDS]
    return ", ".join(
        f"{limit}: {count}"
        for limit, count in zip(
            [*limits, "more"], in_force.count_delays(delays), strict=True
        )
    )


def main(
    seeds=1,
    first=1,
    seconds=20.0,
    routers=soak_run.Size.routers,
    servers=soak_run.Size.servers,
    callers=soak_run.Size.callers,
    keep="",
    faults=(),
    without=(),
):
    """Runs the soak for each seed in turn and prints the results.

    Args:
        seeds: number of seeds.
        first: the first seed.
        seconds: duration of the faults for each seed.
        routers: number of router processes.
        servers: number of servers; half of them are runners.
        callers: number of callers.
        keep: folder for logs and times of events, which are kept.
        faults: names of the faults to choose from, as a list; all by default.
        without: names of faults to leave out, as a list.
    """
    size = soak_run.Size(routers, servers, callers)
    if without:
        system = soak_run.System(random.Random(first), size)
        names = faults or fault_kinds.Injector(None, system).names()
        faults = [name for name in names if name not in without]
    failed = departures = 0
    delays = []
    findings = in_force_check.Findings()
    for seed in range(first, first + seeds):
        result = asyncio.run(
            soak_run.run_seed(seed, seconds, size, keep, faults)
        )
        state = "failed" if result.problems else "passed"
        failed += bool(result.problems)
        print(
            f"seed {seed} {state}: {result.served} of {result.sent} served,"
            f" {len(result.faults)} faults, unanswered {result.unanswered},"
            f" soak late for {result.late_seconds:.1f} s,"
            f" routers waited {result.wait_seconds:.1f} s for a processor",
            flush=True,
        )
        departures += result.departures
        delays += result.leaving_delays
        findings.add(result.findings)
        problems_by_kind = collections.defaultdict(list)
        for problem in result.problems:
            problems_by_kind[problem.partition(":")[0]].append(problem)
        for kind, problems in problems_by_kind.items():
            print(f"  {len(problems)} x {kind}")
            for problem in problems[:MAX_SHOWN_COUNT]:
                print(f"    {problem}")
    print(
        f"last requests to leaving servers: {format_delays(departures, delays)}"
    )
    print(f"versions first seen after: {format_first_seen(findings.delays)}")
    print(f"probes by status: {dict(findings.probe_count_by_status)}")
    print(f"excused: {dict(findings.count_by_excused)}")
    print(f"{seeds - failed} passed, {failed} failed")


if __name__ == "__main__":
    fire.Fire(main)
