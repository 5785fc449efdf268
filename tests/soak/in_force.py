"""Judges responses against the configurations that the store acknowledged.

Nothing here uses the network: a history of versions with the times of their
acknowledgements, what routers did with requests, and when routers were excused.
"""

import bisect
import collections
import dataclasses
import enum

APPLY_SECONDS = 2.0
"""A version is in force this long after its acknowledgement."""
ROLLBACK_SECONDS = 0.25
"""Requests sent this long after a version's effect are handled by no older
one, in one lifetime of a router's process."""
REVOCATION_SECONDS = 2.0
DELAY_BUCKETS_SECONDS = (0.25, 0.5, 1.0, 1.5, 2.0)
EXCUSE_STEP_SECONDS = 0.5
"""Excuses last longer than this."""
UNKNOWN_ROUTE = 404
UNKNOWN_KEY = 401
FORBIDDEN = 403
REFUSALS = (UNKNOWN_KEY, FORBIDDEN, UNKNOWN_ROUTE)


class Kind(enum.Enum):
    """A violated guarantee."""

    DENIED = "denied what every version allows"
    CONFIG_REFUSED = "refused as only an older version does"
    CONFIG_RUN = "run as only an older version does"
    REVOKED = "run with a revoked key"
    REGRESSION = "regression to an older version"
    FORBIDDEN_RUN = "run as no version ever did"


@dataclasses.dataclass(frozen=True)
class Version:
    """What a configuration allows.

    Attributes:
        number: its version number.
        services_by_route: names of the services of a route, by host and prefix.
        keys: the valid API keys.
    """

    number: int
    services_by_route: dict[tuple[str, str], frozenset[str]]
    keys: frozenset[str]
    _found: dict[tuple[str, str], frozenset[str] | None] = dataclasses.field(
        default_factory=dict, compare=False, repr=False
    )

    def services(self, host, path):
        """Returns the services of the longest prefix; None without a route."""
        if (host, path) not in self._found:
            self._found[host, path] = self._find_services(host, path)
        return self._found[host, path]

    def _find_services(self, host, path):
        found = [
            (len(prefix), services)
            for (name, prefix), services in self.services_by_route.items()
            if name == host and path.startswith(prefix)
        ]
        return max(found, key=lambda row: row[0])[1] if found else None


@dataclasses.dataclass
class Acknowledgement:
    """The time for which the store keeps a version that it acknowledged.

    Attributes:
        version: the version.
        at: time of the acknowledgement.
        lost_at: when the store came back without it; infinite if it did not.
    """

    version: Version
    at: float
    lost_at: float = float("inf")


class History:
    """All versions that were written, in order.

    Attributes:
        acknowledgements: all of them; a version that was written again after
            the store lost it has several.
    """

    def __init__(self):
        self.acknowledgements = []
        self._revoked_at_by_key = {}

    def acknowledge(self, version, at):
        """Records that the store has accepted a version."""
        if self.acknowledgements:
            previous = self.acknowledgements[-1].version
            for key in previous.keys - version.keys:
                self._revoked_at_by_key.setdefault(key, at)
        for key in version.keys:
            self._revoked_at_by_key.pop(key, None)
        self.acknowledgements.append(Acknowledgement(version, at))

    def lose(self, kept_number, at):
        """Records that the store has lost all versions after one."""
        for each in self.acknowledgements:
            if each.version.number > kept_number:
                each.lost_at = min(each.lost_at, at)

    def overwrite(self, at):
        """Records that something invalid replaces the newest version.

        A router that has not read that version by then can't read it any more.
        """
        for each in self.acknowledgements:
            if each.at > at - APPLY_SECONDS:
                each.lost_at = min(each.lost_at, at)

    def floor(self, at, bound=APPLY_SECONDS):
        """Returns the number of the oldest version that may be in force.

        Args:
            at: when a request is sent.
            bound: seconds from an acknowledgement until it has to be in force.
        """
        return max(
            (
                each.version.number
                for each in self.acknowledgements
                if each.at + bound < at < each.lost_at
            ),
            default=0,
        )

    def written_until(self, at):
        """Returns the versions that may have been read by a time."""
        found = {
            each.version.number: each.version
            for each in self.acknowledgements
            if each.at <= at
        }
        return [found[number] for number in sorted(found)]

    def revoked_at(self, key):
        """Returns when the last version that took a key away was accepted."""
        return self._revoked_at_by_key.get(key)


