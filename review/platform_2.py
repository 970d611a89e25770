"""Stand-ins of the platform for the scripts of this review: store, routers, targets and clients.

Only the standard library is used. Everything runs in one process on loopback addresses; the hosts
are the programs of the deploy file, as separate processes.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
SYN, ACK, FIN, RST = 16, 1, 8, 32
HEAD = struct.Struct("<IIBHIIHHII")  # echo sum flags dport dst src sport len seq ack
SUM_KEY = b"stand-in"
DATA_BYTES = 1_200
WINDOW = 16 * DATA_BYTES
FIRST_RESEND_S, LAST_RESEND_S, MAX_RESENDS = 0.2, 1.6, 8
COPIES_S, OPENING_S = (0.2, 0.6), 1.4
HISTORY_S = 20.0
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
RESET_WINDOW = 76_800


def ip_number(ip: str) -> int:
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def ip_text(number: int) -> str:
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """One packet; `src` and `dst` are (ip, port)."""

    def __init__(self, src, dst, flags, seq, ack, data=b"", echo=0):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.data, self.echo = data, echo

    def encode(self) -> bytes:
        tail = (
            HEAD.pack(
                0,
                0,
                self.flags,
                self.dst[1],
                ip_number(self.dst[0]),
                ip_number(self.src[0]),
                self.src[1],
                len(self.data),
                self.seq,
                self.ack,
            )[8:]
            + self.data
        )
        return struct.pack("<II", self.echo, zlib.crc32(SUM_KEY + tail) or 1) + tail


def decode(raw: bytes):
    """Return a packet and whether its sum is right."""
    echo, total, flags, dport, dst, src, sport, length, seq, ack = HEAD.unpack_from(raw)
    data = raw[HEAD.size :]
    packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, data, echo)
    return packet, total == (zlib.crc32(SUM_KEY + raw[8:]) or 1) and length == len(data)


class End:
    """One end of a flow: orders, acknowledges and resends bytes."""

    def __init__(self, send, first: int, expected: int):
        self.send, self.base, self.next, self.expected = send, first, first, expected
        self.out, self.early, self.sent_at, self.wait = b"", {}, None, FIRST_RESEND_S
        self.resends, self.unacked, self.peer_fin, self.fin = 0, 0, False, False
        self.total_out = 0

    def write(self, data: bytes, close: bool = False) -> None:
        self.out += data
        self.fin = self.fin or close
        self.pump()

    def pump(self) -> None:
        while self.next - self.base < min(len(self.out), WINDOW):
            self.transmit(self.next)

    def transmit(self, seq: int) -> None:
        offset = seq - self.base
        data = self.out[offset : offset + DATA_BYTES]
        last = self.fin and offset + len(data) == len(self.out)
        self.send(ACK | (FIN if last else 0), seq, self.expected, data)
        self.unacked = 0
        self.next = max(self.next, seq + len(data))
        if self.sent_at is None:
            self.sent_at = time.monotonic()

    def receive(self, packet: Packet) -> bytes:
        if 0 < packet.ack - self.base <= len(self.out):
            self.out = self.out[packet.ack - self.base :]
            self.base = packet.ack
            self.next = max(self.next, self.base)
            self.wait, self.resends = FIRST_RESEND_S, 0
            self.sent_at = time.monotonic() if self.next > self.base else None
            self.pump()
        got = b""
        if packet.data:
            if packet.seq >= self.expected:
                self.early[packet.seq] = packet.data
            while self.expected in self.early:
                part = self.early.pop(self.expected)
                got += part
                self.expected += len(part)
            self.unacked += 1
            if self.unacked >= 2 or not got or packet.flags & FIN or len(packet.data) < DATA_BYTES:
                self.unacked = 0
                self.send(ACK, self.next, self.expected, b"")
        if packet.flags & FIN:
            self.peer_fin = True
        return got

    def tick(self) -> None:
        if self.sent_at is not None and time.monotonic() - self.sent_at >= self.wait:
            self.sent_at = None
            self.resends += 1
            self.wait = min(LAST_RESEND_S, self.wait * 2)
            self.transmit(self.base)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, take):
        self.take = take

    def datagram_received(self, data, addr):
        self.take(data, addr)


class Target:
    """A sound backend server."""

    def __init__(self, world, number: int, service: str, zone: str, address, slots=3, work_s=0.02):
        self.world, self.number, self.service, self.zone = world, number, service, zone
        self.address, self.slots, self.work_s = address, slots, work_s
        self.id = f"srv-{number:08x}"
        self.state, self.born, self.sequence, self.alive = (
            "ready",
            int(time.time() * 1000),
            0,
            False,
        )
        self.flows: dict = {}
        self.free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Udp(self.take), local_addr=self.address
        )
        self.health = await asyncio.start_server(self.answer_health, *self.address)
        self.alive = True

    def stop(self) -> None:
        self.alive = False
        self.transport.close()
        self.health.close()
        self.flows.clear()

    def entry(self) -> bytes:
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": "%s:%d" % self.address,
                "zone": self.zone,
                "version": "v1",
                "concurrency": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def answer_health(self, reader, writer) -> None:
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(
                (
                    f"HTTP/1.1 {status}\r\nX-Godwitway-Instance-Id: {self.id}\r\n"
                    "Content-Length: 0\r\nConnection: close\r\n\r\n"
                ).encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()

    def reply(self, packet: Packet, flags, seq, ack, data=b"", echo=0) -> None:
        answer = Packet(packet.dst, packet.src, flags, seq, ack, data, echo)
        self.transport.sendto(answer.encode(), (packet.src[0], self.world.packet_port))

    def take(self, raw: bytes, addr) -> None:
        meant = int.from_bytes(raw[:8], "big")
        if not self.alive or meant not in (0, self.number) or len(raw) < 8 + HEAD.size:
            return
        packet, right = decode(raw[8:])
        if not right or packet.flags & (SYN | ACK) == SYN | ACK:
            self.world.note("forged", target=self.id)
            return
        key = packet.src + packet.dst
        flow = self.flows.get(key)
        if packet.flags & RST:
            self.flows.pop(key, None)
        elif packet.flags & SYN:
            if flow is None:
                first = random.randrange(1, 1 << 30)
                flow = self.flows[key] = {"open": False, "echo": packet.echo, "buffer": b""}
                flow["end"] = End(
                    lambda flags, seq, ack, data: self.reply(
                        packet, flags, seq, ack, data, flow["echo"]
                    ),
                    first + 1,
                    packet.seq + 1,
                )
                self.world.note("took", target=self.id, flow=list(key), host=addr[0])
                flow["wait"], flow["repeats"] = FIRST_RESEND_S, 0
                flow["answer"] = lambda: self.reply(
                    packet, SYN | ACK, flow["end"].base - 1, flow["end"].expected, b"", flow["echo"]
                )
                flow["due"] = time.monotonic() + flow["wait"]
                if self.world.lose_answer(self, key):
                    return
            if not flow["open"]:
                flow["answer"]()
        elif flow is None:
            self.reply(packet, RST, packet.ack, 0, b"", packet.echo)
            self.world.note("target-reset", target=self.id, flow=list(key), host=addr[0])
        else:
            self.go_on(packet, key, flow)

    def go_on(self, packet: Packet, key, flow) -> None:
        end = flow["end"]
        if not flow["open"]:
            if packet.ack != end.base:
                self.reply(packet, RST, packet.ack, 0, b"", packet.echo)
                self.world.note("target-reset", target=self.id, flow=list(key))
                return
            flow["open"] = True
            self.world.note("opened", target=self.id, flow=list(key))
        flow["echo"] = packet.echo
        flow["buffer"] += end.receive(packet)
        head, separator, body = flow["buffer"].partition(b"\r\n\r\n")
        if separator:
            fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            length = int(fields["Content-Length"])
            if len(body) >= length:
                flow["buffer"] = body[length:]
                self.world.spawn(self.work(fields, key, flow))
        if end.peer_fin:
            if not end.out and not flow.get("busy"):
                self.reply(packet, ACK | FIN, end.next, end.expected + 1, b"", flow["echo"])
                self.flows.pop(key, None)

    async def work(self, fields, key, flow) -> None:
        flow["busy"] = True
        request, size = fields["X-Godwitway-Request-Id"], int(fields["X-Size"])
        async with self.free:
            self.world.note("ran", target=self.id, request=request)
            await asyncio.sleep(float(fields.get("X-Work", self.work_s)))
        flow["busy"] = False
        if self.alive and self.flows.get(key) is flow:
            body = answer_body(request, size)
            head = (
                f"HTTP/1.1 200 OK\r\nX-Godwitway-Server-Stamp: {self.id}\r\n"
                f"Content-Length: {size}\r\n\r\n"
            ).encode()
            flow["end"].write(head + body, close=self.state == "draining")

    def tick(self) -> None:
        for key, flow in list(self.flows.items()):
            flow["end"].tick()
            if not flow["open"] and time.monotonic() >= flow["due"]:
                flow["repeats"] += 1
                flow["wait"] = min(LAST_RESEND_S, flow["wait"] * 2)
                flow["due"] = time.monotonic() + flow["wait"]
                flow["answer"]()
            if max(flow["end"].resends, flow["repeats"]) > MAX_RESENDS:
                del self.flows[key]


def answer_body(request: str, size: int) -> bytes:
    return (request.encode() * (size // len(request) + 1))[:size]


class Flow:
    """A flow at a client."""

    def __init__(self, client, address):
        self.client, self.address = client, address
        self.port = client.next_port = client.next_port + 1
        self.first, self.echo, self.end, self.opened = random.randrange(1, 1 << 30), 0, None, False
        self.ended, self.answer, self.event = "", b"", asyncio.Event()
        client.flows[(address, self.port)] = self

    def send(self, flags, seq, ack, data=b"") -> None:
        packet = Packet((self.client.ip, self.port), self.address, flags, seq, ack, data, self.echo)
        self.client.world.router.send(self.client.zone, packet)

    async def open(self) -> bool:
        """Send the opening packet and its copies; returns whether a target answered."""
        start = time.monotonic()
        for copy, until in enumerate((*COPIES_S, OPENING_S)):
            self.send(SYN, self.first, copy)
            try:
                left = start + until - time.monotonic()
                await asyncio.wait_for(self.event.wait(), max(0.0, left))
                return self.opened
            except TimeoutError:
                pass
        self.ended = self.ended or "not opened"
        return False

    def take(self, packet: Packet, right: bool) -> None:
        if self.ended:
            return
        if packet.flags & RST:
            if self.opened and not right:
                offset = (packet.seq - self.end.expected + RESET_WINDOW) % (1 << 32)
                if offset > 2 * RESET_WINDOW:
                    return
            self.ended = "reset by target" if right else "reset by host"
            self.client.world.note(
                "reset",
                flow=[self.client.ip, self.port, *self.address],
                open=self.opened,
                by="target" if right else "host",
            )
        elif packet.flags & SYN:
            if not self.opened:
                self.opened, self.echo = True, packet.echo
                self.end = End(self.send, self.first + 1, packet.seq + 1)
                self.send(ACK, self.end.next, self.end.expected)
            else:  # The answer of another target; its echo is the last one received.
                self.echo = packet.echo
        elif self.opened:
            self.echo = packet.echo
            self.answer += self.end.receive(packet)
            if self.end.peer_fin and not packet.data:
                self.ended = self.ended or "closed"
        self.event.set()

    def close(self) -> None:
        if self.opened and not self.ended:
            self.send(ACK | FIN, self.end.next, self.end.expected)
        self.ended = self.ended or "closed"
        self.client.flows.pop((self.address, self.port), None)


class Client:
    """A sound client in one zone."""

    def __init__(self, world, ip: str, zone: str):
        self.world, self.ip, self.zone = world, ip, zone
        self.next_port, self.flows, self.count = random.randrange(20_000, 40_000), {}, 0

    async def start(self) -> None:
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Udp(self.take), local_addr=(self.ip, self.world.packet_port)
        )

    def take(self, raw: bytes, addr) -> None:
        packet, right = decode(raw)
        if not right and not (packet.flags == RST and not packet.data and raw[4:8] == bytes(4)):
            self.world.note("forged", client=self.ip)
            return
        flow = self.flows.get((packet.src, packet.dst[1]))
        if flow is not None:
            flow.take(packet, right)

    async def ask(self, flow: Flow, body=b"", size=600, deadline_s=2.0, work_s=None) -> str:
        """Send one request on an open flow; returns "served" or why it was not."""
        self.count += 1
        request = f"{self.ip}-{self.count}"
        self.world.note("sent", request=request, flow=[self.ip, flow.port, *flow.address])
        extra = "" if work_s is None else f"X-Work: {work_s}\r\n"
        head = (
            f"{'POST' if body else 'GET'} /x HTTP/1.1\r\nX-Godwitway-Request-Id: {request}\r\n"
            f"X-Size: {size}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        flow.answer = b""
        flow.end.write(head + body)
        deadline = time.monotonic() + deadline_s
        while True:
            head, separator, got = flow.answer.partition(b"\r\n\r\n")
            if separator and len(got) >= size:
                result = (
                    "served" if got == answer_body(request, size) and b"Stamp" in head else "wrong"
                )
                break
            if flow.ended:
                result = flow.ended
                break
            left = deadline - time.monotonic()
            if left <= 0:
                result = "deadline"
                break
            flow.event.clear()
            try:
                await asyncio.wait_for(flow.event.wait(), left)
            except TimeoutError:
                pass
        self.world.note("answered", request=request, result=result)
        return result

    async def fresh(self, address, body=b"", size=600, deadline_s=2.0) -> str:
        """Open a flow, send one request and close the flow."""
        flow = Flow(self, address)
        try:
            if not await flow.open():
                self.world.note("answered", flow=[self.ip, flow.port, *address], result=flow.ended)
                return flow.ended
            return await self.ask(flow, body, size, deadline_s)
        finally:
            flow.close()

    def tick(self) -> None:
        for flow in list(self.flows.values()):
            if flow.end is not None and not flow.ended:
                flow.end.tick()


class Router:
    """Hands packets to the hosts of the client's zone by a steady hash."""

    def __init__(self, world):
        self.world, self.misses = world, {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    def choose(self, zone: str, packet: Packet):
        near = [host for host in self.world.hosts if host.zone == zone]
        fit = [host for host in near if self.misses.get(host.name, 2) < 2]
        if not fit:
            fit = [h for h in self.world.hosts if self.misses.get(h.name, 2) < 2] or near
        elif 2 * len(fit) < len(near):
            fit = near
        text = repr((packet.src, packet.dst)).encode()
        return max(fit, key=lambda host: hashlib.md5(text + host.name.encode()).digest())

    def send(self, zone: str, packet: Packet, host=None) -> None:
        host = host or self.choose(zone, packet)
        try:
            self.socket.sendto(packet.encode(), (host.ip, self.world.packet_port))
        except OSError:
            pass

    async def run(self) -> None:
        while True:
            await asyncio.gather(*(self.probe(host) for host in self.world.hosts))
            await asyncio.sleep(0.5)

    async def probe(self, host) -> None:
        ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host.ip, self.world.ready_port)
                try:
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    ready = b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            pass
        self.misses[host.name] = 0 if ready else min(2, self.misses.get(host.name, 2) + 1)


