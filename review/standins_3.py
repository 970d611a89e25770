"""Stand-ins of the platform for the scripts of this review: store, routers, targets, clients.

They use the standard library alone and speak what PROTOCOL.md describes, on loopback addresses.
The hosts are real processes, started with the command of `deploy/system.toml`.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import time
import urllib.parse
import zlib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parent.parent
HEADER = struct.Struct("<IIBHIIHHII")
SYN, ACK, FIN, RST, BOUNCED = 16, 1, 8, 32, 64
SUM_KEY = b"review"
COPIES_S = (0.2, 0.6)
OPENING_S = 1.4
FIRST_RETRANSMISSION_S, LONGEST_RETRANSMISSION_S = 0.2, 1.6
MAX_RETRANSMISSIONS = 8
STORE_ANSWER_S = 0.004
BEAT_S = 1.2


def ip_number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def packet_sum(raw):
    return zlib.crc32(SUM_KEY + bytes([raw[8] & ~BOUNCED]) + raw[9:]) or 1


def encode(source, destination, flags, sequence, acknowledged, data=b"", echo=0):
    raw = HEADER.pack(
        echo, 0, flags, destination[1], ip_number(destination[0]), ip_number(source[0]), source[1],
        len(data), sequence % (1 << 32), acknowledged % (1 << 32),
    ) + data
    return raw[:4] + struct.pack("<I", packet_sum(raw)) + raw[8:]


class Packet:
    def __init__(self, raw):
        (self.echo, total, self.flags, dport, dst, src, sport, length, self.sequence,
         self.acknowledged) = HEADER.unpack_from(raw)
        self.source, self.destination = (ip_text(src), sport), (ip_text(dst), dport)
        self.data = raw[HEADER.size:]
        self.is_genuine = length == len(self.data) and total == packet_sum(raw)
        self.is_system_reset = self.flags == RST and not self.data and total == 0


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {what} {text}\n")
        self.file.flush()


class Store:
    """The metadata store. `refuses()` names how calls are refused: "", "busy" or "silent"."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.revision = 10
        self.history = []
        self.changed = asyncio.Condition()
        self.refuses = lambda: ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                refusal = self.refuses()
                if refusal == "silent":
                    await asyncio.sleep(600)
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = (503, {}) if refusal else await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                         "store-revision": self.revision}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"store-revision": self.revision}) if item else (404, {})
        if url.path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]))
        if url.path == "/kv-txn" and method == "POST":
            return await self.transact(json.loads(body))
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass

    async def transact(self, body):
        for row in body["expected-rev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        if any(put["key"].startswith(("op/", "servers/")) for put in body["puts"]):
            return 403, {}
        for put in body["puts"]:
            await self.put(put["key"], base64.b64decode(put["value"]))
        for key in body["remove"]:
            await self.delete(key)
        return 200, {"revision": self.revision}


class Target:
    """One server. `on_take(target, key)` and `on_run(target, request)` tell what it does."""

    def __init__(self, world, number, service, zone, address, work_s, slots=2, queue=8):
        self.world, self.number, self.service, self.zone = world, number, service, zone
        self.id = f"i-{number:08x}"
        self.address, self.work_s, self.slots, self.queue = address, work_s, slots, queue
        self.born = 0
        self.sequence = 0
        self.cold_until = 0.0
        self.draining = False
        self.flows = {}
        self.tasks = set()
        self.written = None

    def spawn(self, job):
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, cold_s=0.0):
        self.flows, self.sequence, self.running, self.waiting = {}, 0, 0, 0
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.free = asyncio.Semaphore(self.slots)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)
        self.health = await asyncio.start_server(self.answer_health, *self.address)
        await self.write_entry()
        self.spawn(self.beat())
        self.spawn(self.tick())

    async def crash(self):
        for task in list(self.tasks):
            task.cancel()
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
        self.health.close()

    def cold_left_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def write_entry(self):
        """Write the entry; the store's item changes when more than the sequence changes."""
        self.sequence += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                 "version": "v1", "concurrency": self.slots,
                 "state": "draining" if self.draining else "ready",
                 "cold-left-ms": self.cold_left_ms(), "born": self.born}
        if entry != self.written or f"servers/{self.id}" not in self.world.store.items:
            self.written = entry
            await self.world.store.put(
                f"servers/{self.id}", json.dumps(entry | {"sequence": self.sequence}).encode())

    async def beat(self, first_s=None):
        await asyncio.sleep(random.uniform(0.0, BEAT_S) if first_s is None else first_s)
        while True:
            await self.write_entry()
            await asyncio.sleep(BEAT_S)

    async def answer_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nX-Godwitway-Instance-Id: " + self.id.encode()
                         + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def read(self):
        while True:
            try:
                raw, sender = self.socket.recvfrom(2048)
            except BlockingIOError:
                return
            if int.from_bytes(raw[:8], "big") in (0, self.number):
                self.take(Packet(raw[8:]), sender[0])

    def reply(self, packet, flags, sequence, acknowledged, data=b"", echo=0):
        raw = encode(packet.destination, packet.source, flags, sequence, acknowledged, data, echo)
        self.socket.sendto(raw, (packet.source[0], self.world.packet_port))

    def take(self, packet, sender):
        if not packet.is_genuine:
            self.world.record.line("FORGED", target=self.id)
            return
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                first = random.randrange(1, 1 << 31)
                flow = self.flows[key] = {
                    "seq": first, "next": first + 1, "expected": packet.sequence + 1,
                    "open": False, "request": None, "answer": b""}
                self.world.on_take(self, key, sender)
            if not flow["open"]:
                self.reply(packet, SYN | ACK, flow["seq"], flow["expected"], echo=packet.echo)
            return
        if flow is None:
            if not packet.flags & RST:
                self.reply(packet, RST, packet.acknowledged, 0, echo=packet.echo)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            if packet.acknowledged != flow["seq"] + 1:
                return
            flow["open"] = True
        flow["packet"] = packet
        if flow["answer"] and packet.acknowledged == flow["next"]:
            flow["answer"] = b""
            if self.draining:  # It closes each flow after its next response.
                self.reply(packet, FIN | ACK, flow["next"], flow["expected"], echo=packet.echo)
                flow["next"] += 1
        if packet.data and packet.sequence == flow["expected"] and flow["request"] is None:
            flow["expected"] += len(packet.data)
            flow["request"] = re.search(rb"Request-Id: (\S+)", packet.data)[1].decode()
            self.spawn(self.work(key, flow))
        elif packet.data and flow["answer"]:
            self.send_answer(flow)
        elif packet.data:
            self.reply(packet, ACK, flow["next"], flow["expected"], echo=packet.echo)
        if packet.flags & FIN and not flow["answer"]:
            self.reply(packet, FIN | ACK, flow["next"], flow["expected"] + 1, echo=packet.echo)
            asyncio.get_running_loop().call_later(2.0, self.flows.pop, key, None)

    async def work(self, key, flow):
        request = flow["request"]
        if self.waiting >= self.queue and self.free.locked():
            self.finish(flow, "503 Busy", "X-Godwitway-Not-Executed: 1\r\n", b"")
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.world.on_run(self, request)
            await asyncio.sleep(self.work_s * (1.6 if self.cold_left_ms() else 1.0))
        self.finish(flow, "200 OK", f"X-Godwitway-Server-Stamp: {self.id}\r\n",
                    (request * 40).encode()[:600])

    def finish(self, flow, status, headers, body):
        flow["answer"] = (f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
                          ).encode() + body
        flow["request"] = None
        flow["answer_at"] = flow["next"]
        flow["next"] += len(flow["answer"])
        flow["tries"], flow["pause"] = 0, FIRST_RETRANSMISSION_S
        flow["again_at"] = time.monotonic() + flow["pause"]
        self.send_answer(flow)

    def send_answer(self, flow):
        packet = flow["packet"]
        self.reply(packet, ACK, flow["answer_at"], flow["expected"], flow["answer"], packet.echo)

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for key, flow in list(self.flows.items()):
                if flow["answer"] and now >= flow["again_at"]:
                    flow["tries"] += 1
                    flow["pause"] = min(2 * flow["pause"], LONGEST_RETRANSMISSION_S)
                    flow["again_at"] = now + flow["pause"]
                    if flow["tries"] > MAX_RETRANSMISSIONS:
                        del self.flows[key]
                    else:
                        self.send_answer(flow)


