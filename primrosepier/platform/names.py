"""How the platform spells headers, paths and keys.

Each name stands here once, with a comment where it misleads.
"""

__all__ = [
    "API_KEY",
    "CACHE_SCOPE",
    "CALL_ID",
    "CONFIGURATION_KEY",
    "EXPECTED_ENDPOINT",
    "EXPECTED_WEIGHTS",
    "FETCH_FROM",
    "SAVE_TO",
    "ENDPOINT_ID",
    "ENDPOINT_LOAD",
    "ENDPOINT_PROOF",
    "HOP_HEADERS",
    "LAST_EVENT",
    "MODEL",
    "NOT_RUN",
    "OPERATORS_PREFIX",
    "OWN_HEADERS",
    "PROMPT_PARTS",
    "REMAINING_TIME",
    "REPLICAS_PREFIX",
    "RETRY_AFTER",
    "URGENCY",
    "WEIGHTS",
    "WEIGHTS_PREFIX",
    "WORKSPACE",
]

# One id for each send of a caller; a caller's own retry has another one.
CALL_ID = b"attempt-id"
REMAINING_TIME = b"deadline-ms"
API_KEY = b"authorization"
MODEL = b"model"
PROMPT_PARTS = b"prefix-hash"
LAST_EVENT = b"last-event-id"
RETRY_AFTER = b"retry-after"

EXPECTED_ENDPOINT = b"expect-instance"
ENDPOINT_ID = b"instance-id"
ENDPOINT_LOAD = b"instance-load"
# Proves that a replica made the answer; a success without it counts for nothing.
ENDPOINT_PROOF = b"server-stamp"
NOT_RUN = b"not-executed"
WEIGHTS = b"weight-versions"
WORKSPACE = b"tenant"
CACHE_SCOPE = b"cache-salt"
URGENCY = b"request-urgency"
# The number of the weights, not of the configuration.
EXPECTED_WEIGHTS = b"expect-version"
FETCH_FROM = b"kv-fetch"
SAVE_TO = b"kv-save"

# Headers that only this system may set on the way to a replica.
OWN_HEADERS = frozenset(
    {
        API_KEY,
        CACHE_SCOPE,
        EXPECTED_ENDPOINT,
        LAST_EVENT,
        REMAINING_TIME,
        URGENCY,
        WORKSPACE,
        EXPECTED_WEIGHTS,
        FETCH_FROM,
        SAVE_TO,
        b"hold",
        b"kv-backup",
        b"kv-from",
        b"pin-ms",
    }
)
# Headers that concern one connection (RFC 9110, section 7.6.1), and the length,
# which is written anew.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

OPERATORS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
# The number of a model's weights, not of the configuration.
WEIGHTS_PREFIX = "op/version/"
REPLICAS_PREFIX = "servers/"
