"""What a server's response says about the server itself."""

import dataclasses

from nutmeglift_gateway import http_call
from nutmeglift_gateway import ports
from nutmeglift_gateway import responses

LEAVING_VALUE = b"1"


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a server says in the head of a response.

    Attributes:
        hold_off: time for which it wants nothing, as received; None if it
            didn't turn the request away with one.
        fault: address of the server that it blames; empty for none.
        leaving: whether it leaves.
    """

    hold_off: bytes | None
    fault: bytes
    leaving: bool


def read(
    names: ports.HeaderNames, head: http_call.Head, verdict: responses.Verdict
) -> Announcement | None:
    """Returns what a response says of its server; None if nothing.

    Args:
        names: names of the headers.
        head: status and headers.
        verdict: class of the response. One that may belong to another request,
            or that comes from another server than the addressed one, is not
            taken as a statement that the server leaves.
    """
    hold_off = None
    if head.status == responses.UNAVAILABLE_STATUS:
        hold_off = head.get(names.retry_after)
    leaving = (
        head.get(names.leaving) == LEAVING_VALUE
        and verdict is not responses.Verdict.INVALID
        and head.status != responses.MISDIRECTED_STATUS
    )
    if hold_off is None and not leaving:
        return None
    return Announcement(hold_off, head.get(names.fault) or b"", leaving)