class Store:
    """The platform's store."""

    def __init__(self, world):
        self.world, self.items, self.events, self.revision = world, {}, [], 1
        self.changed, self.silent, self.delay_s = asyncio.Event(), set(), 0.004
        self.calls: dict[str, int] = {}

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.record(item)
        return self.revision

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def record(self, event) -> None:
        self.events.append((time.monotonic(), event))
        self.forget_history()
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        caller = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *lines = head.split("\r\n")
                fields = {n.lower(): v for n, v in (x.split(": ", 1) for x in lines if x)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                if "all" in self.silent or caller in self.silent:
                    await asyncio.sleep(600)
                status, document = await self.answer(method, target, body)
                await asyncio.sleep(self.delay_s)
                if "all" in self.silent or caller in self.silent:
                    await asyncio.sleep(600)
                payload = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller is gone, or this process ends.
        finally:
            writer.close()

    def forget_history(self) -> None:
        """Drop the events that are older than the history that the settings state."""
        while self.events and time.monotonic() - self.events[0][0] > HISTORY_S:
            self.events.pop(0)

    async def answer(self, method: str, target: str, body: bytes):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls[parts.path] = self.calls.get(parts.path, 0) + 1
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"store-revision": self.revision}) if item else (404, {})
        if parts.path == "/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
            )
            page, size = [], 0
            for key in keys[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > PAGE_BYTES:
                    break
                page.append(self.items[key])
            return 200, {
                "items": page,
                "has-more": len(page) < len(keys),
                "store-revision": self.revision,
            }
        if parts.path == "/kv-watch":
            return await self.watch(query)
        if parts.path == "/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
        prefix = query.get("prefix", "")
        while True:
            self.forget_history()
            oldest = self.events[0][1]["revision"] if self.events else self.revision + 1
            if after < self.revision and after + 1 < oldest:
                return 410, {}
            events = [
                e for _, e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, document):
        rows = document.get("expected-rev", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {
                    "items": [self.items[r["key"]] for r in rows if r["key"] in self.items]
                }
        for key in document.get("remove", []):
            self.delete(key)
        for put in document.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]))
        return 200, {"revision": self.revision}


