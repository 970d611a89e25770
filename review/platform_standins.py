"""Small stand-ins of the platform for the review's scripts; standard library only.

They follow the users' pages: the metadata store, the routers, targets and callers of flows, and
hosts that are started as real processes with the command of the deploy file. All addresses are
loopback addresses. Every run uses a random 127.x network, so that runs do not meet.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
PEER_PORT = 7720
STORE_PORT = 8169

HEAD = struct.Struct("<IIBHIIHHII")
SYN, ACK, FIN, RST, BOUNCED = 16, 1, 8, 32, 64
DATA_BYTES = 1_200
SPACE = 1 << 32


class Record:
    """Writes what happened to record.txt: one line for each event and for each request."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.broken = []

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")


# --- packets ---------------------------------------------------------------------------------


def keyed_sum(raw):
    """The sum over all fields but echo, sum and the flag BOUNCED; hosts do not know the key."""
    data = bytes([raw[8] & ~BOUNCED]) + raw[9:]
    digest = hashlib.blake2b(data, key=b"ends only", digest_size=4).digest()
    return int.from_bytes(digest, "little") or 1


def ip_number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Packet:
    __slots__ = ("ack", "data", "dst", "echo", "flags", "seq", "src", "total")

    def __init__(self, src, dst, flags, seq, ack, data=b"", echo=0, total=None):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data, self.echo, self.total = seq, ack, data, echo, total

    def encode(self):
        raw = HEAD.pack(
            self.echo, 0, self.flags, self.dst[1], ip_number(self.dst[0]), ip_number(self.src[0]),
            self.src[1], len(self.data), self.seq % SPACE, self.ack % SPACE,
        ) + self.data  # fmt: skip
        return raw[:4] + struct.pack("<I", keyed_sum(raw)) + raw[8:]

    def flow(self):
        return (*self.src, *self.dst)


