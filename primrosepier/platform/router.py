"""Connects the entry router to the platform's adapters."""

from ..endpoint_client import make_endpoint_client
from ..forwarding.entry import read_boot_clock
from ..forwarding.entry_platform import EntryPlatform
from ..forwarding.freshness import compute_batching_delay_s, compute_watch_timeout_s
from ..forwarding.settings import EntrySettings
from ..forwarding.store_view import StoreLayout
from . import names
from .declarations import decode_declaration, decode_weights
from .ingress import PlatformRequestReader
from .orders import PlatformOrders
from .replicas import PlatformDialect, decode_replica
from .store import make_platform_store

__all__ = ["make_entry_platform"]

LAYOUT = StoreLayout(
    declaration_key=names.CONFIGURATION_KEY,
    weights_prefix=names.WEIGHTS_PREFIX,
    replicas_prefix=names.REPLICAS_PREFIX,
    decode_declaration=decode_declaration,
    decode_weights=decode_weights,
    decode_replica=decode_replica,
)


def make_entry_platform(settings: EntrySettings) -> EntryPlatform:
    """Return the platform's adapters for a router."""
    client = make_endpoint_client(settings.max_fds)
    batching_delay_s = compute_batching_delay_s(settings.apply_s, settings.drain_s)
    watch_timeout_s = compute_watch_timeout_s(settings.revoke_s, batching_delay_s)
    return EntryPlatform(
        store=make_platform_store(
            settings.store_address, read_boot_clock, watch_timeout_s
        ),
        client=client,
        dialect=PlatformDialect(),
        reader=PlatformRequestReader(),
        layout=LAYOUT,
        weights_client=PlatformOrders(client),
        watched_prefix="",
    )