class Host:
    """One entry host: the program of the deploy file."""

    def __init__(self, world, number: int, zone: str, ip: str):
        self.world, self.zone, self.ip = world, zone, ip
        self.name = f"front-{zone}-{number}"
        self.settings = world.folder / f"{self.name}.json"
        self.log = world.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, first_start: bool) -> None:
        world = self.world
        fields = {
            "name": self.name,
            "zone": self.zone,
            "packets": f"{self.ip}:{world.packet_port}",
            "ready": f"{self.ip}:{world.ready_port}",
            "control": f"{self.ip}:{world.control_port}",
            "metrics": f"{self.ip}:9464",
            "peer": f"{self.ip}:{world.peer_port}",
            "store": "%s:%d" % world.store_address,
            "seeds": [f"{host.ip}:{world.control_port}" for host in world.hosts[:3]],
            "regions": {zone: "region-1" for zone in world.zones},
            **({"first_start": True} if first_start else {}),
            "stop_bound_s": 6,
        }
        self.settings.write_text(json.dumps(fields, indent=1))

    def start(self, first_start: bool = False) -> None:
        self.write_settings(first_start)
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "GODWITWAY_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def events(self, name: str) -> list:
        """Return the events of a name in the program's log."""
        lines = self.log.read_text(errors="replace").splitlines()
        parsed = []
        for line in lines:
            try:
                parsed.append(json.loads(line))
            except ValueError:
                continue
        return [event for event in parsed if event.get("event") == name]