@dataclasses.dataclass(frozen=True)
class Answer:
    """What became of a request.

    Attributes:
        id: the request's id.
        router: name of the router.
        lifetime: number of the lifetime of the router's process; None if the
            request may have been handled by either of two.
        sent_at: time before sending.
        ended_at: time of the response, or of the end of waiting.
        host: the Host header.
        path: the path.
        key: the API key.
        status: HTTP status; 0 without a response.
        runs: services that ran it, with the times at which they began.
    """

    id: str
    router: str
    lifetime: int | None
    sent_at: float
    ended_at: float
    host: str
    path: str
    key: str
    status: int
    runs: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True)
class Problem:
    """A violated guarantee, and whether the rules excuse it."""

    kind: Kind
    answer: Answer
    detail: str
    excused: bool = False

    def __str__(self):
        answer = self.answer
        return (
            f"{self.kind.value}: {answer.id} at {answer.router}, sent"
            f" {answer.sent_at:.3f}, ended {answer.ended_at:.3f},"
            f" {answer.host}{answer.path} with {answer.key}:"
            f" {answer.status}, ran at {list(answer.runs)}; {self.detail}"
        )


def allows_refusal(version, answer):
    """Returns whether a version explains a 401, 403 or 404."""
    lacks_route = version.services(answer.host, answer.path) is None
    lacks_key = answer.key not in version.keys
    return {
        UNKNOWN_ROUTE: lacks_route,
        UNKNOWN_KEY: lacks_key,
        FORBIDDEN: lacks_route or lacks_key,
    }[answer.status]


def allows_run(version, answer, service):
    """Returns whether a version lets a service run a request."""
    services = version.services(answer.host, answer.path)
    return bool(services) and service in services and answer.key in version.keys


