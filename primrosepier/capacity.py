"""Costs of each role at the design size, estimated from measured slopes."""

from dataclasses import dataclass

from .bench_scale import ScaleReport

__all__ = ["CapacityEstimate", "DesignSize", "CostEstimate"]

DAY_S = 86_400
KB = 1000
MB = 1_000_000


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Deployment size that the design is made for, with its cost budgets.

    Parameters
    ----------
    changes_per_day : int
        Changes of the configuration.
    failures_per_day, restarts_per_day : int
        Nodes that fail and that restart.
    claims_share : float
        Share of the requests that are not idempotent and need a claim.
    stream_s : float
        Duration of a stream in seconds.
    cpu_share, memory_bytes, bytes_per_s : float
        Budgets of the control plane on one node; CPU time as a share of one core.
    store_writes_per_s, store_reads_per_s, store_value_bytes : float
        Limits of the key-value service.
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
        """Requests per second at one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Tokens per second at one node."""
        return self.tokens_per_s / self.nodes

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / DAY_S


@dataclass(frozen=True, slots=True)
class CostEstimate:
    """One estimated cost at the design size.

    Parameters
    ----------
    item : str
        Activity or data that has the cost.
    slopes : tuple of str
        Names of the measured slopes from which the value is computed.
    mechanism : str
        Mechanism that causes the cost.
    """

    item: str
    value: float
    slopes: tuple[str, ...]
    mechanism: str


