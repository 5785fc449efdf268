"""Entries of the router's blackboard."""

import dataclasses

from nutmeglift import blackboard
from nutmeglift import configuration
from nutmeglift import control_messages
from nutmeglift import declaration
from nutmeglift import drain
from nutmeglift import ids
from nutmeglift import membership
from nutmeglift import plan


@dataclasses.dataclass(frozen=True)
class ConfigurationInForce:
    """The configuration that this process applies.

    Attributes:
        head: the configuration's head.
        declared: the declaration.
        fresh: whether it was confirmed since the last start, or pause longer
            than the freshness bound.
    """

    head: control_messages.ConfigurationHead
    declared: declaration.Declaration
    fresh: bool = True


@dataclasses.dataclass(frozen=True)
class Leader:
    """The router that holds the planner's lease, as last reported.

    Attributes:
        vm: the router's VM.
        fencing_number: fencing number of its lease.
    """

    vm: ids.VmId
    fencing_number: ids.FencingNumber


CONFIGURATION = blackboard.Entry(
    "configuration",
    blackboard.Controller.CONFIGURATION,
    ConfigurationInForce(configuration.NO_HEAD, declaration.Declaration()),
)
MEMBERS = blackboard.Entry[dict[ids.VmId, membership.Member]](
    "members", blackboard.Controller.MEMBERSHIP, {}
)
PLAN = blackboard.Entry("plan", blackboard.Controller.PLAN, plan.Plan())
LEADER = blackboard.Entry[Leader | None](
    "leader", blackboard.Controller.LEASE, None
)
DRAIN = blackboard.Entry(
    "drain", blackboard.Controller.DRAIN, drain.DrainState.SERVING
)
