"""Stand-in of the platform for the scripts of the third review: its store, engines, and a client, on loopback.

Follows the users' pages PROTOCOL.md and DEPLOY.md. Needs Python's standard library only.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "rml-gatewayd")
HEARTBEAT_S = 1.2
LOAD_S, WARM_S = 2.0, 1.1


class CannotRun(Exception):
    """The case cannot run here (exit 2)."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.out.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.out.flush()


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        out = bytearray()
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise ConnectionError("the body was cut")
            size = int(line.split(b";")[0], 16)
            out += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return bytes(out)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Store:
    """The metadata store of the platform."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.era = 0
        self.oldest = 0   # revision before the history that is kept
        self.away = False
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return server

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createRev"] if key in self.items else self.revision
        row = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
               "createRev": created, "lease": lease}
        self.items[key] = row
        self.history.append(row)
        self.notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, row in self.items.items() if row["lease"] == lease]:
            self.remove(key)

    def copy(self):
        return dict(self.items), dict(self.leases), self.revision, self.next_lease

    def return_to(self, copy):
        """A drill: the store comes back from an older copy, in a new era."""
        self.items, self.leases, self.revision, self.next_lease = dict(copy[0]), dict(copy[1]), copy[2], copy[3]
        self.history = []
        self.oldest = self.revision
        self.era += 1
        self.notify()

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, until) in self.leases.items() if until <= now]:
            self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, document = await self.answer(method, target, body)
                headers = [("Content-Type", "application/json")]
                if self.era:
                    headers.append(("Store-Era", str(self.era)))
                writer.write(answer_bytes(status, headers, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        if self.away:
            return 503, {}
        self.expire()
        parts = urlsplit(target)
        path = parts.path
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        if path == "/kv-range":
            return self.range(query)
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-key":
            row = self.items.get(query.get("key", ""))
            return (200, dict(row, storeRevision=self.revision)) if row else (404, {})
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttlMs"]))
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttlMs": ttl}
        name = int(unquote(path.rsplit("/", 1)[1])) if path.count("/") == 2 else 0
        if name not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[name][0]
            self.leases[name] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}
        self.end_lease(name)
        return 200, {}

    def range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
        page = keys[:500]
        return 200, {"items": [self.items[k] for k in page], "truncated": len(keys) > len(page),
                     "storeRevision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after > self.revision or after < self.oldest:
                return 410, {}
            self.expire()
            events = [e for e in self.history if e["rev"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        rows = body.get("expected", [])
        current = [self.items[r["key"]] for r in rows if r["key"] in self.items]
        if any((self.items[r["key"]]["rev"] if r["key"] in self.items else 0) != r["rev"] for r in rows):
            return 412, {"items": current}
        for row in body.get("puts", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.revision}


class Engine:
    """A server of a plain service."""

    def __init__(self, store, record, name, service, slots=6, zone="z1"):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.slots, self.zone = slots, zone
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.work_s = 0.03
        self.bytes_per_s = None  # None: reads at once
        self.down = False
        self.runs = {}
        self.busy = 0

    async def start(self):
        await self.listen()
        self.beat()
        self.task = asyncio.ensure_future(self.heartbeat())

    async def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=64 * 1024)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "phase": "ready", "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    def beat(self):
        self.store.put("servers/" + self.name, json.dumps(self.entry()).encode())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.down:
                self.sequence += 1
                self.beat()

    async def take_body(self, reader, headers):
        """Reads a body with a length, at the engine's speed."""
        left = int(headers.get("content-length", "0"))
        while left > 0:
            part = await reader.read(min(left, 32 * 1024))
            if not part:
                raise ConnectionError
            left -= len(part)
            if self.bytes_per_s:
                await asyncio.sleep(len(part) / self.bytes_per_s)

    async def respond(self, line, headers, reader, writer, rid):
        await self.take_body(reader, headers)
        self.runs[rid] = self.runs.get(rid, 0) + 1
        self.record("engine %s runs %s" % (self.name, rid))
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, [("X-Rosemarylever-Request-Id", rid),
                                        ("X-Rosemarylever-Response-Seal", "s-%s-%s" % (self.name, rid))],
                                  b"done " + rid.encode()))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None or self.down:
                    break
                line, headers = head
                rid = headers.get("x-rosemarylever-request-id", "")
                if headers.get("x-rosemarylever-expect-instance", self.name) != self.name:
                    await self.take_body(reader, headers)
                    writer.write(answer_bytes(421, [("X-Rosemarylever-Request-Id", rid),
                                                    ("X-Rosemarylever-Not-Executed", "1")]))
                    continue
                await self.respond(line, headers, reader, writer, rid)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def describe(order):
    return "%s %s" % (order.get("operation"), order.get("group", order.get("model", "")))