class CapacityEstimate:
    """Costs at the design size; each method states the unit of its costs."""

    def __init__(self, report: ScaleReport, size: DesignSize):
        self.slopes = report.slopes
        self.rules = report.rules
        self.size = size

    def predict(self, name: str, x: float) -> float:
        """Return the cost at size ``x`` by the named slope."""
        return self.slopes[name].predict(x)

    def get_unit_cost(self, name: str) -> float:
        """Return the cost of one additional unit by the named slope."""
        return max(0.0, self.slopes[name].slope)

    def compute_digests_per_s(self) -> float:
        """Return the digests per second that reach one node.

        Each node publishes digests under two names.
        """
        return 2 * self.size.nodes / self.rules.renewal_s

    def list_control_cpu(self) -> list[CostEstimate]:
        """Return the CPU time of the control plane on one node, as shares of a core."""
        size = self.size
        member_changes_per_s = (
            size.failures_per_day + 2 * size.restarts_per_day
        ) / DAY_S
        digests_per_s = self.compute_digests_per_s()
        choices_per_s = size.changes_per_s + member_changes_per_s
        decode_cpu = size.changes_per_s * self.predict(
            "configuration_cpu", size.workspaces
        )
        return [
            CostEstimate(
                "choice of the replicas whose load it reads",
                self.predict("poll_check_cpu", size.nodes)
                + choices_per_s * self.predict("poll_choice_cpu", size.nodes),
                ("poll_check_cpu", "poll_choice_cpu"),
                "a ring of routers; chosen anew when routers or configuration change",
            ),
            CostEstimate(
                "polls of replicas' load",
                self.rules.polls_per_s * self.get_unit_cost("poll_cpu"),
                ("poll_cpu",),
                f"about {self.rules.polls_per_s} polls a second over HTTP",
            ),
            CostEstimate(
                "one exchange a second, sent and answered",
                self.get_unit_cost("peer_call_cpu")
                + self.predict("membership_cpu", size.nodes),
                ("peer_call_cpu", "membership_cpu"),
                "gossip over grpclib with log2(n) neighbours",
            ),
            CostEstimate(
                "reports of load and usage of all nodes",
                digests_per_s * self.get_unit_cost("digest_cpu")
                + self.predict("shared_load_cpu", size.nodes),
                ("digest_cpu", "shared_load_cpu"),
                "digests, renewed so that all fit 600 bytes/s",
            ),
            CostEstimate(
                "members that fail and restart on an ordinary day",
                member_changes_per_s * self.get_unit_cost("member_change_cpu"),
                ("member_change_cpu",),
                "gossip",
            ),
            CostEstimate(
                "4,300 changes of configuration a day",
                decode_cpu,
                ("configuration_cpu",),
                "one watch; the configuration is decoded whole",
            ),
        ]

    def list_control_traffic(self) -> list[CostEstimate]:
        """Return the control-plane traffic of one node in bytes/s, both ways."""
        size = self.size
        idle_bytes = self.predict("membership_bytes", size.nodes)
        unlimited_bytes = (
            idle_bytes
            + self.compute_digests_per_s() * self.get_unit_cost("digest_bytes")
        )
        max_bytes = idle_bytes + 2 * self.rules.news_bytes
        change_bytes_per_s = size.changes_per_s * self.predict(
            "change_bytes", size.workspaces
        )
        return [
            CostEstimate(
                "polls of replicas' load, as short as a stand-in's answer",
                self.rules.polls_per_s * self.get_unit_cost("poll_bytes"),
                ("poll_bytes",),
                f"about {self.rules.polls_per_s} polls a second over HTTP",
            ),
            CostEstimate(
                "one exchange a second, sent and answered, with headers",
                self.get_unit_cost("peer_call_bytes"),
                ("peer_call_bytes",),
                "gossip over grpclib",
            ),
            CostEstimate(
                "reports of load and usage of all nodes",
                min(unlimited_bytes, max_bytes),
                ("membership_bytes", "digest_bytes"),
                f"at most {self.rules.news_bytes} bytes of news a message",
            ),
            CostEstimate(
                "4,300 changes of configuration a day",
                change_bytes_per_s,
                ("change_bytes",),
                "the watch brings the manifest and the changed chunks",
            ),
        ]

    def list_control_memory(self) -> list[CostEstimate]:
        """Return the memory of the control plane on one node in bytes."""
        size = self.size
        reuse = self.slopes["reuse_memory"]
        seen_blocks = max(point.x for point in reuse.points)
        return [
            CostEstimate(
                "table of members",
                self.predict("membership_memory", size.nodes),
                ("membership_memory",),
                "gossip",
            ),
            CostEstimate(
                "digests of load and usage",
                2 * self.predict("digest_memory", size.nodes),
                ("digest_memory",),
                "one value of each name and node",
            ),
            CostEstimate(
                "configuration",
                self.predict("configuration_memory", size.workspaces),
                ("configuration_memory",),
                "decoded once, shared by all requests",
            ),
            CostEstimate(
                "rings of 22 services",
                self.predict("ring_memory", size.replicas),
                ("ring_memory",),
                "32 points a replica, made anew after each change",
            ),
            CostEstimate(
                f"prefixes met, {seen_blocks:,.0f} blocks",
                self.predict("reuse_memory", seen_blocks),
                ("reuse_memory",),
                "tables of bounded size; 330 million blocks are never listed",
            ),
        ]

    def list_request_cpu(self) -> list[CostEstimate]:
        """Return the CPU time of requests and tokens on one node, in cores."""
        size = self.size
        rate = size.node_requests_per_s
        decision_cpu = self.predict("decision_cpu", size.replicas)
        admission_cpu = self.predict("admission_cpu", size.replicas)
        authentication_cpu = self.predict("authentication_cpu", size.workspaces)
        return [
            CostEstimate(
                "tokens, each in a part of its own",
                size.node_tokens_per_s * self.get_unit_cost("token_cpu"),
                ("token_cpu",),
                "relay of bytes with numbered events",
            ),
            CostEstimate(
                "requests, with logs and metrics",
                rate * self.get_unit_cost("request_cpu"),
                ("request_cpu",),
                "HTTP on both sides, prompt hashing, two JSON codings",
            ),
            CostEstimate(
                "choice of the endpoint among all replicas",
                rate * (decision_cpu + 2 * admission_cpu),
                ("decision_cpu", "admission_cpu"),
                "views of the endpoints that are looked at",
            ),
            CostEstimate(
                "finding the workspace of a key",
                rate * authentication_cpu,
                ("authentication_cpu",),
                "a search through all workspaces",
            ),
        ]

    def compute_stream_memory(self) -> float:
        """Return the memory of the open streams of one node in bytes."""
        streams = self.size.node_requests_per_s * self.size.stream_s
        return streams * self.get_unit_cost("stream_memory")

    def list_store_writes(self) -> list[CostEstimate]:
        """Return the writes per second on the key-value service."""
        size = self.size
        claims_per_s = size.requests_per_s * size.claims_share
        return [
            CostEstimate(
                "claims of 1% of the requests, begun and ended",
                claims_per_s * self.get_unit_cost("claim_writes_apart"),
                ("claim_writes_apart",),
                "a transaction for what one node queues within 25 ms",
            ),
            CostEstimate(
                "changes of configuration",
                size.changes_per_s * self.predict("change_writes", size.workspaces),
                ("change_writes",),
                "chunks, then the manifest by compare-and-swap",
            ),
            CostEstimate(
                "leases of the holders of 22 services",
                self.predict("duty_calls", size.models),
                ("duty_calls",),
                "one holder a service keeps its lease alive",
            ),
        ]

    def list_store_reads(self) -> list[CostEstimate]:
        """Return the reads per second on the key-value service."""
        size = self.size
        return [
            CostEstimate(
                "check of the manifest by each node",
                self.predict("mirror_reads", size.nodes),
                ("mirror_reads",),
                "one read in 15 s finds a watch that went silent",
            ),
            CostEstimate(
                "changes of configuration, read by the one who applies",
                size.changes_per_s * self.predict("change_reads", size.workspaces),
                ("change_reads",),
                "apply",
            ),
        ]
