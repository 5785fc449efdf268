"""Judges all requests of a soak run against the acknowledged versions."""

import collections
import dataclasses

from tests.soak import in_force
from tests.soak import probes


@dataclasses.dataclass
class Findings:
    """What the judge found in one run or more.

    Attributes:
        problems: descriptions of what the rules don't excuse.
        count_by_excused: number of excused problems by kind.
        delays: how long after an acknowledgement its effect was first seen at
            a router, in seconds.
        probe_count_by_status: number of probes by their status.
    """

    problems: list[str] = dataclasses.field(default_factory=list)
    count_by_excused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    delays: list[float] = dataclasses.field(default_factory=list)
    probe_count_by_status: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, other):
        """Adds the numbers of another run."""
        self.count_by_excused += other.count_by_excused
        self.delays += other.delays
        self.probe_count_by_status += other.probe_count_by_status


def check(system, late, lags):
    """Returns the findings on all callers and probes.

    Args:
        system: the soak_run.System.
        late: the late_runs.LateRunCheck, which knows who was in touch.
        lags: times and seconds for which the soak itself ran late.
    """
    router_by_vm = {router.vm: router for router in system.routers}

    def is_excused(vm, at):
        return not late.is_in_touch(router_by_vm[vm], at)

    def starved_seconds(vm, start, end):
        return sum(
            seconds
            for at, seconds in [*router_by_vm[vm].waits, *lags]
            if start <= at <= end + seconds
        )

    answers = probes.collect_answers(
        system.probes,
        system.callers.sent_by_id.values(),
        router_by_vm,
        system.record.runs_by_id,
    )
    judge = in_force.Judge(
        system.config_writer.history, is_excused, starved_seconds
    )
    findings = Findings(delays=judge.first_seen_seconds(answers))
    for problem in judge.find_problems(answers):
        if problem.excused:
            findings.count_by_excused[problem.kind.value] += 1
        else:
            findings.problems.append(str(problem))
    findings.probe_count_by_status.update(
        answer.status for answer in system.probes.answers
    )
    return findings
