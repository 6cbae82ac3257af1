"""Record of loading replicas, written by the holder of the weights duty."""

import msgspec

from ..decoding import decode_json
from ..errors import MessageError
from ..ids import EndpointId, FencingNumber
from ..revisions import STATE_PREFIX

__all__ = ["LOADING_RECORD_KEY", "LoadingRecord", "decode_loading_record"]

LOADING_RECORD_KEY = STATE_PREFIX + "weights-orders"


class LoadingRecord(msgspec.Struct, frozen=True):
    """Replicas that load weights on the orders of the holder of the weights duty.

    Parameters
    ----------
    fencing : FencingNumber
        Fencing number of the holder.
    endpoints : list of EndpointId
        Replicas that are loading weights or are about to be ordered to.
    load_s : float
        Expected time in which a replica loads weights, seconds.
    serial : int
        Increases with each change that the holder publishes, in the store or by
        datagram.
    """

    fencing: FencingNumber
    endpoints: list[EndpointId]
    load_s: float
    serial: int = 0

    @property
    def sort_key(self) -> tuple[int, int]:
        """Fencing number and serial; a newer record has a greater key."""
        return int(self.fencing), self.serial


def decode_loading_record(value: bytes) -> LoadingRecord | None:
    """Return the record in a stored value, or None if the value is malformed."""
    try:
        return decode_json(value, LoadingRecord)
    except MessageError:
        return None
