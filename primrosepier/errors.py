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
    """A bench was asked for something that it can't model."""


class SettingsError(PrimrosepierError):
    """A setting is unknown, missing or has a wrong value.

    Parameters
    ----------
    file, section, key : str
        Where the setting stands.
    allowed : str
        What is allowed there.
    """

    def __init__(self, file: str, section: str, key: str, allowed: str):
        self.file = file
        self.section = section
        self.key = key
        self.allowed = allowed
        super().__init__(f"{file}: [{section}] {key}: {allowed}")


class ConfigurationError(SettingsError):
    """An operators' file is not valid."""


class CompactedError(PrimrosepierError):
    """The revision asked for is older than the history that is kept."""


class LeaseNotFoundError(PrimrosepierError):
    """The lease lapsed, was revoked or never was."""


class MessageError(PrimrosepierError):
    """Bytes from a peer are not a message that may be used."""


class StoreError(PrimrosepierError):
    """The key-value service gave no usable answer."""


class TraceError(PrimrosepierError):
    """A trace line is malformed."""


class WriterTakenError(PrimrosepierError):
    """A second writer asked for a board section."""


class RequestError(PrimrosepierError):
    """A caller's request is refused before it is routed.

    Parameters
    ----------
    status : int
        HTTP status code.
    code : str
        Value of ``error.code`` in the answer.
    message : str
        One sentence for the caller.
    field : str
        Field of the body that is wrong, if one is.
    retry_after_s : float
        When the caller may come back, seconds; 0 when it should not.
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