class Client:
    """Sends requests, with a flow for each."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.port = random.randrange(1024, 50000)
        self.count = 0
        self.attempts = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, world.packet_port))
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self):
        while True:
            try:
                packet = Packet(self.socket.recv(2048))
            except BlockingIOError:
                return
            queue = self.attempts.get((packet.destination[1], packet.source))
            if queue is not None:
                queue.put_nowait(packet)

    async def request(self, service_address, deadline_s=2.0, retries=2):
        """Send a request; a further try follows only where it has not run."""
        deadline = time.monotonic() + deadline_s
        for _ in range(1 + retries):
            self.count += 1
            request = f"{self.name}-{self.count}"
            result, may_repeat = await self.attempt(request, service_address, deadline)
            self.world.record.line("answer", request=request, result=result)
            if not may_repeat or time.monotonic() >= deadline:
                return result
        return result

    async def attempt(self, request, address, deadline):
        self.port = 1024 + (self.port - 1023) % 60000
        source = (self.ip, self.port)
        queue = self.attempts[(self.port, address)] = asyncio.Queue()
        first = random.randrange(1, 1 << 31)
        sent_at = time.monotonic()
        self.world.sent_at[(source, address)] = sent_at
        self.world.record.line("send", request=request, client=f"{self.ip}:{self.port}")
        flow = f"{source}{address}".encode()

        def send(flags, sequence, acknowledged, data=b"", echo=0):
            raw = encode(source, address, flags, sequence, acknowledged, data, echo)
            self.world.router.send(self.zone, flow, raw)

        try:
            answer = None
            for copy, until in enumerate((*COPIES_S, OPENING_S)):
                send(SYN, first, copy)
                answer = await self.wait(queue, min(sent_at + until, deadline))
                if answer is not None:
                    break
            if answer is None or answer.flags & RST:
                return ("reset at opening" if answer else "not opened"), True
            echo, expected = answer.echo, answer.sequence + 1
            head = f"POST /x HTTP/1.1\r\nX-Godwitway-Request-Id: {request}\r\nContent-Length: 900\r\n\r\n"
            data = head.encode() + b"x" * 900
            pause = FIRST_RETRANSMISSION_S
            while True:
                send(ACK, first + 1, expected, data, echo)
                packet = await self.wait_for_data(queue, min(time.monotonic() + pause, deadline))
                if packet is not None:
                    break
                if time.monotonic() >= deadline:
                    return "deadline", False
                pause = min(2 * pause, LONGEST_RETRANSMISSION_S)
            if packet.flags & RST:
                return "reset", False
            end = expected + len(packet.data)
            send(ACK | FIN, first + 1 + len(data), end, b"", packet.echo)
            asyncio.get_running_loop().call_later(
                0.2, send, ACK | FIN, first + 1 + len(data), end, b"", packet.echo)
            if b" 503 " in packet.data.split(b"\r\n")[0]:
                return "refused", True
            is_own = packet.data.endswith((request * 40).encode()[:600])
            return ("served" if is_own else "WRONG"), False
        finally:
            asyncio.get_running_loop().call_later(
                1.0, self.attempts.pop, (source[1], address), None)

    async def keep_flow(self, address, pause_s, seconds, on_end):
        """Open a flow and send one request after another on it, with pauses between them.

        `on_end(flow, reason, packet)` is called once, with "reset" if a reset ended the flow.
        """
        self.port = 1024 + (self.port - 1023) % 60000
        source = (self.ip, self.port)
        queue = self.attempts[(self.port, address)] = asyncio.Queue()
        flow, key = f"{source}{address}".encode(), (source, address)
        until = time.monotonic() + seconds
        sequence = random.randrange(1, 1 << 31)
        self.world.sent_at[key] = time.monotonic()

        def send(flags, sequence, acknowledged, data=b"", echo=0):
            raw = encode(source, address, flags, sequence, acknowledged, data, echo)
            self.world.router.send(self.zone, flow, raw)

        answer = None
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            send(SYN, sequence, copy)
            answer = await self.wait(queue, time.monotonic() + wait_s)
            if answer is not None:
                break
        if answer is None or answer.flags & RST:
            return on_end(key, "not opened", answer)
        sequence, expected, echo = sequence + 1, answer.sequence + 1, answer.echo
        send(ACK, sequence, expected, b"", echo)
        while time.monotonic() < until:
            packet = await self.wait_for_end(
                queue, time.monotonic() + pause_s * random.uniform(0.5, 1.5))
            if packet is not None and packet.flags & RST:
                return on_end(key, "reset", packet)
            if packet is not None:
                send(ACK | FIN, sequence, expected + 1, b"", echo)
                return on_end(key, "closed by the target", packet)
            self.count += 1
            request = f"{self.name}-{self.count}"
            self.world.record.line("send", request=request, client=f"{self.ip}:{self.port}")
            head = f"POST /x HTTP/1.1\r\nX-Godwitway-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n"
            data, tries, pause = head.encode(), 0, FIRST_RETRANSMISSION_S
            while True:
                send(ACK, sequence, expected, data, echo)
                packet = await self.wait_for_data(queue, time.monotonic() + pause, expected)
                if packet is not None:
                    break
                tries, pause = tries + 1, min(2 * pause, LONGEST_RETRANSMISSION_S)
                if tries > 3:
                    self.world.record.line("answer", request=request, result="deadline")
                    return on_end(key, "deadline", None)
            if packet.flags & RST:
                self.world.record.line("answer", request=request, result="reset")
                return on_end(key, "reset", packet)
            self.world.record.line("answer", request=request, result="served")
            sequence += len(data)
            expected += len(packet.data)
            echo = packet.echo
            send(ACK, sequence, expected, b"", echo)
        send(ACK | FIN, sequence, expected, b"", echo)
        return on_end(key, "closed", None)

    async def wait(self, queue, until):
        try:
            return await asyncio.wait_for(queue.get(), max(0.0, until - time.monotonic()))
        except TimeoutError:
            return None

    async def wait_for_end(self, queue, until):
        """Return the packet that ends the flow, None if none arrives in time."""
        while True:
            packet = await self.wait(queue, until)
            if packet is None or packet.flags & (RST | FIN):
                return packet

    async def wait_for_data(self, queue, until, expected=None):
        while True:
            packet = await self.wait(queue, until)
            if packet is None or packet.flags & RST:
                return packet
            if packet.data and expected in (None, packet.sequence):
                return packet


class Router:
    """The platform's routers: a steady hash over the hosts of the zone that are in rotation."""

    def __init__(self, world):
        self.world = world
        self.misses = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def choose(self, zone, flow):
        near = [host for host in self.world.hosts if host.zone == zone]
        fit = [host for host in near if self.misses.get(host.name, 2) < 2]
        if not fit:
            fit = [h for h in self.world.hosts if self.misses.get(h.name, 2) < 2] or near
        elif 2 * len(fit) < len(near):
            fit = near
        return max(fit, key=lambda h: hashlib.blake2b(flow + h.name.encode()).digest())

    def send(self, zone, flow, raw):
        host = self.choose(zone, flow)
        self.socket.sendto(raw, (host.ip, self.world.packet_port))

    async def run(self):
        while True:
            await asyncio.gather(*(self.probe(host) for host in self.world.hosts))
            await asyncio.sleep(0.5)

    async def probe(self, host):
        is_ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(host.ip, self.world.ready_port)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        self.misses[host.name] = 0 if is_ready else min(2, self.misses.get(host.name, 2) + 1)


