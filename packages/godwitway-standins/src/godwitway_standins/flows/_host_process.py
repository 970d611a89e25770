"""One entry host as a real process."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from godwitway.steering import SteeringSettings

from godwitway_standins.flows._cold_flows import COLD_OVER, COLD_SLACK
from godwitway_standins.flows._proxy import TcpProxy

__all__ = [
    "CONTROL_PORT",
    "PACKET_PORT",
    "PEER_PORT",
    "READY_PORT",
    "STOP_BOUND_S",
    "HostProcess",
]

PACKET_PORT = 8_172
READY_PORT = 8_167
CONTROL_PORT = 8_166
PEER_PORT = 7_720
STOP_BOUND_S = 6


def limit_settings() -> dict[str, float]:
    """Return the settings of the limit of new flows to cold targets, if the program has them."""
    values = {"cold_rate_factor": COLD_OVER, "cold_rate_slack": COLD_SLACK}
    return {name: value for name, value in values.items() if name in SteeringSettings.__slots__}


class HostProcess:
    """One entry host as a real process.

    Attributes:
        name: The host's name.
        ip: Its address.
        proxy: The proxy between it and the store.
        process: The process, None while the host is down.
        paused: Whether the process is stopped by a signal.
    """

    def __init__(
        self, name: str, zone: str, ip: str, proxy: TcpProxy, folder: Path, seeds: list[str]
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.proxy = proxy
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self.cuts: set[str] = set()
        self.settings.write_text(
            json.dumps(
                limit_settings()
                | {
                    "name": name,
                    "zone": zone,
                    "packets": f"{ip}:{PACKET_PORT}",
                    "ready": f"{ip}:{READY_PORT}",
                    "control": f"{ip}:{CONTROL_PORT}",
                    "peer": f"{ip}:{PEER_PORT}",
                    "store": f"{proxy.listen[0]}:{proxy.listen[1]}",
                    "seeds": seeds,
                    "stop_bound_s": STOP_BOUND_S,
                },
                indent=2,
            )
        )

    def start(self) -> None:
        """Start the program."""
        environment = os.environ | {"GODWITWAY_CONFIG": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "godwitway_platform"],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.paused = False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP

    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        if not self.ended():
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.process = None
