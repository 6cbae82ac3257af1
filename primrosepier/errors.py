"""Exceptions raised by the package."""

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
    "WriterTakenError",
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
