"""The planner's role, held under a lease with a fencing number."""

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
    """The process that holds the role.

    Attributes:
        vm: the process's VM.
        incarnation: the process's incarnation.
        fencing_number: fencing number of its lease.
    """

    vm: ids.VmId
    incarnation: ids.Incarnation
    fencing_number: ids.FencingNumber


@dataclasses.dataclass(frozen=True)
class RoleState:
    """State of the role as read from the key-value service.

    Attributes:
        holder: current holder, or None.
        holder_revision: revision of the last write of the holder's key.
        number: highest fencing number that was ever written.
        number_revision: revision of the last write of the number's key.
        read_revision: revision of the service at the time of the read.
    """

    holder: Holder | None
    holder_revision: ids.Revision
    number: ids.FencingNumber
    number_revision: ids.Revision
    read_revision: ids.Revision


class LocalLease:
    """Local view of the lease, based on this process's clock alone.

    A process that was paused may resume after its lease has expired. The
    lease therefore counts from before the renewal was sent, and ends
    EXPIRY_MARGIN_SECONDS early.
    """

    def __init__(self) -> None:
        self._fencing_number = ids.FencingNumber(0)
        self._ends_at = float("-inf")

    def extend(
        self, number: ids.FencingNumber, sent_at: float, ttl: float
    ) -> None:
        """Records that the lease was granted or renewed.

        Args:
            number: fencing number of the lease.
            sent_at: clock time in seconds, read before the request was sent.
            ttl: granted time to live in seconds.
        """
        self._fencing_number = number
        self._ends_at = sent_at + ttl - EXPIRY_MARGIN_SECONDS

    def end(self) -> None:
        """Ends the lease locally."""
        self._ends_at = float("-inf")

    def number(self, now: float) -> ids.FencingNumber | None:
        """Returns the fencing number while the lease is valid, else None."""
        return self._fencing_number if now < self._ends_at else None


def decode_holder(value: bytes) -> Holder:
    """Decodes a stored holder.

    Raises:
        errors.MalformedMessageError: the value is damaged.
    """
    return codec.decode_as(value, Holder)


async def read(store: kv.BaseKv) -> RoleState:
    """Reads the state of the role.

    Raises:
        errors.PlatformError: the service did not respond.
    """
    # The condition never holds, so that the failure branch reads both keys at
    # one revision.
    result = await store.txn(
        [kv.Compare(ROLE_KEY, ids.Revision(-1))],
        [],
        [kv.Get(ROLE_KEY), kv.Get(FENCING_NUMBER_KEY)],
    )
    (holder, number) = result.found
    return RoleState(
        # A restore from a backup may recreate the key without its lease.
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
    """Acquires the role if no process holds it.

    The same transaction raises the fencing number above the highest number
    known to this process, so that no number repeats after the service was
    restored from a backup.

    Args:
        store: the service.
        role: state of the role as last read.
        lease: lease to which the holder's key is attached.
        vm: VM of this process.
        incarnation: incarnation of this process.
        highest_known: highest fencing number known to this process.

    Returns:
        This process as the holder; None when another process acquired the
        role first, or when the response was lost and the outcome is unknown.

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
