"""Measures what control traffic and membership cost several numbers of hosts on one machine.

Usage: scale.py BIN_DIRECTORY COUNT [COUNT ...]. For each count it starts the stand-in of
the store and that many hosts in three zones, and changes a service many times. It prints how long
a change takes until it is in force at a host, and the traffic, processor time and memory of a host.
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
CHANGE_COUNT = 20
IDLE_S = 20.0
STORE_ADDRESS = "127.9.0.1:2379"
KEY = "00112233445566778899aabbccddeeff"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
READY_TIMEOUT_S = 90.0


def print_result(name: str, value: float, unit: str) -> None:
    """Print one result as ``name: value unit``."""
    sys.stdout.write(f"{name}: {value:.3f} {unit}\n")
    sys.stdout.flush()


def host_ip(number: int) -> str:
    """Return the loopback address of the host with a number, which counts from 0."""
    return f"127.8.{number // 200}.{number % 200 + 1}"


def host_settings(number: int) -> dict[str, object]:
    """Return the settings file of a host as an object."""
    ip = host_ip(number)
    return {
        "name": f"entry-{number + 1}",
        "zone": f"zone-{number % ZONES}",
        "door": f"{ip}:4000",
        "peer": f"{ip}:4001",
        "control": f"{ip}:4002",
        "api": {"address": f"{ip}:4003"},
        "fabric": ["127.9.0.2:4100"],
        "store": [STORE_ADDRESS],
        "seeds": [f"{host_ip(seed)}:4001" for seed in range(3)],
        "keys": [KEY],
    }


def service_document(name: str, number: int, load_bound: float) -> dict[str, object]:
    """Return a service with seven targets; nothing listens at their addresses."""
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
        "load_bound": load_bound,
    }


class HostProcesses:
    """The processes of one measurement: the stand-in of the store and the hosts.

    Attributes:
        count: The number of hosts.
        store_process: The process of the stand-in of the store.
        hosts: The processes of the hosts.
    """

    def __init__(self, bin_directory: Path, count: int, work: Path) -> None:
        self.count = count
        log = (work / "log").open("wb")
        standin = [str(bin_directory / "godwitway-standin"), "platform", STORE_ADDRESS]
        self.store_process = subprocess.Popen(standin, stdout=log, stderr=log)
        self.hosts = []
        for number in range(count):
            path = work / f"entry-{number}.jsonc"
            path.write_text(json.dumps(host_settings(number)))
            command = [str(bin_directory / "godwitwayd"), "run", str(path)]
            self.hosts.append(subprocess.Popen(command, stdout=log, stderr=log))

    def kill_all(self) -> None:
        """Kill all processes and wait until they have ended."""
        for process in [*self.hosts, self.store_process]:
            process.send_signal(signal.SIGKILL)
        for process in [*self.hosts, self.store_process]:
            process.wait()

    def cpu_time_s(self) -> float:
        """Return the processor time that all hosts have used so far, in seconds."""
        total = 0
        for process in self.hosts:
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / CLOCK_TICKS_PER_S

    def mean_resident_mb(self) -> float:
        """Return the mean resident memory of a host in MB."""
        pages = [
            int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) for process in self.hosts
        ]
        return sum(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6 / self.count


def api_url(number: int, path: str) -> str:
    """Return the URL of a path of a host's API."""
    return f"http://{host_ip(number)}:4003/v1/{path}"


async def sum_counters(session: aiohttp.ClientSession, count: int) -> dict[str, int]:
    """Return the sums over all hosts of control bytes sent and of calls of the store."""
    totals = {"control_bytes_sent": 0, "store_calls": 0}
    for number in range(count):
        async with session.get(api_url(number, "metrics")) as response:
            counters = (await response.json())["counters"]
        for name, value in counters.items():
            counter_name = name.partition(".")[0]
            if counter_name in totals:
                totals[counter_name] += value
    return totals


