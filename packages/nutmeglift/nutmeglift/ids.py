"""Distinct types for identifiers."""

from typing import NewType

AccountId = NewType("AccountId", str)
AdapterId = NewType("AdapterId", str)
ApplyId = NewType("ApplyId", str)
Attempt = NewType("Attempt", int)
"""Number of a request's attempt, from 1; higher ones supersede lower ones."""
Digest = NewType("Digest", str)
"""Hexadecimal SHA-256."""
Era = NewType("Era", int)
"""Increases with every return of the key-value service from an older copy."""
FailureDomain = NewType("FailureDomain", str)
FencingNumber = NewType("FencingNumber", int)
"""Increases with every lease holder; 0 if no lease has been held yet."""
Generation = NewType("Generation", int)
"""Increases with every accepted configuration; 0 if there is none yet."""
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
"""Unique for every start of a process on the same VM."""
LeaseId = NewType("LeaseId", int)
ModelId = NewType("ModelId", str)
PipelineId = NewType("PipelineId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""Revision of the key-value service; see nutmeglift.eras."""
RouteId = NewType("RouteId", str)
SegmentId = NewType("SegmentId", str)
"""Identifies a part of a prompt, of which requests may share some."""
ServiceId = NewType("ServiceId", str)
VersionId = NewType("VersionId", str)
VmId = NewType("VmId", str)
