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
        HTTP status code, 400 to 499.
    code : str
        Value of ``error.code`` in the answer.
    message : str
        One sentence for the caller.
    """

    def __init__(self, status: int, code: str, message: str):
        self.status = status
        self.code = code
        self.message = message
        super().__init__(message)
