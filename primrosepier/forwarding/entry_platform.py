"""Adapters that a router needs from its platform."""

from dataclasses import dataclass

from ..clocks import Clock
from ..endpoint_client import EndpointClient
from ..store import Store
from .calls import EndpointDialect
from .entry import RequestReader, read_boot_clock
from .store_view import StoreLayout
from .weights import WeightsClient

__all__ = ["EntryPlatform"]


@dataclass(frozen=True, slots=True)
class EntryPlatform:
    """Adapters to everything outside a router's process.

    Parameters
    ----------
    store : Store
    client : EndpointClient
    dialect : EndpointDialect
    reader : RequestReader
    layout : StoreLayout
    weights_client : WeightsClient
    watched_prefix : str
        Prefix of the store keys that the router mirrors.
    clock : Clock
    """

    store: Store
    client: EndpointClient
    dialect: EndpointDialect
    reader: RequestReader
    layout: StoreLayout
    weights_client: WeightsClient
    watched_prefix: str
    clock: Clock = read_boot_clock
