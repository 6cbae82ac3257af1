"""Garbage collection of a process that holds many open streams."""

import gc

__all__ = ["tune_collector"]

YOUNG_OBJECTS = 20_000
MIDDLE_RUNS = 20
OLD_RUNS = 100


def tune_collector() -> None:
    """Collect rarely, and never look at what was loaded at the start.

    A full collection stops the process for as long as it takes to look at all
    objects of all open streams; most are freed by their reference counts anyway.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, MIDDLE_RUNS, OLD_RUNS)
