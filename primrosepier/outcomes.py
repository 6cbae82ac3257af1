"""Tagged outcomes of steps that can fail."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Completed",
    "Interrupted",
    "NotRun",
    "Outcome",
    "Refused",
    "Step",
    "UnknownOutcome",
]


class Step(Enum):
    """Step of a request at which an outcome arose."""

    ADMIT = "admit"
    QUEUE = "queue"
    PLACE = "place"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    HEADERS = "headers"
    RELAY = "relay"


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was relayed.

    Parameters
    ----------
    step : Step
    peer : str
        Endpoint that answered.
    cached_tokens : int
        Prompt tokens that the endpoint read from its cache.
    """

    step: Step
    peer: str
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached an endpoint, or it refused before running.

    Parameters
    ----------
    step : Step
    peer : str
    reason : str
    retry_after_s : float
        When the caller may come back, seconds; 0 when it should not.
    limited : bool
        A limit of the caller's workspace is the reason.
    """

    step: Step
    peer: str
    reason: str
    retry_after_s: float = 0.0
    limited: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint answered with a final error of its own."""

    step: Step
    peer: str
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The request may have run.

    Parameters
    ----------
    lost : bool
        The connection broke, as it does when the peer crashes.
    """

    step: Step
    peer: str
    reason: str
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The answer began and ended without its end marker.

    Parameters
    ----------
    lost : bool
        The connection broke, as it does when the peer crashes.
    resumable : bool
        Another endpoint may go on after what the caller has got.
    """

    step: Step
    peer: str
    reason: str
    resumable: bool = False
    lost: bool = False


Outcome = Completed | NotRun | Refused | UnknownOutcome | Interrupted
