"""Costs of each role at the size of the design, from measured slopes."""

from dataclasses import dataclass

from .bench_scale import ScaleReport

__all__ = ["CapacityEstimate", "DesignSize", "Figure"]

DAY_S = 86_400
KB = 1000
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class DesignSize:
    """The size that decides the design.

    Parameters
    ----------
    claims_share : float
        Share of the requests that must not be repeated.
    stream_s : float
        Length of a stream, seconds.
    """

    nodes: int = 940
    replicas: int = 3900
    requests_per_s: float = 44_000
    tokens_per_s: float = 15_000_000
    workspaces: int = 2800
    models: int = 22
    changes_per_day: int = 4300
    failures_per_day: int = 33
    restarts_per_day: int = 300
    domains: int = 17
    claims_share: float = 0.01
    stream_s: float = 24.0
    cpu_share: float = 0.026
    memory_bytes: float = 32 * MB
    bytes_per_s: float = 9 * KB
    store_writes_per_s: float = 300
    store_reads_per_s: float = 2000
    store_value_bytes: float = MB

    @property
    def node_requests_per_s(self) -> float:
        """Requests a second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Tokens a second of one node."""
        return self.tokens_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second."""
        return self.changes_per_day / DAY_S


@dataclass(frozen=True, slots=True)
class Figure:
    """One cost at the design size.

    Parameters
    ----------
    slopes : tuple of str
        What it was worked out from.
    mechanism : str
        What carries it.
    """

    matter: str
    value: float
    slopes: tuple[str, ...]
    mechanism: str


class CapacityEstimate:
    """Costs at the design size, in one unit for each method."""

    def __init__(self, report: ScaleReport, size: DesignSize):
        self.slopes = report.slopes
        self.rules = report.rules
        self.size = size

    def at(self, name: str, x: float) -> float:
        """Return a cost at a size."""
        return self.slopes[name].predict(x)

    def each(self, name: str) -> float:
        """Return what one more of something costs."""
        return max(0.0, self.slopes[name].slope)

    def count_digests(self) -> float:
        """Return the digests a second that reach a node: two names of each node."""
        return 2 * self.size.nodes / self.rules.renewal_s

    def list_cpu(self) -> list[Figure]:
        """Return shares of a core that control takes on one node."""
        size = self.size
        member_changes = (size.failures_per_day + 2 * size.restarts_per_day) / DAY_S
        digests = self.count_digests()
        new_choices = size.changes_per_s + member_changes
        reads = size.changes_per_s * self.at("configuration_cpu", size.workspaces)
        return [
            Figure(
                "choice of the replicas whose load it reads",
                self.at("poll_check_cpu", size.nodes)
                + new_choices * self.at("poll_choice_cpu", size.nodes),
                ("poll_check_cpu", "poll_choice_cpu"),
                "a ring of routers; chosen anew when routers or configuration change",
            ),
            Figure(
                "polls of replicas' load",
                self.rules.polls_per_s * self.each("poll_cpu"),
                ("poll_cpu",),
                f"about {self.rules.polls_per_s} polls a second over HTTP",
            ),
            Figure(
                "one exchange a second, sent and answered",
                self.each("peer_call_cpu") + self.at("membership_cpu", size.nodes),
                ("peer_call_cpu", "membership_cpu"),
                "gossip over grpclib with log2(n) neighbours",
            ),
            Figure(
                "reports of load and usage of all nodes",
                digests * self.each("digest_cpu")
                + self.at("shared_load_cpu", size.nodes),
                ("digest_cpu", "shared_load_cpu"),
                "digests, renewed so that all fit 600 bytes/s",
            ),
            Figure(
                "members that fail and restart on an ordinary day",
                member_changes * self.each("member_change_cpu"),
                ("member_change_cpu",),
                "gossip",
            ),
            Figure(
                "4,300 changes of configuration a day",
                reads,
                ("configuration_cpu",),
                "one watch; the configuration is decoded whole",
            ),
        ]

    def list_bytes(self) -> list[Figure]:
        """Return bytes a second of control on one node, both directions."""
        size = self.size
        quiet = self.at("membership_bytes", size.nodes)
        wanted = quiet + self.count_digests() * self.each("digest_bytes")
        bound = quiet + 2 * self.rules.news_bytes
        changes = size.changes_per_s * self.at("change_bytes", size.workspaces)
        return [
            Figure(
                "polls of replicas' load, as short as a stand-in's answer",
                self.rules.polls_per_s * self.each("poll_bytes"),
                ("poll_bytes",),
                f"about {self.rules.polls_per_s} polls a second over HTTP",
            ),
            Figure(
                "one exchange a second, sent and answered, with headers",
                self.each("peer_call_bytes"),
                ("peer_call_bytes",),
                "gossip over grpclib",
            ),
            Figure(
                "reports of load and usage of all nodes",
                min(wanted, bound),
                ("membership_bytes", "digest_bytes"),
                f"at most {self.rules.news_bytes} bytes of news a message",
            ),
            Figure(
                "4,300 changes of configuration a day",
                changes,
                ("change_bytes",),
                "the watch brings the manifest and the changed chunks",
            ),
        ]

    def list_memory(self) -> list[Figure]:
        """Return bytes that control holds on one node."""
        size = self.size
        reuse = self.slopes["reuse_memory"]
        met = max(point.x for point in reuse.points)
        return [
            Figure(
                "table of members",
                self.at("membership_memory", size.nodes),
                ("membership_memory",),
                "gossip",
            ),
            Figure(
                "digests of load and usage",
                2 * self.at("digest_memory", size.nodes),
                ("digest_memory",),
                "one value of each name and node",
            ),
            Figure(
                "configuration",
                self.at("configuration_memory", size.workspaces),
                ("configuration_memory",),
                "decoded once, shared by all requests",
            ),
            Figure(
                "rings of 22 services",
                self.at("ring_memory", size.replicas),
                ("ring_memory",),
                "32 points a replica, made anew after each change",
            ),
            Figure(
                f"prefixes met, {met:,.0f} blocks",
                self.at("reuse_memory", met),
                ("reuse_memory",),
                "tables of bounded size; 330 million blocks are never listed",
            ),
        ]

    def list_request_path(self) -> list[Figure]:
        """Return cores that requests and tokens take on one node."""
        size = self.size
        rate = size.node_requests_per_s
        decisions = self.at("decision_cpu", size.replicas)
        admission = self.at("admission_cpu", size.replicas)
        keys = self.at("authentication_cpu", size.workspaces)
        return [
            Figure(
                "tokens, each in a part of its own",
                size.node_tokens_per_s * self.each("token_cpu"),
                ("token_cpu",),
                "relay of bytes with numbered events",
            ),
            Figure(
                "requests, with logs and metrics",
                rate * self.each("request_cpu"),
                ("request_cpu",),
                "HTTP on both sides, prompt hashing, two JSON codings",
            ),
            Figure(
                "choice of the endpoint among all replicas",
                rate * (decisions + 2 * admission),
                ("decision_cpu", "admission_cpu"),
                "views of the endpoints that are looked at",
            ),
            Figure(
                "finding the workspace of a key",
                rate * keys,
                ("authentication_cpu",),
                "a search through all workspaces",
            ),
        ]

    def compute_stream_memory(self) -> float:
        """Return bytes that the open streams of one node hold."""
        streams = self.size.node_requests_per_s * self.size.stream_s
        return streams * self.each("stream_memory")

    def list_store_writes(self) -> list[Figure]:
        """Return writes a second on the key-value service."""
        size = self.size
        claims = size.requests_per_s * size.claims_share
        return [
            Figure(
                "claims of 1% of the requests, begun and ended",
                claims * self.each("claim_writes_apart"),
                ("claim_writes_apart",),
                "a transaction for what one node queues within 25 ms",
            ),
            Figure(
                "changes of configuration",
                size.changes_per_s * self.at("change_writes", size.workspaces),
                ("change_writes",),
                "chunks, then the manifest by compare-and-swap",
            ),
            Figure(
                "leases of the holders of 22 services",
                self.at("duty_calls", size.models),
                ("duty_calls",),
                "one holder a service keeps its lease alive",
            ),
        ]

    def list_store_reads(self) -> list[Figure]:
        """Return reads a second on the key-value service."""
        size = self.size
        return [
            Figure(
                "check of the manifest by each node",
                self.at("mirror_reads", size.nodes),
                ("mirror_reads",),
                "one read in 15 s finds a watch that went silent",
            ),
            Figure(
                "changes of configuration, read by the one who applies",
                size.changes_per_s * self.at("change_reads", size.workspaces),
                ("change_reads",),
                "apply",
            ),
        ]
