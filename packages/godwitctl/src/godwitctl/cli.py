"""Defines the commands of godwitctl: parses arguments, calls the API and prints the result.

Exit codes: 0 success, 3 invalid input, 4 conflict, 5 not found, 6 not authorised, 7 the store does
not answer, 8 unknown whether a write took effect, 9 no answer in time, 1 anything else.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal
from urllib.parse import quote

import cappa
from godwitway.errors import ErrorKind, Problem
from godwitway.steering import SettingsError, read_steering_settings

from godwitctl._client import ApiClient
from godwitctl._commands import ApiResult, apply_file, set_target_state, wait_in_force
from godwitctl._explain import read_log_lines, select_related_lines
from godwitctl._figures import plot_scores, read_scores
from godwitctl._output import exit_with_problems, print_value

__all__ = ["Godwitctl", "main"]

DEFAULT_API = "127.0.0.1:4003"
SERVICE_COLUMNS = ["name", "version", "address", "kinds", "targets", "draining"]
CANDIDATE_COLUMNS = [
    "target",
    "zone",
    "place",
    "cost",
    "busy",
    "idle",
    "slots",
    "speed",
    "room",
    "penalty",
    "suspected",
    "cold_budget",
    "excluded",
]
HOST_COLUMNS = ["name", "zone", "state", "revision", "lag", "api"]


@dataclass
class Common:
    """Options of all commands that call the API.

    Attributes:
        api: The host and port of a host's API.
        token: The bearer token, or an empty string for none.
        authority: The path of the CA certificate to trust, or an empty string for plain HTTP.
        output: The format of the result; some commands print JSON for either value.
    """

    api: Annotated[
        str, cappa.Arg(long=True, default=cappa.Env("GODWITWAY_API", default=DEFAULT_API))
    ]
    token: Annotated[str, cappa.Arg(long=True, default=cappa.Env("GODWITWAY_TOKEN", default=""))]
    authority: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("GODWITWAY_AUTHORITY", default=""),
            help="The path of the CA certificate to trust; enables TLS.",
        ),
    ]
    output: Annotated[Literal["table", "json"], cappa.Arg(long=True)] = "table"


def call_api(common: Common, make_calls: Callable[[ApiClient], Awaitable[ApiResult]]) -> Any:
    """Open a client, make calls of the API with it and return their value.

    Raises:
        cappa.Exit: The calls failed; the problems have been printed.
    """

    async def connect_and_call() -> ApiResult:
        async with ApiClient(common.api, common.token, common.authority) as client:
            return await make_calls(client)

    result = asyncio.run(connect_and_call())
    if result.is_err():
        exit_with_problems(result.unwrap_err())
    return result.unwrap()


def service_row(resource: dict[str, Any]) -> dict[str, Any]:
    """Return the row of a service in the table of `get`; the keys are `SERVICE_COLUMNS`."""
    service = resource["service"]
    targets = service.get("targets", [])
    return {
        "name": resource["name"],
        "version": resource["version"],
        "address": service["address"],
        "kinds": ", ".join(kind["name"] for kind in service["kinds"]),
        "targets": len(targets),
        "draining": sum(target.get("state") == "draining" for target in targets),
    }


@dataclass
class Apply:
    """Create or replace the services of a file."""

    file: Path
    common: cappa.Destructured[Common]

    def __call__(self) -> None:
        rows = call_api(self.common, lambda client: apply_file(client, self.file))
        print_value(rows, self.common.output, ["name", "result", "revision"])


@dataclass
class Get:
    """Show one service as JSON, or all services."""

    common: cappa.Destructured[Common]
    name: str = ""

    def __call__(self) -> None:
        path = f"/v1/services/{self.name}" if self.name else "/v1/services"
        response = call_api(self.common, lambda client: client.call("GET", path))
        if self.name or self.common.output == "json":
            print_value(response, "json")
        else:
            print_value(
                [service_row(resource) for resource in response["services"]],
                "table",
                SERVICE_COLUMNS,
            )


@dataclass
class Delete:
    """Delete a service that is at a stated version."""

    name: str
    version: int
    common: cappa.Destructured[Common]

    def __call__(self) -> None:
        path = f"/v1/services/{self.name}"
        result = call_api(
            self.common, lambda client: client.call("DELETE", path, version=str(self.version))
        )
        print_value([result], self.common.output, ["revision", "write_id"])


@dataclass
class Watch:
    """Show the services in force and each change, each as a JSON document, until interrupted."""

    common: cappa.Destructured[Common]
    count: Annotated[
        int,
        cappa.Arg(long=True, help="The number of documents after which to stop; 0 for no limit."),
    ] = 0

    def __call__(self) -> None:
        asyncio.run(self.print_changes())

    async def print_changes(self) -> None:
        """Print the documents of the stream, `count` of them or until it ends."""
        printed = 0
        async with ApiClient(self.common.api, self.common.token, self.common.authority) as client:
            async for line in client.stream_lines("/v1/services", watch="1"):
                print_value(line, "json")
                printed += 1
                if printed == self.count:
                    return


@dataclass
class Status:
    """Show what is in force at each host, and which hosts lag and why."""

    common: cappa.Destructured[Common]

    def __call__(self) -> None:
        status = call_api(self.common, lambda client: client.call("GET", "/v1/status"))
        if self.common.output == "json":
            print_value(status, "json")
        else:
            print_value(status["hosts"], "table", HOST_COLUMNS)


@dataclass
class Dump:
    """Show the state of one host's process."""

    common: cappa.Destructured[Common]
    flow: Annotated[str, cappa.Arg(long=True, help="Show only flows whose text contains this.")] = (
        ""
    )

    def __call__(self) -> None:
        state = call_api(self.common, lambda client: client.call("GET", "/v1/dump", flow=self.flow))
        print_value(state, "json")


