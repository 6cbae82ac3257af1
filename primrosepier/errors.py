"""Exceptions raised by the package, and the description of a chain of them."""

from collections.abc import Iterator
from traceback import extract_tb

__all__ = [
    "BenchError",
    "CompactedError",
    "ConfigurationError",
    "LeaseNotFoundError",
    "MessageError",
    "PrimrosepierError",
    "RequestError",
    "SettingsError",
    "StoreError",
    "TraceError",
    "UnknownStateError",
    "WriterTakenError",
    "describe_errors",
]


class PrimrosepierError(Exception):
    """Base class of the package's exceptions."""


class BenchError(PrimrosepierError):
    """The options of a benchmark describe a case that it can't model."""


class SettingsError(PrimrosepierError):
    """A setting is unknown, missing or has a wrong value.

    Parameters
    ----------
    file, section, key : str
        Location of the setting.
    problem : str
        What is wrong with the setting.
    """

    def __init__(self, file: str, section: str, key: str, problem: str):
        self.file = file
        self.section = section
        self.key = key
        self.problem = problem
        super().__init__(f"{file}: [{section}] {key}: {problem}")


class ConfigurationError(SettingsError):
    """A configuration file of the operators is not valid."""


class CompactedError(PrimrosepierError):
    """The requested revision is older than the retained history."""


class LeaseNotFoundError(PrimrosepierError):
    """The lease expired, was revoked or never existed."""


class MessageError(PrimrosepierError):
    """Bytes received from a peer are not a valid message."""


class UnknownStateError(MessageError):
    """A registration can be read, but its state is none that gets calls."""


class StoreError(PrimrosepierError):
    """The key-value service gave no usable answer."""


class TraceError(PrimrosepierError):
    """A trace line is malformed."""


class WriterTakenError(PrimrosepierError):
    """A board section already has a writer."""


class RequestError(PrimrosepierError):
    """A caller's request was refused before routing.

    Parameters
    ----------
    status : int
        HTTP status code.
    code : str
        Value of ``error.code`` in the answer.
    message : str
        Error message for the caller.
    field : str
        Invalid field of the body, if any.
    retry_after_s : float
        Time after which the caller may retry, seconds; 0 when it should not.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        field: str = "",
        retry_after_s: float = 0.0,
    ):
        self.status = status
        self.code = code
        self.message = message
        self.field = field
        self.retry_after_s = retry_after_s
        super().__init__(message)


def _list_chain(error: BaseException) -> Iterator[BaseException]:
    """Yield an error, the members of a group, and what each was raised from."""
    yield error
    if isinstance(error, BaseExceptionGroup):
        for member in error.exceptions:
            yield from _list_chain(member)
    cause = error.__cause__
    if cause is None and not error.__suppress_context__:
        cause = error.__context__
    if cause is not None:
        yield from _list_chain(cause)


def describe_errors(error: BaseException) -> tuple[str, ...]:
    """Return each error of a chain once, with the place where it was raised."""
    texts = []
    for link in _list_chain(error):
        frames = extract_tb(link.__traceback__)
        place = f" at {frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        texts.append(f"{type(link).__name__}: {link}{place}")
    return tuple(dict.fromkeys(texts))