class Host:
    """One host as a process, with the settings that `deploy/settings.json` makes."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None
        self.settings = world.folder / f"{name}.json"

    def start(self, first_start=False):
        world = self.world
        settings = {
            "name": self.name, "zone": self.zone,
            "packets": f"{self.ip}:{world.packet_port}", "ready": f"{self.ip}:{world.ready_port}",
            "control": f"{self.ip}:{world.control_port}", "metrics": f"{self.ip}:9464",
            "peer": f"{self.ip}:{world.peer_port}", "store": "%s:%d" % world.store.address,
            "seeds": [f"{host.ip}:{world.control_port}" for host in world.hosts[:3]],
            "regions": {zone: "region" for zone in world.zones},
        }
        if first_start:
            settings["first_start"] = True
        settings |= world.limits | {"stop_bound_s": 6}
        self.settings.write_text(json.dumps(settings, indent=2))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment |= {"GODWITWAY_CONFIG": str(self.settings), "PYTHONPATH": "target/deps"}
        command = ["python3", "-S", "-P", "target/deps/godwitway_platform/__main__.py"]
        with (world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def log_lines(self, event):
        text = (self.world.folder / f"{self.name}.log").read_text(errors="replace")
        lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return [line for line in lines if line["event"] == event]

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def free_port(ips, kinds=(socket.SOCK_STREAM, socket.SOCK_DGRAM)):
    """Return a port that is free at all of some addresses."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        try:
            for ip in ips:
                for kind in kinds:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return port
    raise RuntimeError("no free port")


