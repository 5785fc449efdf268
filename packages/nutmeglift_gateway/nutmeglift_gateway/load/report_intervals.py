"""Decides how often a router reports to each of its peers.

Load: reports between all pairs of routers take most of the processor time of a
router with many peers. Routers of other failure domains share few runners with
it, and need its load less often. What is urgent is sent to all without delay.
"""

NEAR_SECONDS = 0.25
"""Interval of reports; a request lasts several of them."""
FAR_SECONDS = 0.5
"""Interval between many routers in different failure domains."""
MIN_FAR_PEER_COUNT = 16
"""Peers from which on reports to other failure domains are less frequent; fewer
cost a hundredth of a core."""
NEAR_TIMEOUT_SECONDS = 0.7
"""Time without a report after which a router is not live: two reports may be
late or missing."""
FAR_TIMEOUT_SECONDS = 1.2
"""The same for reports at intervals of FAR_SECONDS."""


def interval(peer_count: int, *, is_near: bool, plans: bool) -> float:
    """Returns the interval of the reports to a peer, in seconds.

    Args:
        peer_count: live peers.
        is_near: whether the peer is in the router's own failure domain.
        plans: whether either of the two plans. A planner's confirmations are
            dated by the reports that it echoes.
    """
    if is_near or plans or peer_count < MIN_FAR_PEER_COUNT:
        return NEAR_SECONDS
    return FAR_SECONDS


def timeout(peer_count: int, *, is_near: bool) -> float:
    """Returns the seconds without a report after which a peer is lost.

    Args:
        peer_count: live peers.
        is_near: whether the peer is in the router's own failure domain.
    """
    if is_near or peer_count < MIN_FAR_PEER_COUNT:
        return NEAR_TIMEOUT_SECONDS
    return FAR_TIMEOUT_SECONDS
