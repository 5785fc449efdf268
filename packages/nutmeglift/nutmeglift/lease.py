"""The planner's role: held by a lease, numbered by fencing numbers."""

import dataclasses

import msgspec

from nutmeglift import codec
from nutmeglift import errors
from nutmeglift import ids
from nutmeglift import kv

PREFIX = "/nutmeglift/lease/planner/"
ROLE_KEY = PREFIX + "holder"
FENCING_NUMBER_KEY = PREFIX + "fencing_number"
TTL_SECONDS = 6.0
EXPIRY_MARGIN_SECONDS = 1.0
RENEWAL_COUNT_PER_TTL = 3


class Holder(msgspec.Struct, frozen=True):
    """Who holds the role.

    Attributes:
        vm: its VM.
        incarnation: its incarnation.
        fencing_number: number of its lease.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True)
class RoleState:
    """The role as the service shows it.

    Attributes:
        holder: who holds it, or None.
        holder_revision: revision of the holder's last write.
        number: highest fencing number that was ever written.
        number_revision: revision of its last write.
        read_revision: revision of the service at the reading.
    """

    holder: Holder | None
    holder_revision: ids.Revision
    number: ids.FencingNumber
    number_revision: ids.Revision
    read_revision: ids.Revision


class LocalLease:
    """Whether this process holds the role, by its own clock alone.

    A process that was paused may wake after its lease lapsed. So the lease
    counts from before the renewal was sent, and ends a margin early.
    """

    def __init__(self) -> None:
        self._fencing_number = ids.FencingNumber(0)
        self._ends_at = float("-inf")

    def extend(
        self, number: ids.FencingNumber, sent_at: float, ttl: float
    ) -> None:
        """Notes a grant or renewal.

        Args:
            number: fencing number of the lease.
            sent_at: clock time before the request was sent.
            ttl: seconds granted.
        """
        self._fencing_number = number
        self._ends_at = sent_at + ttl - EXPIRY_MARGIN_SECONDS

    def end(self) -> None:
        """Gives the role up."""
        self._ends_at = float("-inf")

    def number(self, now: float) -> ids.FencingNumber | None:
        """Returns the fencing number while the role is held, else None."""
        return self._fencing_number if now < self._ends_at else None


def decode_holder(value: bytes) -> Holder:
    """Reads a stored holder.

    Raises:
        errors.MalformedMessageError: it is damaged.
    """
    return codec.decode_as(value, Holder)


async def read(store: kv.BaseKv) -> RoleState:
    """Reads the role.

    Raises:
        errors.PlatformError: the service gave no answer.
    """
    # A condition that never holds makes this one consistent reading.
    result = await store.txn(
        [kv.Compare(ROLE_KEY, ids.Revision(-1))],
        [],
        [kv.Get(ROLE_KEY), kv.Get(FENCING_NUMBER_KEY)],
    )
    (holder, number) = result.found
    return RoleState(
        # A restore may bring the key back without its lease.
        decode_holder(holder[0].value) if holder and holder[0].lease else None,
        holder[0].mod_revision if holder else kv.NEVER_WRITTEN,
        ids.FencingNumber(int(number[0].value) if number else 0),
        number[0].mod_revision if number else kv.NEVER_WRITTEN,
        result.revision,
    )


async def acquire(
    store: kv.BaseKv,
    role: RoleState,
    lease: ids.LeaseId,
    *,
    vm: ids.VmId,
    incarnation: ids.Incarnation,
    highest_known: ids.FencingNumber,
) -> Holder | None:
    """Takes the role if nobody holds it.

    The number rises in the same transaction, above the highest number known
    here, so that a service restored from a backup repeats none.

    Returns:
        This process as the holder; None when another was quicker, or when a
        lost answer leaves open who was.

    Raises:
        errors.KvUnavailableError: the service was not reached.
    """
    if role.holder is not None:
        return None
    number = ids.FencingNumber(max(role.number, highest_known) + 1)
    holder = Holder(vm, incarnation, number)
    try:
        result = await store.txn(
            [
                kv.Compare(ROLE_KEY, role.holder_revision),
                kv.Compare(FENCING_NUMBER_KEY, role.number_revision),
            ],
            [
                kv.Put(ROLE_KEY, codec.encode(holder), lease),
                kv.Put(FENCING_NUMBER_KEY, str(number).encode()),
            ],
        )
    except errors.KvAnswerLostError:
        return None
    return holder if result.succeeded else None
