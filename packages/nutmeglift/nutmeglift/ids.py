"""Identifiers, one distinct type for each kind of thing."""

from typing import NewType

AccountId = NewType("AccountId", str)
AdapterId = NewType("AdapterId", str)
ApplyId = NewType("ApplyId", str)
Attempt = NewType("Attempt", int)
"""Number of a request's attempt, from 1; a higher one replaces a lower."""
Digest = NewType("Digest", str)
"""Hexadecimal SHA-256."""
FailureDomain = NewType("FailureDomain", str)
FencingNumber = NewType("FencingNumber", int)
"""Rises with every lease holder; 0 means that no lease was ever held."""
Generation = NewType("Generation", int)
"""Rises with every accepted configuration; 0 means none yet."""
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
"""Differs for every start of a process on the same VM."""
LeaseId = NewType("LeaseId", int)
ModelId = NewType("ModelId", str)
PipelineId = NewType("PipelineId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""Revision of the key-value service."""
RouteId = NewType("RouteId", str)
ServiceId = NewType("ServiceId", str)
VersionId = NewType("VersionId", str)
VmId = NewType("VmId", str)
