"""What a router keeps of replicas and routers, by those that are registered."""

from .forwarder import Forwarder
from .peers import PeerDirectory
from .store_view import StoreView

__all__ = ["record_hosts", "retain_leaving", "retain_registered"]


def record_hosts(forwarder: Forwarder, directory: PeerDirectory) -> None:
    """Tell the parts that ask other routers which ones there are."""
    hosts = directory.list_hosts()
    forwarder.notices.permits.record_hosts(hosts)
    forwarder.origins.record_hosts(hosts)
    forwarder.links.record_hosts(hosts)


def retain_leaving(forwarder: Forwarder, store_view: StoreView) -> None:
    """Forget leaving replicas, and room at replicas, that are no longer registered."""
    registered = store_view.fleet.list_registered()
    forwarder.notices.leaving.retain(registered, forwarder.clock())
    forwarder.permitted.room.retain({replica.id for replica in registered})


def retain_registered(forwarder: Forwarder, store_view: StoreView) -> None:
    """Forget the replicas that accept no new calls, and the leaving ones."""
    now_s, notices = forwarder.clock(), forwarder.notices
    replica_lists = store_view.replicas.value.by_service.values()
    registered = {replica.id for replicas in replica_lists for replica in replicas}
    forwarder.loads.retain(registered)
    forwarder.loads.drop_expired(now_s)
    forwarder.forecasts.retain(registered)
    notices.permits.limits.retain(registered)
    notices.rests.retain(registered, now_s)
    retain_leaving(forwarder, store_view)
    notices.permits.windows.retain(registered, now_s)
    forwarder.links.monitor.retain(registered)
    if forwarder.software_checks is not None:
        forwarder.software_checks.retain(registered)