def decode(raw):
    """Return the packet, and whether an end wrote it so."""
    echo, total, flags, dport, dst, src, sport, length, seq, ack = HEAD.unpack_from(raw)
    packet = Packet(
        (ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack, raw[HEAD.size :], echo, total
    )
    return packet, length == len(packet.data) and total == keyed_sum(raw)


class End:
    """One end of a flow: order, acknowledgement of every second packet, retransmission."""

    def __init__(self, send, first, expected):
        self.send = send
        self.una = self.next = first
        self.expected = expected
        self.out = bytearray()
        self.early = {}
        self.closing = self.closed = self.peer_closed = False
        self.peer_end = None
        self.pending = 0
        self.ack_at = self.resend_at = None
        self.timeout = 0.2
        self.repeats = 0

    def write(self, data):
        self.out += data
        self.pump()

    def close(self):
        self.closing = True
        self.pump()

    def limit(self):
        return self.una + len(self.out) + (1 if self.closing else 0)

    def pump(self):
        while self.next < self.limit() and self.next - self.una < 16 * DATA_BYTES:
            self.next += self.transmit(self.next)

    def transmit(self, seq):
        offset = seq - self.una
        data = bytes(self.out[offset : offset + DATA_BYTES])
        last = self.closing and offset + len(data) == len(self.out)
        self.send(ACK | (FIN if last else 0), seq, self.expected, data)
        self.pending, self.ack_at = 0, None
        if self.resend_at is None:
            self.resend_at = time.monotonic() + self.timeout
        return len(data) + (1 if last else 0)

    def receive(self, packet):
        """Take a packet; return the bytes that are now in order."""
        gained = packet.ack - self.una
        if 0 < gained <= self.next - self.una:
            if self.closing and packet.ack == self.limit():
                self.closed = True
            del self.out[: min(gained, len(self.out))]
            self.una = packet.ack
            self.timeout, self.repeats = 0.2, 0
            self.resend_at = None if self.next == packet.ack else time.monotonic() + self.timeout
            self.pump()
        fin = bool(packet.flags & FIN)
        if not packet.data and not fin:
            return b""
        if fin:
            self.peer_end = packet.seq + len(packet.data)
        if packet.data and packet.seq >= self.expected:
            self.early[packet.seq] = packet.data
        got = b""
        while self.expected in self.early:
            data = self.early.pop(self.expected)
            got += data
            self.expected += len(data)
        if self.peer_end == self.expected and not self.peer_closed:
            self.peer_closed = True
            self.expected += 1
        self.pending += 1
        if self.pending >= 2 or self.peer_closed or self.early or not got:
            self.acknowledge()
        elif self.ack_at is None:
            self.ack_at = time.monotonic() + 0.02
        return got

    def acknowledge(self):
        self.pending, self.ack_at = 0, None
        self.send(ACK, self.next, self.expected, b"")

    def tick(self, now):
        if self.ack_at is not None and now >= self.ack_at:
            self.acknowledge()
        if self.resend_at is not None and now >= self.resend_at:
            self.repeats += 1
            self.timeout = min(1.6, self.timeout * 2)
            self.resend_at = now + self.timeout
            self.transmit(self.una)


def udp_socket(address, on_read):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.setblocking(False)
    sock.bind(address)
    asyncio.get_running_loop().add_reader(sock.fileno(), on_read)
    return sock


def drain_socket(sock):
    for _ in range(256):
        try:
            yield sock.recvfrom(2_048)
        except OSError:
            return


# --- the store -------------------------------------------------------------------------------


class Listener:
    """The store's listener for one host, so that the store can turn away some hosts."""

    def __init__(self, name, address):
        self.name = name
        self.address = address
        self.silent = False  # The store accepts connections and gives no response.
        self.watching = 0
        self.dead = set()  # Connections that have lost a response.
        self.open = set()


class Store:
    """The platform's metadata store: keys with revisions, range, watch and transactions."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> (value, revision, created)
        self.revision = 10
        self.history = []  # (revision, key, value or None, created)
        self.changed = asyncio.Event()
        self.listeners = {}
        self.servers = []
        self.on_call = lambda host, call: None
        self.delay_s = 0.004

    async def listen(self, name, address):
        listener = self.listeners[name] = Listener(name, address)
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(listener, reader, writer), *address
        )
        self.servers.append(server)

    def refuse(self, name, on):
        """Answer a host no more, or again; connections that lost an answer stay silent for good."""
        listener = self.listeners[name]
        listener.silent = on
        if on:
            listener.dead |= listener.open
        self.record.note(f"the store {'answers' if not on else 'no longer answers'} {name}")

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)
        self.history.append((self.revision, key, value, created))
        self.wake()
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key, None, 0))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, listener, reader, writer):
        listener.open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n")[1:]:
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                if listener.silent or writer in listener.dead:
                    listener.dead.add(writer)
                    await asyncio.sleep(3600)
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ", 2)
                status, answer = await self.answer(listener, method, target, body)
                await asyncio.sleep(self.delay_s)
                if listener.silent or writer in listener.dead:
                    listener.dead.add(writer)
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            listener.open.discard(writer)
            listener.dead.discard(writer)
            writer.close()

    async def answer(self, listener, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.on_call(listener.name, path)
        if path == "/kv-range":
            prefix, after = fields["prefix"], fields.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.row(key) for key in keys[:500]]
            return 200, {
                "items": rows, "has-more": len(keys) > 500, "store-revision": self.revision
            }  # fmt: skip
        if path == "/kv-watch":
            listener.watching += 1
            try:
                return await self.watch(fields)
            finally:
                listener.watching -= 1
        if path == "/kv-key":
            if fields["key"] not in self.items:
                return 404, {}
            return 200, self.row(fields["key"]) | {"store-revision": self.revision}
        if path == "/kv-txn" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    def row(self, key):
        value, revision, created = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    async def watch(self, fields):
        prefix, after = fields["prefix"], int(fields["after"])
        deadline = time.monotonic() + int(fields["wait-ms"]) / 1000
        while True:
            events = [
                {"key": key, "revision": revision, "deleted": True}
                if value is None
                else {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "revision": revision,
                    "created": created,
                    "lease": 0,
                }
                for revision, key, value, created in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def transact(self, body):
        for row in body["expected-rev"]:
            have = self.items[row["key"]][1] if row["key"] in self.items else 0
            if have != row["revision"]:
                return 412, {"items": []}
        for entry in body["puts"]:
            if entry["key"].startswith(("op/", "servers/")):
                return 403, {}
        for entry in body["puts"]:
            self.put(entry["key"], base64.b64decode(entry["value"]))
        for key in body["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def close(self):
        for server in self.servers:
            server.close()
        for listener in self.listeners.values():
            for writer in list(listener.open):
                writer.transport.abort()


# --- targets ---------------------------------------------------------------------------------


class Held:
    """A flow that a target holds."""

    __slots__ = ("buffer", "echo", "end", "opened", "opened_at", "opening", "reset_sent")

    def __init__(self, opening, echo):
        self.opening = opening
        self.echo = echo
        self.end = None
        self.opened = False
        self.opened_at = 0.0
        self.buffer = b""
        self.reset_sent = False


class Target:
    """A backend server: flows over UDP, health checks over TCP at the same address."""

    def __init__(self, world, number, service, zone, ip, slots=3, work_s=0.05):
        self.world = world
        self.number = number
        self.id = f"i-{number:010x}"
        self.service = service
        self.zone = zone
        self.address = (ip, 8080)
        self.slots = slots
        self.work_s = work_s
        self.draining = False
        self.alive = False
        self.sequence = 0
        self.flows = {}
        self.resets = set()  # Flows that this target has reset.
        self.tasks = set()
        self.born = 0

    async def start(self):
        self.sock = udp_socket(self.address, self.read)
        self.server = await asyncio.start_server(self.health, *self.address)
        self.free = asyncio.Semaphore(self.slots)
        self.alive = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.spawn(self.ticks())

    def spawn(self, job):
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self):
        self.alive = False
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        self.sock.close()
        self.server.close()
        self.flows.clear()
        for task in list(self.tasks):
            task.cancel()

    def announce(self):
        """Write the entry; returns the store's revision, which acknowledges it."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return self.world.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "503 Service Unavailable" if self.draining else "200 OK"
            writer.write(
                f"HTTP/1.1 {status}\r\nX-Godwitway-Instance-Id: {self.id}\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def read(self):
        for raw, source in drain_socket(self.sock):
            if not self.alive:
                return
            meant = int.from_bytes(raw[:8], "big")
            packet, right = decode(raw[8:])
            if meant not in (0, self.number):
                continue
            if not right or packet.flags & (SYN | ACK) == SYN | ACK:
                self.world.record.breach("UNASKED", f"{self.id} got a packet nobody wrote so")
                continue
            self.take(packet, source[0])

    def take(self, packet, host):
        flow = self.flows.get(packet.flow())
        if packet.flags & SYN:
            self.open(packet, flow, host)
        elif flow is None:
            if not packet.flags & RST:
                self.reply(packet, RST, packet.ack, 0, b"", packet.echo)
                self.resets.add(packet.flow())
        elif packet.flags & RST:
            del self.flows[packet.flow()]
        else:
            self.advance(packet, flow)

    def open(self, packet, flow, host):
        if flow is None:
            first = random.randrange(1, 1 << 30)
            flow = self.flows[packet.flow()] = Held(packet, packet.echo)
            flow.end = End(
                lambda flags, seq, ack, data: self.reply(packet, flags, seq, ack, data, flow.echo),
                first + 1,
                packet.seq + 1,
            )
            self.world.on_opening(self, packet, host)
        if not flow.opened:
            end = flow.end
            self.reply(packet, SYN | ACK, end.next - 1, end.expected, b"", flow.echo)

    def advance(self, packet, flow):
        if not flow.opened and packet.ack != flow.end.next:
            return
        if not flow.opened:
            flow.opened = True
            flow.opened_at = time.monotonic()
        flow.echo = packet.echo
        flow.buffer += flow.end.receive(packet)
        if flow.end.peer_closed and not flow.end.closing:
            flow.end.close()
        if flow.end.closed and flow.end.peer_closed:
            self.flows.pop(packet.flow(), None)
            return
        head, separator, rest = flow.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        length = int(fields.get("Content-Length", 0))
        if len(rest) >= length:
            flow.buffer = rest[length:]
            self.spawn(self.work(fields["X-Godwitway-Request-Id"], flow))

    async def work(self, request, flow):
        async with self.free:
            self.world.on_run(self, request)
            await asyncio.sleep(self.work_s)
        body = (request * 30).encode()[:600]
        flow.end.write(
            f"HTTP/1.1 200 OK\r\nX-Godwitway-Server-Stamp: {self.id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        if self.draining:
            flow.end.close()

    def reply(self, to, flags, seq, ack, data, echo):
        packet = Packet(to.dst, to.src, flags, seq, ack, data, echo)
        try:
            self.sock.sendto(packet.encode(), (to.src[0], PACKET_PORT))
        except OSError:
            pass

    async def ticks(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for key, flow in list(self.flows.items()):
                flow.end.tick(now)
                if flow.end.repeats > 8:
                    del self.flows[key]


# --- callers ---------------------------------------------------------------------------------


class Flow:
    """A caller's side of one flow."""

    def __init__(self, caller, to, port, first):
        self.caller = caller
        self.to = to
        self.port = port
        self.first = first
        self.echo = 0
        self.end = None
        self.ended = ""
        self.reset_by = ""
        self.reset_from = ""
        self.answer = b""
        self.changed = asyncio.Event()

    def key(self):
        return (self.caller.ip, self.port, *self.to)

    def transmit(self, flags, seq, ack, data):
        packet = Packet((self.caller.ip, self.port), self.to, flags, seq, ack, data, self.echo)
        self.caller.send(packet)


class Caller:
    """A caller at one address; its packets go through the routers, or directly to one host."""

    def __init__(self, world, ip, zone, host=None):
        self.world = world
        self.ip = ip
        self.zone = zone
        self.host = host  # The only host that gets its packets, or None for the routers' choice.
        self.flows = {}
        self.port = random.randrange(2_000, 50_000)
        self.count = 0
        self.sock = udp_socket((ip, PACKET_PORT), self.read)

    def send(self, packet):
        raw = packet.encode()
        host = self.host or self.world.route(self.zone, raw[9:21])
        if host is not None:
            try:
                self.sock.sendto(raw, (host.ip, PACKET_PORT))
            except OSError:
                pass

    def read(self):
        for raw, source in drain_socket(self.sock):
            packet, right = decode(raw)
            flow = self.flows.get((*packet.src, packet.dst[1]))
            own_reset = packet.flags == RST and not packet.data and packet.total == 0
            if not right and not own_reset:
                self.world.record.breach("MIXED", f"{self.ip} got a packet nobody wrote so")
            elif flow is not None and not flow.ended:
                self.take(flow, packet, right, source[0])

    def take(self, flow, packet, by_target, source):
        if packet.flags & RST:
            if flow.end is not None and not by_target:
                if (packet.seq - flow.end.expected + 76_800) % SPACE > 153_600:
                    return
            flow.ended = "reset"
            flow.reset_by = "target" if by_target else "system"
            flow.reset_from = source
            self.world.on_reset(flow)
        elif packet.flags & SYN:
            if flow.end is None:
                flow.echo = packet.echo
                flow.end = End(flow.transmit, flow.first + 1, packet.seq + 1)
                flow.end.acknowledge()
        elif flow.end is not None:
            flow.echo = packet.echo
            flow.answer += flow.end.receive(packet)
        flow.changed.set()

    def tick(self, now):
        for flow in list(self.flows.values()):
            if flow.end is not None and not flow.ended:
                flow.end.tick(now)

    async def wait(self, flow, until):
        flow.changed.clear()
        try:
            await asyncio.wait_for(flow.changed.wait(), max(0.0, until - time.monotonic()))
        except TimeoutError:
            pass

    async def open(self, to):
        """Open a flow with up to two copies of the opening packet; return it, open or ended."""
        self.port = 2_000 + (self.port - 1_999) % 58_000
        flow = Flow(self, to, self.port, random.randrange(1, 1 << 30))
        self.flows[(*to, self.port)] = flow
        began = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            flow.transmit(SYN, flow.first, copy, b"")
            while flow.end is None and not flow.ended and time.monotonic() < began + until:
                await self.wait(flow, began + until)
            if flow.end is not None or flow.ended:
                return flow
        flow.ended = "unanswered"
        return flow

    async def request(self, flow, deadline_s=1.5, body=b""):
        """Send one request on an open flow; return served, reset or late."""
        self.count += 1
        request = f"{self.ip}-{self.count}"
        self.world.sent.add(request)
        flow.answer = b""
        sent_at = self.world.record.now()
        flow.end.write(
            f"POST / HTTP/1.1\r\nX-Godwitway-Request-Id: {request}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        until = time.monotonic() + deadline_s
        result = "late"
        while time.monotonic() < until and not flow.ended:
            head, separator, rest = flow.answer.partition(b"\r\n\r\n")
            if separator:
                fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
                if len(rest) >= int(fields["Content-Length"]):
                    result = "served"
                    break
            await self.wait(flow, until)
        else:
            result = flow.ended or result
        self.world.ended.add(request)
        runs = ", ".join(self.world.runs.get(request, ["nowhere"]))
        self.world.record.note(
            f"request {request} to {self.world.text_of(flow.to)}: sent at {sent_at:.3f}, "
            f"ran at {runs}, {result}"
        )
        return result, request

    def drop(self, flow):
        self.flows.pop((*flow.to, flow.port), None)
        if not flow.ended:
            flow.ended = "dropped"
            if flow.end is not None:
                flow.transmit(RST, flow.end.next, flow.end.expected, b"")


# --- hosts -----------------------------------------------------------------------------------


class Host:
    """One entry host as a real process, started with the command of the deploy file."""

    def __init__(self, world, name, zone, ip, store_address, seeds):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.misses = 2
        self.log = world.folder / f"{name}.log"
        self.settings = world.folder / f"{name}.json"
        self.disturbed = -1e9  # When it was last disturbed, as the rules count it.
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()
        # As deploy/settings.json renders for a host of a small deployment.
        self.settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "zone": zone,
                    "packets": f"{ip}:{PACKET_PORT}",
                    "ready": f"{ip}:{READY_PORT}",
                    "control": f"{ip}:{CONTROL_PORT}",
                    "metrics": f"{ip}:9464",
                    "peer": f"{ip}:{PEER_PORT}",
                    "store": f"{store_address[0]}:{store_address[1]}",
                    "seeds": seeds,
                    "stop_bound_s": 6,
                }
            )
        )

    def start(self):
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {
            "GODWITWAY_CONFIG": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.disturbed = time.monotonic()
        self.world.record.note(f"{self.name} is started")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.disturbed = time.monotonic()
            self.world.record.note(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def roll(self, grace_s=6.0, pause_s=0.5):
        """Stop the host as planned work does, and start it again."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + grace_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.kill()
        self.world.record.note(f"{self.name} has ended")
        await asyncio.sleep(pause_s)
        self.start()

    def events(self, name):
        """Return the lines that the host has logged of one event."""
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        found = []
        for line in lines:
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == name:
                found.append(entry)
        return found

    def in_touch(self, stable_s=4.0):
        listener = self.world.store.listeners[self.name]
        return not listener.silent and time.monotonic() - self.disturbed > stable_s


class World:
    """The whole deployment: two services, hosts in four zones, callers and routers.

    Its size is that of the small deployment ksm-almaty.
    """

    def __init__(self, record, folder, hosts_by_zone=None, targets_by_zone=None):
        self.record = record
        self.folder = Path(folder)
        self.net = random.randrange(20, 250)
        self.hosts_by_zone = hosts_by_zone or {"a": 2, "b": 2, "c": 1, "d": 1}
        self.targets_by_zone = targets_by_zone or {"a": 2, "b": 2, "c": 2, "d": 1}
        self.store = Store(record)
        self.hosts = []
        self.targets = []
        self.callers = []
        self.sent = set()
        self.ended = set()
        self.version = 3
        self.routes = {}  # (ip, port) -> (type, service)
        self.tasks = []
        self.targets_made = 0
        self.callers_made = 0
        self.on_opening = lambda target, packet, host: None
        self.on_reset = lambda flow: None
        self.runs = {}
        self.steady = time.monotonic

    def ip(self, part, number):
        return f"127.{self.net}.{part}.{number + 1}"

    def on_run(self, target, request):
        self.runs.setdefault(request, []).append(f"{target.id} at {self.record.now():.3f}")
        if request in self.ended:
            self.record.note(f"request {request} runs at {target.id} after its caller gave it up")
        if request not in self.sent:
            self.record.breach("UNASKED", f"{target.id} ran {request}, which nobody sent")

    def service_address(self, number):
        return (self.ip(9, number), 8443)

    def configure(self):
        """Write the next version of the configuration; the store's answer acknowledges it."""
        self.version += random.randrange(1, 4)
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{ip.replace('.', '')}",
                    "host": ip,
                    "prefix": f"/{port}/",
                    "type": kind,
                    "timeout-ms": 1500,
                    "aim-ms": 250,
                    "priority": 2,
                    "service": service,
                    "max-attempts": 2,
                }
                for (ip, port), (kind, service) in self.routes.items()
            ],
            "services": [
                {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1",
                 "tls": False}
                for name in ("desk", "store")
            ],
            "limits": {
                "max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }  # fmt: skip
        revision = self.store.put("op/config", json.dumps(document).encode())
        self.record.note(f"configuration {self.version} acknowledged, revision {revision}")

    async def add_target(self, service, zone, work_s=0.05, number=None):
        self.targets_made += 1
        number = number or random.randrange(1 << 32, 1 << 40)
        target = Target(self, number, service, zone, self.ip(3, self.targets_made), work_s=work_s)
        await target.start()
        self.targets.append(target)
        revision = target.announce()
        self.record.note(f"{target.id} of {service} in {zone} is ready, revision {revision}")
        return target

    def add_caller(self, zone, host=None):
        self.callers_made += 1
        caller = Caller(self, self.ip(5, self.callers_made), zone, host)
        self.callers.append(caller)
        return caller

    async def start(self):
        for number, kind in enumerate(("idempotent", "non_idempotent")):
            self.routes[self.service_address(number)] = (kind, "desk")
        self.routes[self.service_address(2)] = ("download", "store")
        for number in range(110):
            self.routes[self.service_address(100 + number)] = ("idempotent", "desk")
        self.configure()
        for zone, count in self.targets_by_zone.items():
            for _ in range(count):
                await self.add_target("desk", zone)
            await self.add_target("store", zone)
        zones = [zone for zone, count in self.hosts_by_zone.items() for _ in range(count)]
        seeds = [f"{self.ip(1, n)}:{CONTROL_PORT}" for n in range(min(3, len(zones)))]
        for number, zone in enumerate(zones):
            name = f"front-{zone}-{number + 1}"
            address = (self.ip(2, number), STORE_PORT)
            await self.store.listen(name, address)
            host = Host(self, name, zone, self.ip(1, number), address, seeds)
            self.hosts.append(host)
            host.start()
        self.tasks = [asyncio.ensure_future(self.probe(host)) for host in self.hosts]
        self.tasks.append(asyncio.ensure_future(self.ticks()))
        until = time.monotonic() + 20
        while not all(host.misses < 2 for host in self.hosts):
            if time.monotonic() > until:
                raise RuntimeError("the hosts do not become ready")
            await asyncio.sleep(0.1)
        self.record.note("all hosts are ready")

    def holder_of(self, flow):
        """Return the live target that holds a caller's flow as open, or None."""
        for target in self.targets:
            held = target.flows.get(flow.key()) if target.alive else None
            if held is not None and held.opened and flow.key() not in target.resets:
                return target
        return None

    @staticmethod
    def text_of(address):
        return f"{address[0]}:{address[1]}"

    def name_of(self, ip):
        return next((host.name for host in self.hosts if host.ip == ip), ip)

    async def ticks(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for caller in self.callers:
                caller.tick(now)

    async def probe(self, host):
        """Send the routers' readiness probe twice a second."""
        await asyncio.sleep(random.random() * 0.5)
        while True:
            began = time.monotonic()
            ready = False
            try:
                async with asyncio.timeout(0.45):
                    reader, writer = await asyncio.open_connection(host.ip, READY_PORT)
                    try:
                        writer.write(
                            b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                        )
                        ready = b" 200 " in await reader.readline()
                    finally:
                        writer.close()
            except (OSError, TimeoutError):
                pass
            was_in = host.misses < 2
            host.misses = 0 if ready else min(2, host.misses + 1)
            if was_in != (host.misses < 2):
                self.record.note(f"{host.name} {'leaves' if was_in else 'joins'} the rotation")
            await asyncio.sleep(max(0.0, began + 0.5 - time.monotonic()))

    def route(self, zone, flow):
        """Return the host that the zone's router selects for a flow."""
        near = [host for host in self.hosts if host.zone == zone]
        fit = [host for host in near if host.misses < 2]
        if not fit:
            fit = [host for host in self.hosts if host.misses < 2] or near
        elif 2 * len(fit) < len(near):
            fit = near
        return max(
            fit,
            key=lambda host: hashlib.blake2b(flow + host.ip.encode(), digest_size=8).digest(),
            default=None,
        )

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.kill()
        for target in self.targets:
            if target.alive:
                target.stop()
        self.store.close()
        await asyncio.sleep(0.05)


def run(folder, scenario):
    """Run a scenario; return the exit code: 1 rule broken, 0 held, 2 the case could not run."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if trouble else 'no'}")
    scratch = tempfile.mkdtemp(prefix="review-")

    async def play():
        # A script that is stopped still ends the processes that it started.
        loop, main = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, main.cancel)
        world = World(record, scratch)
        try:
            async with asyncio.timeout(110):
                await scenario(world, trouble)
        finally:
            await world.close()
            for host in world.hosts:
                if host.log.exists() and os.environ.get("KEEP_LOGS"):
                    shutil.copy(host.log, os.environ["KEEP_LOGS"])

    code = 2
    try:
        asyncio.run(play())
        code = 1 if record.broken else 0
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"the case could not run: {error!r}")
        code = 2
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    record.note(f"exit code {code}, {len(record.broken)} breaches")
    record.close()
    print(f"exit code {code}, {len(record.broken)} breaches; see record.txt")
    sys.exit(code)