def claim_net():
    """Return a net of loopback addresses that no other script uses, and a socket that claims it."""
    for number in random.sample(range(64, 250), 20):
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind((f"127.{number}.250.1", 19999))
        except OSError:
            claim.close()
            continue
        return f"127.{number}", claim
    raise RuntimeError("no free net")


class World:
    """A small deployment: three zones, hosts, targets and clients."""

    def __init__(self, case_folder, work_folder, hosts, limits=None):
        self.record = Record(case_folder)
        self.folder = Path(work_folder)
        self.limits = limits or {}
        self.zones = list(hosts)
        self.net, self.claim = claim_net()
        self.hosts = []
        ips = {}
        for index, (zone, count) in enumerate(hosts.items()):
            for number in range(count):
                ips[f"front-{zone}-{number + 1}"] = (zone, f"{self.net}.{index + 1}.{number + 10}")
        addresses = [ip for _, ip in ips.values()]
        self.packet_port = free_port([*addresses, f"{self.net}.40.1"])
        self.ready_port = free_port(addresses)
        self.control_port = free_port(addresses)
        self.peer_port = free_port(addresses)
        self.store = Store((f"{self.net}.30.1", free_port([f"{self.net}.30.1"])))
        self.hosts += [Host(self, name, zone, ip) for name, (zone, ip) in ips.items()]
        self.router = Router(self)
        self.targets, self.clients, self.tasks = [], [], []
        self.sent_at = {}
        self.on_take = lambda target, key, sender: None
        self.on_run = lambda target, request: self.record.line(
            "run", target=target.id, request=request)

    async def configure(self, version, routes, services, idle_ms=15000):
        """Write a configuration; `routes` has (name, address, type, service) of each route."""
        document = {
            "version": version,
            "routes": [
                {"name": name, "host": address[0], "prefix": f"/{address[1]}/", "type": kind,
                 "timeout-ms": 3280, "aim-ms": 328, "priority": 1, "service": service,
                 "max-attempts": 2}
                for name, address, kind, service in routes],
            "services": [
                {"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1",
                 "tls": False, "cold-start-s": 2.0, "cold-per-s": 0.0} for name in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": idle_ms},
        }
        await self.store.put("op/config", json.dumps(document).encode())
        self.record.line("config", version=version)

    async def add_target(self, number, service, zone, work_s=0.029):
        ip = f"{self.net}.{20 + self.zones.index(zone)}.{number % 250 + 1}"
        target = Target(self, number, service, zone, (ip, free_port([ip])), work_s)
        self.targets.append(target)
        await target.start()
        return target

    def add_clients(self, zone, count):
        for number in range(count):
            ip = f"{self.net}.{40 + self.zones.index(zone)}.{number + 1}"
            self.clients.append(Client(self, f"{zone}{number}", zone, ip))

    async def wait_ready(self, seconds=15.0):
        self.tasks.append(asyncio.ensure_future(self.router.run()))
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all(self.router.misses.get(host.name, 2) < 2 for host in self.hosts):
                return True
            await asyncio.sleep(0.1)
        return False

    async def ask(self, client, address, per_s):
        """Send requests at a rate, without waiting for the answers."""
        pending = set()
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            task = asyncio.ensure_future(client.request(address))
            pending.add(task)
            task.add_done_callback(pending.discard)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.kill()
        self.claim.close()


def main(scenario, case_folder, work_folder):
    """Run a scenario; it returns whether the rule held, or None if it could not run."""

    async def run():
        holder = []
        try:
            async with asyncio.timeout(110):
                return await scenario(holder, case_folder, work_folder)
        finally:
            for world in holder:
                await world.close()

    def stop(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        held = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:  # Whatever it was, the case could not run.
        say(f"could not run: {error!r}")
        sys.exit(2)
    say({True: "held", False: "BROKEN", None: "could not run"}[held])
    sys.exit({True: 0, False: 1, None: 2}[held])


def say(text):
    """Print a line; an output that is closed or full does not change the exit status."""
    try:
        print(text, flush=True)
    except OSError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
