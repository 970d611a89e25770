"""Measures the packet path of a steering host, and the processor time of its start.

Each line is ``name: value unit``. Times of packets are ratios to a bare loop of receiving, looking
up and sending. Lines of the start have the processor time and its ratio to the start of an
interpreter that imports nothing.
"""

import os
import random
import resource
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering import Steering
from godwitway.steering._catalog import Catalog
from godwitway_platform._packets import decode_packet, encode_forward, format_flow
from steering_builders import build_config, build_target

PACKETS = 2_000
ROUNDS = 15
PROCESS_STARTS = 11
FLAGS_OFFSET = 8
CALLER_PORT_SLICE = slice(19, 21)
NO_IMPORTS = "pass"
IMPORTS_BEFORE_FIRST_PACKET = "import godwitway_platform._run"
ALL_IMPORTS = "import godwitway_platform._run, godwitway_platform._serve"


class SendingPacketIO:
    """Forwards packets to a socket that nobody reads."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind(("127.0.0.1", 0))
        self.address = self.sink.getsockname()

    def forward(self, packet, target) -> None:
        """Send a packet with its route token to the socket, whatever its target."""
        data = encode_forward(packet.raw, target.envelope, target.token)
        self.socket.sendto(data, self.address)

    def send_reset(self, packet) -> None:
        """Raise an error, because the measurement contains no packet that should be reset."""
        raise AssertionError("a flow was reset")

    def request_id(self, packet) -> str:
        """Return an empty string, as for a packet without an id."""
        return ""


def measure_packet_us(handle_packet: Callable[[bytes], None], packets: list[bytes]) -> float:
    """Return the median time of receiving and handling a packet, in microseconds."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect(receiver.getsockname())
    times_us = []
    for _ in range(ROUNDS):
        spent_s = 0.0
        for start in range(0, len(packets), 100):
            for raw in packets[start : start + 100]:
                sender.send(raw)
            started_at = time.perf_counter()
            for _ in packets[start : start + 100]:
                handle_packet(receiver.recv(2_048))
            spent_s += time.perf_counter() - started_at
        times_us.append(spent_s / len(packets) * 1e6)
    return statistics.median(times_us)


def build_packet(flags: int, port: int, length: int, token: int, sequence: int) -> bytes:
    """Return a packet to the service's address.

    Args:
        flags: The flags of the packet: 1 is ACK, 16 is SYN.
        port: The caller's port, which identifies the flow.
        length: The number of data bytes.
        token: The route token, 0 for none.
        sequence: The sequence number.
    """
    head = bytearray(31)
    head[0:4] = token.to_bytes(4, "little")
    head[FLAGS_OFFSET] = flags
    # The service address of the route in steering_builders, cut to the 6 bytes of this field;
    # `build_steering` cuts the address in the route.
    head[9:15] = b"\x01\x00board"[:6]
    head[CALLER_PORT_SLICE] = port.to_bytes(2, "little")
    head[21:23] = length.to_bytes(2, "little")
    head[23:27] = sequence.to_bytes(4, "little")
    return bytes(head) + b"x" * length


def build_steering() -> Steering:
    """Return the steering of a host that is ready and has 60 targets."""
    config = build_config()
    for route in config.routes:
        route.service_address = route.service_address[:6]
    catalog = Catalog()
    catalog.apply_config(config)
    for number in range(1, 61):
        catalog.put_target(build_target(number % 250, zone="abc"[number % 3]))
    steering = Steering(
        SendingPacketIO(),
        catalog,
        "a",
        time.monotonic,
        random.Random(1),
        Metrics(),
        Journal("bench", time.monotonic, lambda line: None, format_flow, 50),
    )
    steering.is_ready = True
    return steering


def measure_start_ms(statement: str) -> float:
    """Return the lowest processor time of several starts of an interpreter, in milliseconds.

    Args:
        statement: The Python statement that the interpreter executes after its start.
    """
    times_ms = []
    # Lets the first run write the compiled files, which an installed host already has.
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONDONTWRITEBYTECODE"}
    for _ in range(PROCESS_STARTS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        code = f"import gc, sys; gc.disable(); sys.modules['ssl'] = None; {statement}"
        subprocess.run([sys.executable, "-c", code], check=True, env=environment)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        times_ms.append(spent_s * 1_000)
    return min(times_ms)


def main() -> None:
    """Measure the packet path and the start, and print the results."""
    steering = build_steering()
    token = steering.catalog.targets["i-0001"].token
    packet_io = steering.packet_io
    table = {bytes([1]): packet_io.address}

    def forward_directly(raw: bytes) -> None:
        packet_io.socket.sendto(raw, table[b"\x01"])

    def steer(raw: bytes) -> None:
        steering.handle_packet(decode_packet(raw))

    established = [build_packet(1, 1_000 + n % 50, 100, token, n * 100) for n in range(PACKETS)]
    opening = [build_packet(16, n % 60_000, 0, 0, n) for n in range(PACKETS)]
    base_us = measure_packet_us(forward_directly, established)
    for name, packets in (("established", established), ("opening", opening)):
        sys.stdout.write(
            f"steering.{name}: {measure_packet_us(steer, packets) / base_us:.2f} x bare loop\n"
        )
    interpreter_ms = measure_start_ms(NO_IMPORTS)
    for name, statement in (("first_packet", IMPORTS_BEFORE_FIRST_PACKET), ("whole", ALL_IMPORTS)):
        spent_ms = measure_start_ms(statement)
        sys.stdout.write(
            f"start.{name}: {spent_ms:.1f} ms, {spent_ms / interpreter_ms:.2f} x interpreter\n"
        )


if __name__ == "__main__":
    main()
