"""Graceful shutdown of a router process."""

import signal

import anyio

from .router import Router, open_router
from .settings import RouterSettings

__all__ = ["drain_router", "run_router"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def drain_router(router: Router) -> None:
    """Report the router as not ready, then wait ``stop_wait_s``.

    Requests in progress continue. Leaving the router's context afterwards stops
    listening and waits for them.
    """
    router.app.stopping = True
    await anyio.sleep(router.settings.stop_wait_s)


async def run_router(settings: RouterSettings) -> None:
    """Run a router until a stop signal arrives; later signals are ignored."""
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async with open_router(settings) as router:
            async for _ in signals:
                break
            await drain_router(router)
