"""The placement command."""

from urllib.parse import urlencode

import httpcore
import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type as OutputType

from .decoding import decode_json
from .errors import MessageError
from .forwarding.placement.report import PLACEMENT_PATH, PlacementReport
from .forwarding.placement.text import describe_report

__all__ = ["PlacementCommand"]

# Options that have the name of a field of the query, but for the dashes.
FIELDS = ("host", "workspace", "model", "prompt", "tokens", "deadline-ms", "service")
TIMEOUT_S = 5.0
TIMEOUTS = {"connect": TIMEOUT_S, "read": TIMEOUT_S, "write": TIMEOUT_S}
MAX_TEXT = 500
HTTP_OK = 200
HTTP_BUSY = 429


def _read_report(address: str, query: str) -> PlacementReport:
    """Ask a router for a report.

    Raises
    ------
    MessageError
        It does not answer with a report.
    """
    url = f"http://{address}{PLACEMENT_PATH}?{query}"
    try:
        response = httpcore.request("GET", url, extensions={"timeout": TIMEOUTS})
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as cause:
        raise MessageError(f"{address} does not answer: {cause!r}") from cause
    if response.status == HTTP_BUSY:
        raise MessageError(f"{address} has just made a report; ask again")
    if response.status != HTTP_OK:
        text = response.content.decode("utf-8", "replace")[:MAX_TEXT].strip()
        raise MessageError(f"{address} answers {response.status}: {text}")
    return decode_json(response.content, PlacementReport)


class PlacementCommand(Command):
    """Tell where a router would send a call now, and why."""

    name = "placement"
    description = "Tell where a router would send a call now, and why."
    arguments = [
        argument("address", "Metrics address of the router, IP:PORT."),
        argument("method", "Method of the call."),
        argument("path", "Path of the call."),
    ]
    options = [
        option("host", None, "Host name of the call.", flag=False),
        option("workspace", None, "Name of the workspace.", flag=False),
        option("model", None, "Model that the call asks for.", flag=False),
        option("prompt", None, "Parts of the prompt, ID:TOKENS,...", flag=False),
        option("tokens", None, "Prompt and output limit in tokens.", flag=False),
        option("deadline-ms", None, "Time-out of the caller, ms.", flag=False),
        option("service", None, "Service of the route to report on.", flag=False),
        option(
            "header",
            None,
            "Header of the call, NAME: VALUE.",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        fields = [(name, self.argument(name)) for name in ("method", "path")]
        for name in FIELDS:
            value = self.option(name)
            if value is not None:
                fields.append((name.replace("-", "_"), value))
        fields += [("header", line) for line in self.option("header")]
        try:
            report = _read_report(self.argument("address"), urlencode(fields))
        except MessageError as error:
            self.line_error(str(error))
            return 1
        lines = [msgspec.json.encode(report).decode()]
        if not self.option("json"):
            lines = list(describe_report(report))
        for line in lines:
            self.io.output.write_line(line, type=OutputType.RAW)
        return 0
