"""Measures control at several numbers of host processes on one machine.

Usage: scale.py BIN_DIRECTORY COUNT [COUNT ...]. For each count it starts the store's stand-in and
that many hosts over three zones, changes a service many times, and prints how long a change takes
until every host has it in force, and what control costs each host.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

ZONES = 3
CHANGES = 20
IDLE_S = 20.0
PLATFORM = "127.9.0.1:2379"
KEY = "00112233445566778899aabbccddeeff"
TICKS = os.sysconf("SC_CLK_TCK")
READY_S = 90.0


def report(name: str, value: float, unit: str) -> None:
    """Print one figure."""
    sys.stdout.write(f"{name}: {value:.3f} {unit}\n")
    sys.stdout.flush()


def ip_of(number: int) -> str:
    """Return the loopback address of a host."""
    return f"127.8.{number // 200}.{number % 200 + 1}"


def settings_of(number: int) -> dict[str, object]:
    """Return the settings of a host."""
    ip = ip_of(number)
    return {
        "name": f"entry-{number + 1}",
        "zone": f"zone-{number % ZONES}",
        "door": f"{ip}:4000",
        "peer": f"{ip}:4001",
        "control": f"{ip}:4002",
        "api": {"address": f"{ip}:4003"},
        "fabric": ["127.9.0.2:4100"],
        "store": [PLATFORM],
        "seeds": [f"{ip_of(seed)}:4001" for seed in range(3)],
        "keys": [KEY],
    }


def service(name: str, number: int, bound: float) -> dict[str, object]:
    """Return a service with seven targets."""
    targets = [
        {"address": f"127.7.{number}.{index + 1}:9000", "zone": f"zone-{index % ZONES}"}
        for index in range(7)
    ]
    kinds = [{"name": "board", "protocol": "tcp", "port": 7001, "holds": "connection"}]
    return {
        "name": name,
        "address": f"10.77.0.{number + 1}",
        "kinds": kinds,
        "targets": targets,
        "load_bound": bound,
    }


class Fleet:
    """The processes of one measurement."""

    def __init__(self, bin_directory: Path, count: int, work: Path) -> None:
        self.count = count
        log = (work / "log").open("wb")
        standin = [str(bin_directory / "godwitway-standin"), "platform", PLATFORM]
        self.platform = subprocess.Popen(standin, stdout=log, stderr=log)
        self.hosts = []
        for number in range(count):
            path = work / f"entry-{number}.jsonc"
            path.write_text(json.dumps(settings_of(number)))
            command = [str(bin_directory / "godwitwayd"), "run", str(path)]
            self.hosts.append(subprocess.Popen(command, stdout=log, stderr=log))

    def stop(self) -> None:
        """End all processes."""
        for process in [*self.hosts, self.platform]:
            process.send_signal(signal.SIGKILL)
        for process in [*self.hosts, self.platform]:
            process.wait()

    def cpu_s(self) -> float:
        """Return the processor time of all hosts so far, in seconds."""
        total = 0
        for process in self.hosts:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS

    def resident_mb(self) -> float:
        """Return the mean resident memory of a host in MB."""
        pages = [
            int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) for process in self.hosts
        ]
        return sum(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6 / self.count


def url(number: int, path: str) -> str:
    """Return a URL of a host's API."""
    return f"http://{ip_of(number)}:4003/v1/{path}"


async def counters(session: aiohttp.ClientSession, count: int) -> dict[str, int]:
    """Return the sum of the control and store counters of all hosts."""
    totals = {"control_bytes_sent": 0, "store_calls": 0}
    for number in range(count):
        async with session.get(url(number, "metrics")) as response:
            found = (await response.json())["counters"]
        for name, value in found.items():
            family = name.partition(".")[0]
            if family in totals:
                totals[family] += value
    return totals


async def wait_ready(session: aiohttp.ClientSession, count: int) -> None:
    """Wait until every host knows all others as alive."""
    deadline = time.monotonic() + READY_S
    for number in range(count):
        while True:
            try:
                async with session.get(url(number, "status")) as response:
                    hosts = (await response.json())["hosts"]
                if sum(host["state"] == "alive" for host in hosts) == count:
                    break
            except aiohttp.ClientError:
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"host {number + 1} does not know all hosts")
            await asyncio.sleep(0.2)


async def follow(
    session: aiohttp.ClientSession, number: int, seen: dict[tuple[int, int], float]
) -> None:
    """Note when each revision comes in force at a host."""
    timeout = aiohttp.ClientTimeout(total=None)
    async with session.get(url(number, "services?watch=1"), timeout=timeout) as response:
        async for line in response.content:
            revision = json.loads(line)["revision"]
            seen.setdefault((number, revision), time.monotonic())


async def measure_changes(session: aiohttp.ClientSession, count: int) -> list[float]:
    """Change a service many times and return how long each host took for each change."""
    seen: dict[tuple[int, int], float] = {}
    followers = [asyncio.ensure_future(follow(session, n, seen)) for n in range(count)]
    await asyncio.sleep(2.0)
    version, times = 0, []
    accepted: dict[int, float] = {}
    for change in range(CHANGES):
        body = service("measured", 1, 0.05 + change / 1000)
        target = url(change % count, f"services/measured?version={version}")
        async with session.put(target, json=body) as response:
            answer = await response.json()
        version = answer["revision"]
        accepted[version] = time.monotonic()
        await asyncio.sleep(0.5)
    await asyncio.sleep(9.0)
    for revision, at in accepted.items():
        for number in range(count):
            arrived = seen.get((number, revision))
            times.append(max(0.0, arrived - at) if arrived else float("inf"))
    for follower in followers:
        follower.cancel()
    await asyncio.gather(*followers, return_exceptions=True)
    return times


async def measure(fleet: Fleet) -> None:
    """Measure one number of hosts."""
    count = fleet.count
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await wait_ready(session, count)
        times = sorted(await measure_changes(session, count))
        report(f"scale.{count}.in_force.p50", times[len(times) // 2] * 1000, "ms")
        report(f"scale.{count}.in_force.p99", times[int(len(times) * 0.99)] * 1000, "ms")
        report(f"scale.{count}.in_force.max", times[-1] * 1000, "ms")
        before, cpu = await counters(session, count), fleet.cpu_s()
        await asyncio.sleep(IDLE_S)
        cpu = fleet.cpu_s() - cpu
        after = await counters(session, count)
    sent = after["control_bytes_sent"] - before["control_bytes_sent"]
    report(f"scale.{count}.control", sent / IDLE_S / count, "bytes/s sent by a host")
    report(f"scale.{count}.cpu", cpu / IDLE_S / count * 100, "% of a core for a host")
    report(f"scale.{count}.memory", fleet.resident_mb(), "MB for a host")
    report(f"scale.{count}.store_calls", after["store_calls"], "calls in the whole run")
    calls = after["store_calls"] - before["store_calls"]
    report(f"scale.{count}.store_calls_idle", calls / IDLE_S, "calls/s")


def main() -> None:
    """Measure each number of hosts."""
    bin_directory = Path(sys.argv[1]).resolve()
    for text in sys.argv[2:]:
        with tempfile.TemporaryDirectory() as work:
            fleet = Fleet(bin_directory, int(text), Path(work))
            try:
                asyncio.run(measure(fleet))
            finally:
                fleet.stop()


if __name__ == "__main__":
    main()
