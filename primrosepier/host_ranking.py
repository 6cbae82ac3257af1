"""Ranking of routers by which all of them find the same few for a name."""

import hashlib
from collections.abc import Iterable

from .ids import HostId

__all__ = ["rank_hosts"]


def rank_hosts(name: str, hosts: Iterable[HostId]) -> list[HostId]:
    """Return the hosts in the order of their scores for a name (rendezvous hashing)."""

    def compute_score(host: HostId) -> bytes:
        return hashlib.blake2b(f"{name}/{host}".encode(), digest_size=8).digest()

    return sorted(hosts, key=compute_score)