class GroupEngine(Engine):
    """A model engine. The head of an open group answers requests as streams; the others answer 421."""

    def __init__(self, store, record, name, service, fabric, engines, slots=26, zone="z1"):
        super().__init__(store, record, name, service, slots, zone)
        self.fabric, self.engines = fabric, engines
        engines[name] = self
        self.group = None
        self.highest = 0
        self.last_model = ""  # of its last group since its start
        self.staged = []      # on its host, which keeps one model, also over a restart
        self.worked = False   # loads take a tenth of the time before the first request
        self.event_s = 0.03
        self.draining = False
        self.late = None  # called with each order; True: it gets no answer, and the caller runs it later

    def state(self):
        out = {"stage": "both", "staged": self.staged, "domain": self.fabric, "sequence": self.sequence, "born": self.born,
               "models": [{"name": self.last_model, "version": 1, "adapters": []}] if self.last_model else []}
        if self.group:
            out["group"] = {"name": self.group["name"], "epoch": self.group["epoch"], "phase": self.group["phase"],
                            "rank": self.group["members"].index(self.name)}
        return out

    def entry(self):
        return dict(super().entry(), phase="draining" if self.draining else "ready", **self.state())

    def change(self):
        self.sequence += 1
        self.beat()

    async def crash(self, for_s):
        """srv_crash: the engine is down for a while and starts again under its id."""
        self.record("engine %s crashes" % self.name)
        self.down, self.group, self.last_model, self.highest, self.busy = True, None, "", 0, 0
        self.server.close()
        self.store.remove("servers/" + self.name)
        await asyncio.sleep(for_s)
        self.down = False
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.listen()
        self.record("engine %s is back" % self.name)
        self.change()

    def order(self, order):
        operation = order.get("operation")
        if operation == "stage":
            asyncio.get_running_loop().call_later(LOAD_S, self.stage, order["model"], self.born)
            return 202
        name, epoch = order.get("group"), order.get("epoch")
        mine = self.group and (self.group["name"], self.group["epoch"]) == (name, epoch)
        if operation == "join":
            if mine:
                return 200 if self.group["members"] == order["members"] else 412
            if epoch < self.highest:
                return 412
            self.highest = epoch
            self.group = {"name": name, "epoch": epoch, "model": order["model"], "members": order["members"],
                          "phase": "joining"}
            self.change()
            time_s = (0.2 if order["model"] == self.last_model else WARM_S if order["model"] in self.staged
                      else LOAD_S if self.worked else LOAD_S / 10)
            asyncio.get_running_loop().call_later(time_s, self.joined, epoch)
            return 202
        if operation == "leave":
            if mine:
                self.group = None
                self.change()
                return 202
            return 200
        if not mine:
            return 409
        if operation == "open":
            if self.group["phase"] == "open":
                return 200
            if self.group["phase"] != "ready":
                return 409
            self.group["phase"] = "open"
            self.change()
            return 202
        if operation == "close":
            if self.group["phase"] != "open":
                return 409
            self.group["phase"] = "ready"
            self.change()
            return 202
        return 400

    def stage(self, model, born):
        if self.born == born and not self.down:
            self.staged = [model]
            self.change()

    def joined(self, epoch):
        if self.group and self.group["epoch"] == epoch and self.group["phase"] == "joining":
            self.group["phase"] = "ready"
            self.last_model = self.group["model"]
            self.staged = [self.last_model]
            self.change()

    async def respond(self, line, headers, reader, writer, rid):
        method, target, _ = line.split(" ", 2)
        if target == "/order":
            order = json.loads(await read_body(reader, headers))
            if self.late and self.late(self, order):
                await asyncio.sleep(13)  # no answer
                raise ConnectionError
            status = self.order(order)
            self.record("engine %s: %s -> %d" % (self.name, describe(order), status))
            writer.write(answer_bytes(status, [("Content-Type", "application/json")], b"{}"))
            return
        if target == "/report":
            body = dict(self.state(), busy=False, queued=0, active=self.busy, kvUsed=0, kvTotal=1400000, handles=0,
                        pace=1.0)
            writer.write(answer_bytes(200, [("Content-Type", "application/json")], json.dumps(body).encode()))
            return
        echo = "X-Rosemarylever-Request-Id: %s\r\n" % rid
        group = self.group
        if not group or group["phase"] != "open" or group["members"][0] != self.name or self.busy >= self.slots:
            await self.take_body(reader, headers)
            status = 421 if not group or group["members"][0] != self.name else 503
            writer.write(answer_bytes(status, [("X-Rosemarylever-Request-Id", rid),
                                               ("X-Rosemarylever-Not-Executed", "1")]))
            return
        self.busy += 1
        for engine in self.engines.values():
            engine.worked = True
        try:
            await self.take_body(reader, headers)
            self.runs[rid] = self.runs.get(rid, 0) + 1
            self.record("engine %s runs %s" % (self.name, rid))
            first = int(headers.get("last-event-id", "0")) + 1
            writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                          "X-Rosemarylever-Response-Seal: s-%s-%s\r\nTransfer-Encoding: chunked\r\n\r\n"
                          % (echo, self.name, rid)).encode())
            for number in range(first, 6):
                await asyncio.sleep(self.event_s)
                event = b"id: %d\ndata: t%d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
        finally:
            self.busy -= 1


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Daemon:
    """A process of the system, started as the deploy file says."""

    def __init__(self, store, record, name, directory, memory_mb=260, descriptors=4100, zone="z1", bounds=None):
        self.record, self.name = record, name
        self.memory_mb = memory_mb
        # An address of its own, so that nothing else takes its ports between this and its start.
        self.ip = "127.%d.%d.%d" % tuple(random.randint(1, 254) for _ in range(3))
        self.ports = {k: free_port(self.ip) for k in ("caller", "readiness", "entries", "metrics", "peer")}
        self.settings = {
            "daemon": name, "region": "r1", "failure_domain": zone,
            "listen": {k: "%s:%d" % (self.ip, p) for k, p in self.ports.items()},
            "store": {"address": store.address, "writes_per_s": 400, "reads_per_s": 2000,
                      "shortest_lease_ms": 1000},
            "registry_heartbeat_ms": int(HEARTBEAT_S * 1000), "memory_mb": memory_mb, "max_fds": descriptors,
            "cpu_share": 0.25,
            "bounds": dict({"drain_ms": 2000, "stop_grace_s": 8, "config_apply_ms": 2000, "stall_ms": 5000,
                            "retry_share": 0.2, "retry_window_s": 10, "retry_slack": 130,
                            "entry_lifetime_s": 5}, **(bounds or {}))}
        self.file = os.path.join(directory, name + ".json")
        self.log = open(os.path.join(directory, name + ".log"), "ab")
        self.process = None
        self.ends = 0
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)

    def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no " + PROGRAM)
        self.process = subprocess.Popen([PROGRAM], cwd=REPOSITORY, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ.get("PATH", ""), "ROSEMARYLEVER_SETTINGS": self.file})
        self.record("%s started" % self.name)

    async def wait_ready(self, limit=10):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await get_status(self.ip, self.ports["readiness"], "/ready") == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s is not ready" % self.name)

    def stop(self, with_signal=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(with_signal)
            self.process.wait()


async def get_status(ip, port, path):
    """Status of one GET on a new connection; 0 without an answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        return int(head[0].split(" ")[1]) if head else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        writer.close()


def plain_route(name, prefix, kind, service, timeout_ms=2500, attempts=2):
    return {"name": name, "hostname": "site.example", "prefix": prefix, "type": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 150, "priority": 2, "service": service, "maxAttempts": attempts, "public": False}


def configuration(routes, services, version=3):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "branch", "apiKeys": ["key-1"]}]}


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 464, "coldStartS": 0.0, "coldPerS": 0.0}


def stream_route(name, prefix, service, timeout_ms=8000, attempts=2):
    return {"name": name, "hostname": "site.example", "prefix": prefix, "type": "streaming", "timeoutMs": timeout_ms,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": attempts, "public": False,
            "sticky": True, "resumable": True, "gapAimMs": 300}


def model_service(name, size=2):
    return {"name": name, "healthPath": "/health", "maxConnections": 464, "coldStartS": 3.0, "coldPerS": 36.0,
            "engine": {"slots": 26, "stride": 5, "formMs": 300, "step_ms": 6.07, "per_seq_ms": 0.241,
                       "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048,
                       "report_lag_ms": 200.0, "loadsPerS": 4.0, "loads_at_once": 6, "keeps": 1, "far_x": 3.0,
                       "delays": [], "usual": {"prompt": 1076, "answer": 116},
                       "models": [{"name": "m1", "size": size, "share": 1.0, "pace": 1.0, "loadS": LOAD_S,
                                   "warmS": WARM_S}]}}


def request_head(path, rid, length, deadline_ms=2500, method="POST", more=""):
    return ("%s %s HTTP/1.1\r\nHost: site.example\r\nX-Rosemarylever-Request-Id: %s\r\n"
            "X-Rosemarylever-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%sContent-Length: %d\r\n\r\n"
            % (method, path, rid, deadline_ms, more, length)).encode()


def temporary_directory():
    return tempfile.TemporaryDirectory(prefix="rml-review-")


class Caller:
    """An ordinary client: sends one request after the other on a connection that it keeps open."""

    def __init__(self, record, daemon, name, path, body=b"order", deadline_ms=2500, key="key-1"):
        self.record, self.daemon, self.name, self.path = record, daemon, name, path
        self.body, self.deadline_ms, self.key = body, deadline_ms, key
        self.answers = []  # (id, status, sent at)
        self.cut = []      # ids whose connection ended without an answer, not the first on its connection
        self.stopped = False
        self.headers = ""

    async def run(self, pause_s=0.0):
        number = 0
        while not self.stopped:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.daemon.ip, self.daemon.ports["caller"]), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            first = True
            try:
                while not self.stopped:
                    number += 1
                    rid = "%s-%d" % (self.name, number)
                    sent = time.monotonic()
                    head = request_head(self.path, rid, len(self.body), self.deadline_ms, more=self.headers)
                    writer.write(head.replace(b"key-1", self.key.encode()) + self.body)
                    answer = None
                    try:
                        answer = await asyncio.wait_for(read_head(reader), self.deadline_ms / 1000 + 1)
                        body = await read_body(reader, answer[1]) if answer else b""
                    except (ConnectionError, OSError, asyncio.IncompleteReadError):
                        answer = None
                    except asyncio.TimeoutError:
                        self.record("%s: no answer within its deadline" % rid)
                        break
                    if answer is None:
                        self.record("%s: the connection ended without an answer%s"
                                    % (rid, "" if not first else " (first request on it)"))
                        if not first:
                            self.cut.append(rid)
                        break
                    status = int(answer[0].split(" ")[1])
                    self.record("%s: %d, %d bytes" % (rid, status, len(body)))
                    self.answers.append((rid, status, sent))
                    first = False
                    if answer[1].get("connection", "").lower() == "close":
                        break
                    if pause_s or status != 200:
                        await asyncio.sleep(max(pause_s, 0.05))
            except (ConnectionError, OSError):
                pass
            finally:
                writer.close()
            await asyncio.sleep(0.05)


async def open_groups(engines, wanted, limit=15):
    """Waits until so many groups are open."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if sum(1 for e in engines if e.group and e.group["phase"] == "open") >= wanted:
            return
        await asyncio.sleep(0.05)
    raise CannotRun("the groups were not formed")


def disrupted():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, folder, limit=110):
    """Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record("with the disruption" if disrupted() else "without the disruption (TROUBLE=0)")
    daemons = []
    code = 2
    try:
        with temporary_directory() as directory:
            broken = asyncio.run(asyncio.wait_for(case(record, directory, daemons), limit))
            code = 1 if broken else 0
    except CannotRun as reason:
        record("could not run: %s" % reason)
    except asyncio.TimeoutError:
        record("could not run: not over after %d s" % limit)
    except Exception as problem:  # noqa: a fault of the script itself is no result
        record("could not run: %r" % problem)
    finally:
        for daemon in daemons:
            daemon.stop()
    record("exit %d: %s" % (code, {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code]))
    print("exit %d" % code)
    os._exit(code)
