"""Header names and store keys of the platform.

Every name is defined once, with a comment where it is misleading.
"""

__all__ = [
    "API_KEY",
    "BRITTLENESS",
    "CACHE_SCOPE",
    "CALL_ID",
    "CONFIGURATION_KEY",
    "DATE",
    "EXPECTED_ENDPOINT",
    "EXPECTED_WEIGHTS",
    "FETCH_FROM",
    "SAVE_TO",
    "ENDPOINT_ID",
    "ENDPOINT_LOAD",
    "ENDPOINT_PROOF",
    "HOP_BY_HOP_HEADERS",
    "LAST_EVENT",
    "LEAVING",
    "MODEL",
    "NOT_RUN",
    "OPERATORS_PREFIX",
    "RESERVED_HEADERS",
    "RESUMED_CALL",
    "PROMPT_PARTS",
    "RATE_LIMIT",
    "REMAINING_TIME",
    "REPLICAS_PREFIX",
    "RETRY_AFTER",
    "STORE_ERA",
    "TOKEN_COUNTS",
    "URGENCY",
    "WEIGHTS",
    "WEIGHTS_PREFIX",
    "WORKSPACE",
]

# Identifies one request of a caller, not one attempt of this router: retries here keep
# it, and a caller's own retry has a new one.
CALL_ID = b"attempt-id"
# The remaining time in milliseconds, not a point in time.
REMAINING_TIME = b"deadline-ms"
API_KEY = b"authorization"
MODEL = b"model"
# Lists all parts of the prompt as ID:TOKENS, not a hash of one prefix.
PROMPT_PARTS = b"prefix-hash"
# Length of the prompt and limit on the output, in tokens; nothing has been used yet.
TOKEN_COUNTS = b"token-usage"
LAST_EVENT = b"last-event-id"
# The id of the call that brought the first event of the stream that is resumed.
RESUMED_CALL = b"resumes"
RETRY_AFTER = b"retry-after"
DATE = b"date"

EXPECTED_ENDPOINT = b"expect-instance"
ENDPOINT_ID = b"instance-id"
ENDPOINT_LOAD = b"instance-load"
# Proves that a replica produced the response; a response without it is not relayed.
ENDPOINT_PROOF = b"server-stamp"
NOT_RUN = b"not-executed"
# Requests per second from all routers together.
RATE_LIMIT = b"server-limit"
# In all answers of a replica that is leaving, with the value 1.
LEAVING = b"server-leaving"
# Calls that a brittle replica may turn away within a second without falling over.
BRITTLENESS = b"server-brittle"
WEIGHTS = b"weight-versions"
# In all answers of the store; rises by 1 when it comes back from an older copy.
STORE_ERA = b"store-era"
# The id of a workspace.
WORKSPACE = b"tenant"
CACHE_SCOPE = b"cache-salt"
URGENCY = b"request-urgency"
# The version of a model's weights, not of the configuration.
EXPECTED_WEIGHTS = b"expect-version"
FETCH_FROM = b"kv-fetch"
SAVE_TO = b"kv-save"

# Headers that are removed from callers' requests: the API key, and those that only the
# router may set on requests to a replica.
RESERVED_HEADERS = frozenset(
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
# Hop-by-hop headers (RFC 9110, section 7.6.1), Expect, and the length, which is
# recomputed.
HOP_BY_HOP_HEADERS = frozenset(
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
# The version of a model's weights, not of the configuration.
WEIGHTS_PREFIX = "op/version/"
REPLICAS_PREFIX = "servers/"