async def wait_until_all_alive(session: aiohttp.ClientSession, count: int) -> None:
    """Wait until every host considers all others alive.

    Raises:
        TimeoutError: One of them does not after `READY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    for number in range(count):
        while True:
            try:
                async with session.get(api_url(number, "status")) as response:
                    hosts = (await response.json())["hosts"]
                if sum(host["state"] == "alive" for host in hosts) == count:
                    break
            except aiohttp.ClientError:
                pass
            if time.monotonic() > deadline:
                raise TimeoutError(f"host {number + 1} does not consider all hosts alive")
            await asyncio.sleep(0.2)


async def record_revisions(
    session: aiohttp.ClientSession, number: int, in_force_at: dict[tuple[int, int], float]
) -> None:
    """Record the monotonic time at which each revision comes into force at a host."""
    timeout = aiohttp.ClientTimeout(total=None)
    async with session.get(api_url(number, "services?watch=1"), timeout=timeout) as response:
        async for line in response.content:
            revision = json.loads(line)["revision"]
            in_force_at.setdefault((number, revision), time.monotonic())


async def measure_changes(session: aiohttp.ClientSession, count: int) -> list[float]:
    """Change a service `CHANGE_COUNT` times, through a different host each time.

    Returns:
        The seconds from the response to a change until it was in force, for each change and host;
        infinity if that was not seen.
    """
    in_force_at: dict[tuple[int, int], float] = {}
    watch_tasks = [
        asyncio.ensure_future(record_revisions(session, n, in_force_at)) for n in range(count)
    ]
    await asyncio.sleep(2.0)  # Lets all watches open.
    version, times_s = 0, []
    accepted_at: dict[int, float] = {}
    for change in range(CHANGE_COUNT):
        body = service_document("measured", 1, 0.05 + change / 1000)
        url = api_url(change % count, f"services/measured?version={version}")
        async with session.put(url, json=body) as response:
            written = await response.json()
        version = written["revision"]
        accepted_at[version] = time.monotonic()
        await asyncio.sleep(0.5)  # Separates the changes.
    await asyncio.sleep(9.0)  # The last changes come into force; later ones count as not seen.
    for revision, at in accepted_at.items():
        for number in range(count):
            seen_at = in_force_at.get((number, revision))
            times_s.append(max(0.0, seen_at - at) if seen_at else float("inf"))
    for watch_task in watch_tasks:
        watch_task.cancel()
    await asyncio.gather(*watch_tasks, return_exceptions=True)
    return times_s


async def measure_size(processes: HostProcesses) -> None:
    """Measure and print the results for one number of hosts."""
    count = processes.count
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await wait_until_all_alive(session, count)
        times_s = sorted(await measure_changes(session, count))
        print_result(f"scale.{count}.in_force.p50", times_s[len(times_s) // 2] * 1000, "ms")
        print_result(f"scale.{count}.in_force.p99", times_s[int(len(times_s) * 0.99)] * 1000, "ms")
        print_result(f"scale.{count}.in_force.max", times_s[-1] * 1000, "ms")
        before, cpu_s = await sum_counters(session, count), processes.cpu_time_s()
        await asyncio.sleep(IDLE_S)
        cpu_s = processes.cpu_time_s() - cpu_s
        after = await sum_counters(session, count)
    sent = after["control_bytes_sent"] - before["control_bytes_sent"]
    print_result(f"scale.{count}.control", sent / IDLE_S / count, "bytes/s sent by a host")
    print_result(f"scale.{count}.cpu", cpu_s / IDLE_S / count * 100, "% of a core for a host")
    print_result(f"scale.{count}.memory", processes.mean_resident_mb(), "MB for a host")
    print_result(f"scale.{count}.store_calls", after["store_calls"], "calls in the whole run")
    calls = after["store_calls"] - before["store_calls"]
    print_result(f"scale.{count}.store_calls_idle", calls / IDLE_S, "calls/s")


def main() -> None:
    """Measure each number of hosts that the command line gives."""
    bin_directory = Path(sys.argv[1]).resolve()
    for count_text in sys.argv[2:]:
        with tempfile.TemporaryDirectory() as work:
            processes = HostProcesses(bin_directory, int(count_text), Path(work))
            try:
                asyncio.run(measure_size(processes))
            finally:
                processes.kill_all()


if __name__ == "__main__":
    main()
