"""Revisions that rise over the eras of a key-value service.

A service that comes back from an older copy has lost its last writes, and
assigns their revisions again to others. Each return begins an era. A revision
holds the era in its upper bits, and the service's own number in the lower ones,
so that it is greater than all revisions of earlier eras. A service that never
comes back from a copy has the era 0, and revisions that are its own numbers.
"""

from nutmeglift import decoding
from nutmeglift import ids

NUMBER_BITS = 40
MAX_NUMBER: int = 2**NUMBER_BITS - 1
MAX_ERA = decoding.MAX_INTEGER >> NUMBER_BITS
"""The greatest era whose revisions all formats agree on."""
NO_ERA = ids.Era(0)


def combine(era: ids.Era, number: int) -> ids.Revision:
    """Returns the revision of a number that a service assigned in an era.

    Raises:
        ValueError: the era or the number is out of range.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"revision {number} of era {era} is out of range")
    return ids.Revision(era << NUMBER_BITS | number)


def era_of(revision: ids.Revision) -> ids.Era:
    """Returns the era in which a revision was assigned."""
    return ids.Era(int(revision) >> NUMBER_BITS)


def number_of(revision: ids.Revision) -> int:
    """Returns a revision as the service itself knows it."""
    return int(revision) & MAX_NUMBER
