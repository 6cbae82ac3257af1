"""Background tasks that begin anew after an error that nobody foresaw."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

__all__ = ["RESTART_PAUSE_S", "RunTask", "StartTask", "run_supervised"]

# Pause before a failed task begins anew, seconds, so that a lasting error costs little.
RESTART_PAUSE_S = 1.0

RunTask = Callable[[], Coroutine[Any, Any, None]]
StartTask = Callable[[RunTask], object]


async def run_supervised(
    run: RunTask, notify_failure: Callable[[Exception], None]
) -> None:
    """Run a background task to its end, and begin anew after each error.

    A task that fails must not end the process with all calls in progress.

    Parameters
    ----------
    notify_failure : callable
        Called with each error.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            notify_failure(error)
        await anyio.sleep(RESTART_PAUSE_S)