class Judge:
    """Finds problems in the answers of one run."""

    def __init__(self, history, is_excused, starved_seconds):
        """Initializes the judge.

        Args:
            history: the versions that were written.
            is_excused: function from a router's name and a time to whether the
                rules excuse late configurations there.
            starved_seconds: function from a router's name, a start and an end
                to how long no processor was free.
        """
        self._history = history
        self._is_excused = is_excused
        self._starved_seconds = starved_seconds

    def find_problems(self, answers):
        """Returns all problems, the excused ones too."""
        problems = []
        for answer in answers:
            problems += self._find_late(answer)
        return [*problems, *self._find_regressions(answers)]

    def _find_late(self, answer):
        """Yields problems that concern one answer alone."""
        written = self._history.written_until(answer.ended_at)
        floor = self._floor(answer)
        for explaining, kind, always in self._effects(answer, written):
            if not explaining:
                yield Problem(always, answer, "no version explains it")
            elif explaining[-1] < floor:
                yield Problem(
                    kind,
                    answer,
                    f"explained by {explaining[-1]}, in force {floor}",
                    self._is_excused(answer.router, answer.sent_at)
                    or self._is_excused(answer.router, answer.ended_at),
                )
        revoked_at = self._history.revoked_at(answer.key)
        if (
            answer.runs
            and revoked_at is not None
            and answer.sent_at > revoked_at + REVOCATION_SECONDS
        ):
            late = answer.sent_at - revoked_at
            yield Problem(
                Kind.REVOKED, answer, f"sent {late:.3f} s after its revocation"
            )

    def _floor(self, answer):
        starved = self._starved_seconds(
            answer.router, answer.sent_at - APPLY_SECONDS, answer.ended_at
        )
        return self._history.floor(answer.sent_at, APPLY_SECONDS + starved)

    @staticmethod
    def _effects(answer, written):
        """Yields the versions that explain each effect, and its kinds.

        The first kind is of an effect that only older versions explain, the
        second of one that no version explains.
        """
        if answer.status in REFUSALS:
            explaining = [
                version.number
                for version in written
                if allows_refusal(version, answer)
            ]
            yield explaining, Kind.CONFIG_REFUSED, Kind.DENIED
        for service, _ in answer.runs:
            explaining = [
                version.number
                for version in written
                if allows_run(version, answer, service)
            ]
            yield explaining, Kind.CONFIG_RUN, Kind.FORBIDDEN_RUN

    def effects_by_lifetime(self, answers):
        """Returns what each lifetime showed, in the order of the effects.

        Each row is the time of an effect, the answer, and the numbers of the
        versions that explain it.
        """
        rows_by_lifetime = collections.defaultdict(list)
        for answer in answers:
            if answer.lifetime is None:
                continue
            times = [answer.ended_at] * (answer.status in REFUSALS)
            times += [began_at for _, began_at in answer.runs]
            written = self._history.written_until(answer.ended_at)
            for at, (explaining, _, _) in zip(
                times, self._effects(answer, written), strict=True
            ):
                if explaining:
                    rows_by_lifetime[answer.router, answer.lifetime].append(
                        (at, answer, explaining)
                    )
        for rows in rows_by_lifetime.values():
            rows.sort(key=lambda row: row[0])
        return rows_by_lifetime

    def _find_regressions(self, answers):
        """Yields answers older than what their process had shown before.

        Each effect shows at least the oldest version that explains it and is
        no older than what was shown before.
        """
        for rows in self.effects_by_lifetime(answers).values():
            shown_at, shown = [], []
            for at, answer, explaining in rows:
                limit = answer.sent_at - ROLLBACK_SECONDS
                known = bisect.bisect_left(shown_at, limit) - 1
                oldest = shown[known] if known >= 0 else 0
                possible = [each for each in explaining if each >= oldest]
                if not possible:
                    yield Problem(
                        Kind.REGRESSION,
                        answer,
                        f"explained by {explaining[-1]}, seen {oldest} at"
                        f" {shown_at[known]:.3f}",
                    )
                    continue
                shown_at.append(at)
                shown.append(max(possible[0], shown[-1] if shown else 0))

    def first_seen_seconds(self, answers):
        """Returns how long after each acknowledgement its effect was seen.

        There is one time for each version and router that shows it, unless
        the rules excuse the router at some time between the two.
        """
        rows_by_router = collections.defaultdict(list)
        for (router, _), rows in self.effects_by_lifetime(answers).items():
            shown = 0
            for at, answer, explaining in rows:
                possible = [each for each in explaining if each >= shown]
                shown = max(shown, possible[0] if possible else 0)
                rows_by_router[router].append((at, shown, answer.lifetime))
        delays = []
        for router, rows in rows_by_router.items():
            rows.sort(key=lambda row: row[0])
            for each in self._history.acknowledgements:
                seen_at = next(
                    (
                        at
                        for at, shown, _ in rows
                        if at >= each.at and shown >= each.version.number
                    ),
                    None,
                )
                if (
                    seen_at is not None
                    and seen_at < each.lost_at
                    and not self._is_excused_within(router, each.at, seen_at)
                ):
                    delays.append(seen_at - each.at)
        return delays

    def _is_excused_within(self, router, start, end):
        times = [end]
        while start < end:
            times.append(start)
            start += EXCUSE_STEP_SECONDS
        return any(self._is_excused(router, at) for at in times)


def count_delays(delays):
    """Returns the number of delays by bucket; the last one has the rest."""
    counts = [0] * (len(DELAY_BUCKETS_SECONDS) + 1)
    for delay in delays:
        counts[bisect.bisect_left(DELAY_BUCKETS_SECONDS, delay)] += 1
    return counts
