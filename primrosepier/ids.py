"""Identifier types shared by all modules."""

import secrets
from typing import NewType

__all__ = [
    "AdapterId",
    "AttemptId",
    "BlockHash",
    "EndpointId",
    "FailureDomain",
    "FencingNumber",
    "Fingerprint",
    "HostId",
    "Incarnation",
    "ModelId",
    "RequestId",
    "Revision",
    "ServiceId",
    "SoftwareVersion",
    "WeightsVersion",
    "WorkspaceId",
    "make_attempt_id",
    "make_request_id",
]

AdapterId = NewType("AdapterId", str)
AttemptId = NewType("AttemptId", str)
BlockHash = NewType("BlockHash", int)
EndpointId = NewType("EndpointId", str)
FailureDomain = NewType("FailureDomain", str)
FencingNumber = NewType("FencingNumber", int)
Fingerprint = NewType("Fingerprint", int)
HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", str)
ModelId = NewType("ModelId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceId = NewType("ServiceId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
WeightsVersion = NewType("WeightsVersion", str)
WorkspaceId = NewType("WorkspaceId", str)

ID_BYTES = 12


def make_request_id() -> RequestId:
    """Return a new unguessable request id."""
    return RequestId("req-" + secrets.token_hex(ID_BYTES))


def make_attempt_id() -> AttemptId:
    """Return a new unguessable attempt id."""
    return AttemptId("att-" + secrets.token_hex(ID_BYTES))
