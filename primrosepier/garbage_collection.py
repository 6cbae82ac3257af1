"""Garbage collection in a process with many open streams."""

import gc

__all__ = ["tune_garbage_collection"]

GENERATION_0_THRESHOLD = 20_000
GENERATION_1_THRESHOLD = 20
GENERATION_2_THRESHOLD = 100


def tune_garbage_collection() -> None:
    """Collect rarely and exclude the objects that exist at startup.

    A full collection pauses the process while it traverses the objects of all open
    streams, most of which are freed by reference counting anyway.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
