"""What the holder of the weights' duty says of the replicas that load."""

import msgspec

from ..ids import EndpointId, FencingNumber
from ..revisions import STATE_PREFIX

__all__ = ["LOADING_RECORD_KEY", "LoadingRecord", "decode_loading_record"]

LOADING_RECORD_KEY = STATE_PREFIX + "weights-orders"


class LoadingRecord(msgspec.Struct, frozen=True):
    """A holder's word that it gives orders.

    Parameters
    ----------
    endpoints : list of EndpointId
        Replicas that load.
    load_s : float
        Time that a load takes, seconds.
    serial : int
        Rises with each change that the holder tells, in the store or by datagram.
    """

    fencing: FencingNumber
    endpoints: list[EndpointId]
    load_s: float
    serial: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """What a newer mark has more of."""
        return int(self.fencing), self.serial


def decode_loading_record(value: bytes) -> LoadingRecord | None:
    """Return the mark that a stored value holds, or None when it is not one."""
    try:
        return msgspec.json.decode(value, type=LoadingRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
