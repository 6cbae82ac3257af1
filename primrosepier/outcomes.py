"""Outcomes of a request, one type for each case."""

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
    """Step of a request that determined its outcome."""

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
        Prompt tokens that the endpoint served from its cache.
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
        Time after which the caller may retry, seconds.
    limited : bool
        Whether a limit of the caller's workspace was exceeded.
    """

    step: Step
    peer: str
    reason: str
    retry_after_s: float = 0.0
    limited: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """The endpoint answered with a final error."""

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
        Whether the connection was lost, which may mean that the peer crashed.
    """

    step: Step
    peer: str
    reason: str
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The answer started but ended without its end marker.

    Parameters
    ----------
    lost : bool
        Whether the connection was lost, which may mean that the peer crashed.
    resumable : bool
        Whether another endpoint may continue after the text already sent.
    """

    step: Step
    peer: str
    reason: str
    resumable: bool = False
    lost: bool = False


Outcome = Completed | NotRun | Refused | UnknownOutcome | Interrupted
