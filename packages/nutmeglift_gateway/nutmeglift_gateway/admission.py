"""Decides whether to admit a request and determines what it needs."""

import dataclasses
import random

from nutmeglift import errors
from nutmeglift import ids
from nutmeglift_gateway import board as boards
from nutmeglift_gateway import caller_request
from nutmeglift_gateway import catalog
from nutmeglift_gateway import ports
from nutmeglift_gateway import prompt_segments
from nutmeglift_gateway import retry_delay
from nutmeglift_gateway.load import room
from nutmeglift_gateway.load import urgency as urgencies

MAX_AUTHORITATIVE_AGE_SECONDS = 1.8
"""A route or key that is missing from a configuration confirmed within this
time does not exist: operators require changes to be in force within 2 s. A
newer version that was rejected may have it."""
LENGTH_HINT_RATIO = 1.3
"""Half of the responses are longer than the caller's estimate."""
MEAN_HELD_RESPONSE_RATIO = 0.5
"""Part of its response that a request holds on average while it runs."""
UNHINTED_RESPONSE_RATIO = 0.4
"""Part of the maximum response length that is reserved without an estimate."""
MAX_PRIORITY = 9
CONFIGURATION_RETRY_SECONDS = 0.6
"""Half of the interval between confirmations of the configuration, plus a
round trip to the store."""
MAX_DIGIT_COUNT = 19
"""Numbers in headers fit into 64 bits. Python converts at most 4,300
digits, and floats overflow at 309."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """A request that was admitted.

    Attributes:
        request_id: the id that the caller gave it.
        route: its route.
        service: the service that runs it.
        account: the client account of its key, if any.
        deadline: loop time by which the response has to end.
        deadline_known: whether the caller set a deadline.
        prompt_tokens: tokens of the prompt; 0 for a plain service.
        response_tokens: expected tokens of the response.
        segments: segments of its prompt; none if
            the list is malformed.
        segments_problem: why the list is malformed, or an empty string.
        received_at: loop time at which it was received.
    """

    request_id: bytes
    route: catalog.Route
    service: catalog.Service
    account: catalog.Account | None
    deadline: float
    deadline_known: bool
    prompt_tokens: int
    response_tokens: float
    segments: tuple[ids.SegmentId, ...] = ()
    segments_problem: str = ""
    received_at: float = 0.0

    @property
    def held_tokens(self) -> float:
        """Tokens that the request holds in the KV cache on average."""
        return (
            self.prompt_tokens + MEAN_HELD_RESPONSE_RATIO * self.response_tokens
        )

    @property
    def priority(self) -> int:
        """Priority at the engines; 0 is the highest."""
        own = self.account.priority if self.account else None
        found = self.route.priority if own is None else own
        return max(0, min(MAX_PRIORITY, found))

    @property
    def rank(self) -> int:
        """Order in which requests get room; 0 comes first.

        The priority of the route decides among requests of equal priority, also
        if every account has its own.
        """
        route = max(0, min(MAX_PRIORITY, self.route.priority))
        return self.priority * (MAX_PRIORITY + 1) + route

    @property
    def needs(self) -> room.RoomRequest:
        """What the request needs from the runners of its service."""
        return room.RoomRequest(
            self.service.id,
            urgencies.Urgency(
                self.priority,
                self.route.objective,
                self.route.gap_objective,
                self.received_at,
            ),
            self.prompt_tokens,
            self.held_tokens,
            self.rank,
        )


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that was refused.

    Attributes:
        kind: the error kind.
        retry_after: seconds after which to retry, or None.
        detail: reason for the log.
    """

    kind: errors.ErrorKind
    retry_after: float | None
    detail: str


def admit(
    board: boards.Board,
    names: ports.HeaderNames,
    request: caller_request.Request,
    boot_now: float,
    rng: random.Random,
) -> Admitted | Refused:
    """Admits or refuses a request.

    Args:
        board: the router's shared state.
        names: names of the headers.
        request: the caller's request.
        boot_now: seconds on the boot-time clock, which includes suspension,
            read after the request was received.
        rng: distributes the requests of a route over its services.
    """
    if board.refusing:
        return Refused(
            errors.ErrorKind.DRAINING,
            retry_delay.DRAIN_RETRY_SECONDS,
            "leaving",
        )
    configuration = board.catalog
    if configuration is None or not board.is_configured:
        return _refuse_stale("no confirmed configuration yet")
    problem = _find_head_problem(names, request)
    if problem:
        return Refused(errors.ErrorKind.BAD_REQUEST, None, problem)
    is_authoritative = (
        board.freshness.age(boot_now) < MAX_AUTHORITATIVE_AGE_SECONDS
        and board.freshness.is_newest_taken
    )
    host = request.get(b"host") or b""
    route = configuration.find_route(host.decode("latin-1"), request.target)
    if route is None:
        if not is_authoritative:
            return _refuse_stale(
                "unknown route; the configuration may be out of date"
            )
        return Refused(errors.ErrorKind.UNKNOWN_ROUTE, None, request.target)
    key = (request.get(names.key) or b"").decode("latin-1")
    account = configuration.account_by_key.get(key)
    if (
        configuration.accounts_required
        and not route.anonymous
        and account is None
    ):
        if not is_authoritative:
            return _refuse_stale(
                "unknown key; the configuration may be out of date"
            )
        return Refused(errors.ErrorKind.UNAUTHENTICATED, None, "unknown key")
    if account is not None and not board.freshness.is_fresh(boot_now):
        return _refuse_stale("the key cannot be confirmed")
    if account is not None and board.freshness.may_be_revoked(key):
        return _refuse_stale(
            "a newer configuration, which is invalid, lacks the key"
        )
    service = configuration.service_by_id.get(_pick_service(route, rng))
    if service is None:
        return Refused(
            errors.ErrorKind.NO_BACKEND,
            CONFIGURATION_RETRY_SECONDS,
            "the route's service is not configured",
        )
    return _build_admitted(names, request, route, service, account)