@dataclass
class Drain:
    """Drain a target, so that it accepts no new flows, or undo this."""

    service: str
    target: str
    common: cappa.Destructured[Common]
    undo: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        state = "active" if self.undo else "draining"
        result = call_api(
            self.common, lambda client: set_target_state(client, self.service, self.target, state)
        )
        print_value([result], self.common.output, ["revision", "write_id"])


@dataclass
class WaitInForce:
    """Wait until a revision is in force at all hosts that are joining, alive or suspected."""

    revision: int
    common: cappa.Destructured[Common]
    timeout: Annotated[
        float, cappa.Arg(long=True, help="The longest time to wait, in seconds.")
    ] = 9.0

    def __call__(self) -> None:
        result = call_api(
            self.common, lambda client: wait_in_force(client, self.revision, self.timeout)
        )
        print_value([result], self.common.output, ["revision", "hosts"])


@dataclass
class Write:
    """Show whether a write took effect whose response was lost."""

    id: str
    common: cappa.Destructured[Common]

    def __call__(self) -> None:
        result = call_api(self.common, lambda client: client.call("GET", f"/v1/writes/{self.id}"))
        print_value([result], self.common.output, ["revision", "write_id"])


@dataclass
class Explain:
    """Show the log lines of all hosts that concern a request."""

    wanted: Annotated[str, cappa.Arg(help="The id of a request, or a flow: caller>service.")]
    logs: Annotated[list[Path], cappa.Arg(help="The hosts' logs: JSON lines.")]

    def __call__(self) -> None:
        lines = select_related_lines(read_log_lines(self.logs), self.wanted)
        if not lines:
            exit_with_problems(
                [
                    Problem(
                        ErrorKind.NOT_FOUND,
                        f"no log line has the id or flow {self.wanted!r}",
                        "wanted",
                    )
                ]
            )
        for line in lines:
            print_value(line, "line")


@dataclass
class Check:
    """Check the settings file of a host of godwitway_platform; godwitwayd has its own check."""

    file: Path

    def __call__(self) -> None:
        """Print the host's name and zone, or every error."""
        try:
            settings = read_steering_settings(str(self.file))
        except SettingsError as error:
            exit_with_problems(error.problems)
        print_value({"name": settings.name, "zone": settings.zone, "result": "valid"}, "json")


@dataclass
class State:
    """Show the state or the metrics of a host of godwitway_platform."""

    common: cappa.Destructured[Common]
    metrics: Annotated[bool, cappa.Arg(long=True, help="Show the metrics as text.")] = False

    def __call__(self) -> None:
        """Call the host's control address, which --api gives, and print the response.

        Such a host has no resource API, so the other commands do not work with it.
        """
        if self.metrics:
            print_value(call_api(self.common, lambda client: client.get_text("/metrics")), "text")
        else:
            print_value(call_api(self.common, lambda client: client.call("GET", "/state")), "json")


@dataclass
class Where:
    """Show where a host of godwitway_platform would place a new flow of a route now, and why."""

    common: cappa.Destructured[Common]
    route: Annotated[str, cappa.Arg(help="The name of the route.")]

    def __call__(self) -> None:
        """Call the host's control address, which --api gives; nothing is placed or sent."""
        path = f"/where/{quote(self.route, safe='')}"
        explanation = call_api(self.common, lambda client: client.call("GET", path))
        if self.common.output != "table":
            print_value(explanation, "json")
            return
        print_value(summarize_placement(explanation), "text")
        print_value(explanation["candidates"], "table", CANDIDATE_COLUMNS)


def summarize_placement(explanation: dict[str, Any]) -> str:
    """Return one line on where a flow would go, from the response of a host."""
    origin = f"{explanation['route']} from {explanation['host']} in {explanation['zone']}"
    if explanation["refused"]:
        return f"{origin}: refused, {explanation['refused']}"
    others = len(explanation["equally_likely"]) - 1
    likely = f", {others} others are as likely" if others else ""
    return f"{origin}: {explanation['target']}{likely}"


@dataclass
class Figures:
    """Show how the scores in a journal have changed over time."""

    folder: Annotated[Path, cappa.Arg(help="The folder of the journal.")] = Path("journal")
    plot: Annotated[bool, cappa.Arg(long=True)] = False
    output: Annotated[Literal["table", "json"], cappa.Arg(long=True)] = "table"

    def __call__(self) -> None:
        rows = read_scores(self.folder)
        if self.plot:
            print_value(plot_scores(rows), "text")
        else:
            print_value(rows, self.output, ["at", "site", "worth", "lowest", "broken", "why"])


@dataclass
class Godwitctl:
    """Change and show the services of godwitway."""

    command: cappa.Subcommands[
        Apply
        | Get
        | Delete
        | Watch
        | Status
        | Dump
        | Drain
        | WaitInForce
        | Write
        | Explain
        | Check
        | State
        | Where
        | Figures
    ] = field()


def main() -> None:
    """Run the command line."""
    cappa.invoke(Godwitctl)