class World:
    """A small deployment; `record` receives what was sent, answered and run."""

    def __init__(self, folder: Path, zones: str = "abc", hosts_per_zone: int = 1):
        self.started_at = time.monotonic()
        self.record = (folder / "record.txt").open("w")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones, self.hosts, self.targets, self.clients = list(zones), [], [], []
        self.net = random.randrange(60, 250)
        ports = random.sample(range(21_000, 32_000), 6)
        (
            self.packet_port,
            self.ready_port,
            self.control_port,
            self.peer_port,
            store_port,
            self.target_port,
        ) = ports
        self.store_address = (self.ip(0, 1), store_port)
        self.store, self.router = Store(self), Router(self)
        self.lose_answer = lambda target, key: False
        self.tasks, self.notes, self.version, self.routes, self.services = set(), [], 0, {}, []
        for number in range(len(zones) * hosts_per_zone):
            zone = zones[number % len(zones)]
            self.hosts.append(Host(self, number, zone, self.ip(1, number + 1)))

    def ip(self, part: int, number: int) -> str:
        return f"127.{self.net}.{part}.{number}"

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def note(self, what: str, **fields) -> None:
        fields = {"at": round(self.now(), 3), "what": what, **fields}
        self.notes.append(fields)
        self.record.write(json.dumps(fields) + "\n")

    def spawn(self, job) -> None:
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def configure(self) -> None:
        """Write a configuration with the routes of `routes`, by address: (kind, service)."""
        self.version += 7
        routes = [
            {
                "name": f"route-{host}-{port}",
                "host": host,
                "prefix": f"/{port}/",
                "service": service,
                "type": kind,
                "timeout-ms": 2000,
                "aim-ms": 300,
                "priority": 1,
                "max-attempts": 1,
            }
            for (host, port), (kind, service) in self.routes.items()
        ]
        services = [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 2000,
                "protocol": "http1",
                "tls": False,
            }
            for name in self.services
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "idle-timeout-ms": 12_000,
                "max-header-bytes": 16_384,
                "max-body-bytes": 1_048_576,
                "header-timeout-ms": 5000,
            },
        }
        revision = self.store.put("op/config", json.dumps(document).encode())
        self.note("configured", version=self.version, revision=revision)

    async def add_target(self, service: str, zone: str, number=None, **fields) -> Target:
        number = number or random.randrange(1 << 20, 1 << 32)
        address = (self.ip(3, len(self.targets) + 1), self.target_port)
        target = Target(self, number, service, zone, address, **fields)
        await target.start()
        self.targets.append(target)
        self.announce(target)
        return target

    def announce(self, target: Target) -> None:
        revision = self.store.put(f"servers/{target.id}", target.entry())
        self.note("announced", target=target.id, state=target.state, revision=revision)

    async def add_client(self, zone: str) -> Client:
        client = Client(self, self.ip(5, len(self.clients) + 1), zone)
        await client.start()
        self.clients.append(client)
        return client

    async def start(self) -> None:
        """Start the store, the routers and the timers."""
        self.server = await asyncio.start_server(self.store.serve, *self.store_address)
        self.spawn(self.router.run())
        self.spawn(self.tick())

    async def wait_ready(self, within_s: float = 15.0) -> bool:
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if all(self.router.misses.get(host.name, 2) == 0 for host in self.hosts):
                return True
            await asyncio.sleep(0.1)
        return False

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for part in (*self.targets, *self.clients):
                part.tick()

    async def close(self) -> None:
        """End the processes and everything else that this world started."""
        for host in self.hosts:
            if host.process is not None:
                if host.process.poll() is None:
                    host.process.kill()
                host.process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.server.close()
        self.router.socket.close()
        for target in self.targets:
            if target.alive:
                target.stop()
        for client in self.clients:
            client.transport.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)