def _refuse_stale(detail: str) -> Refused:
    return Refused(
        errors.ErrorKind.CONFIGURATION_STALE,
        CONFIGURATION_RETRY_SECONDS,
        detail,
    )


def _find_head_problem(
    names: ports.HeaderNames, request: caller_request.Request
) -> str:
    """Returns what is wrong with a request's head, or an empty string."""
    if request.count(b"host") != 1:
        return "not exactly one Host header"
    if request.count(names.request_id) != 1:
        return "not exactly one request id"
    if not request.get(names.request_id):
        return "empty request id"
    if request.count(names.key) > 1:
        return "more than one API key"
    if not request.target.startswith("/"):
        return "the request target is not a path"
    return ""


def _pick_service(route: catalog.Route, rng: random.Random) -> ids.ServiceId:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [each.weight for each in route.services]
    if sum(weights) <= 0:
        return route.services[0].service
    return rng.choices(route.services, weights)[0].service


def _build_admitted(
    names: ports.HeaderNames,
    request: caller_request.Request,
    route: catalog.Route,
    service: catalog.Service,
    account: catalog.Account | None,
) -> Admitted | Refused:
    raw = request.get(names.deadline)
    timeout = route.timeout
    if raw is not None:
        milliseconds = _parse_number(raw)
        if milliseconds is None:
            return Refused(
                errors.ErrorKind.BAD_REQUEST, None, "malformed deadline"
            )
        timeout = min(timeout, milliseconds / 1000)
    last_event_id = request.get(names.last_event_id) or b""
    if last_event_id.isdigit() and _parse_number(last_event_id) is None:
        return Refused(
            errors.ErrorKind.BAD_REQUEST, None, "malformed last event id"
        )
    prompt_tokens, response_tokens = 0, 0.0
    if service.engine is not None:
        counts = _parse_token_counts(names, request)
        if counts is None:
            return Refused(
                errors.ErrorKind.BAD_REQUEST, None, "malformed token counts"
            )
        prompt_tokens, response_tokens = counts
    segments, segments_problem = _parse_segments(names, request, service)
    return Admitted(
        request_id=request.get(names.request_id) or b"",
        route=route,
        service=service,
        account=account,
        deadline=request.received_at + timeout,
        deadline_known=raw is not None,
        prompt_tokens=prompt_tokens,
        response_tokens=response_tokens,
        segments=segments,
        segments_problem=segments_problem,
        received_at=request.received_at,
    )


def _parse_segments(
    names: ports.HeaderNames,
    request: caller_request.Request,
    service: catalog.Service,
) -> tuple[tuple[ids.SegmentId, ...], str]:
    """Returns the segments, and what is wrong with their list."""
    if service.engine is None:
        return (), ""
    lists = [
        value
        for name, value in request.headers
        if name == names.prompt_segments
    ]
    try:
        return prompt_segments.parse(b",".join(lists)), ""
    except prompt_segments.MalformedSegmentsError as error:
        return (), str(error)


def _parse_token_counts(
    names: ports.HeaderNames, request: caller_request.Request
) -> tuple[int, float] | None:
    """Returns prompt and expected response tokens, or None if malformed."""
    raw = request.get(names.tokens)
    if raw is None:
        return None
    first, _, second = raw.partition(b",")
    prompt_tokens = _parse_number(first.strip())
    max_response_tokens = _parse_number(second.strip())
    if prompt_tokens is None or max_response_tokens is None:
        return None
    hint = _parse_number((request.get(names.length_hint) or b"").strip())
    if hint is not None:
        return prompt_tokens, min(
            float(max_response_tokens), hint * LENGTH_HINT_RATIO
        )
    return prompt_tokens, max_response_tokens * UNHINTED_RESPONSE_RATIO


def _parse_number(raw: bytes) -> int | None:
    """Returns a decimal number, or None if malformed or too large."""
    if not raw.isdigit() or len(raw) > MAX_DIGIT_COUNT:
        return None
    return int(raw)
