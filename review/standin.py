"""Stand-ins of the platform for the cases of this review: store, operator, engines of a plain service and
clients, all on loopback addresses and on one event loop. The daemons are the project's own program, started
with the command and the settings template of the deploy file."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds and rates of the users' pages (SYSTEM.md, DEPLOY.md).
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
HISTORY_S = 20.0
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "stallMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 130, "ttl_max_s": 5,
}


class Record:
    """Lines of record.txt: seconds since the start, and what happened."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP/1.1 on plain streams ---------------------------------------------------------------------------


async def read_message(reader):
    """Returns (first line, headers by lower-case name, body), or None when the connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def encode_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"] + [f"{n}: {v}" for n, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset, as the system of a crashed process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Server:
    """A listening address. `handle(method, target, headers, body)` returns the bytes of the answer, or None
    to close the connection. With `streams` it also gets the writer, and returns b"" after its own writes."""

    def __init__(self, handle, limit=64 * 1024 * 1024, streams=False):
        self.handle = handle
        self.streams = streams
        self.limit = limit
        self.connections = set()
        self.server = None
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=self.limit)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                arguments = (method, target, message[1], message[2]) + ((writer,) if self.streams else ())
                answer = await self.handle(*arguments)
                if answer is None or writer.is_closing():
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def crash(self):
        """What others see when the process ends: connections are reset, the port refuses."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            reset(writer)


# --- The platform's store ---------------------------------------------------------------------------------


class Store:
    def __init__(self):
        self.items = {}  # key -> (value, revision, created, lease)
        self.history = []  # (revision, time, key, row)
        self.dropped = 0  # newest revision that is no longer in the history
        self.revision = 1
        self.leases = {}  # id -> (ttl in s, end)
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.server = Server(self.answer)
        self.watch_bytes = 0  # largest answer to a watch

    async def start(self):
        await self.server.start()
        asyncio.ensure_future(self.expire())

    @staticmethod
    def row(key, item):
        return {"key": key, "value": base64.b64encode(item[0]).decode(), "rev": item[1],
                "createRev": item[2], "lease": item[3]}

    def apply(self, puts, removals):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, time.monotonic(), key, self.row(key, self.items[key])))
        for key in removals:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "rev": self.revision, "deleted": True}
                self.history.append((self.revision, time.monotonic(), key, row))
        asyncio.ensure_future(self.notify())
        return self.revision

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def put(self, key, value, lease=0):
        return self.apply([(key, value if isinstance(value, bytes) else json.dumps(value).encode(), lease)], [])

    def remove(self, key):
        if key in self.items:
            self.apply([], [key])

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self.leases.items() if now >= end]:
                self.end_lease(lease)
            while self.history and now - self.history[0][1] > HISTORY_S:
                self.dropped = self.history.pop(0)[0]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item[3] == lease]
        if gone:
            self.apply([], gone)

    async def answer(self, method, target, headers, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-range":
            return self.range(asked)
        if path == "/kv-watch":
            return await self.watch(asked)
        if path == "/kv-key":
            item = self.items.get(asked.get("key", ""))
            found = item and {**self.row(asked["key"], item), "storeRevision": self.revision}
            return encode_answer(200, json.dumps(found).encode()) if found else encode_answer(404)
        if path == "/kv-txn":
            return self.commit(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1.0, json.loads(body)["ttlMs"] / 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl)
            granted = {"lease": self.next_lease, "ttlMs": int(ttl * 1000)}
            return encode_answer(200, json.dumps(granted).encode())
        if path.startswith("/kv-keep/") or path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return encode_answer(404)
            if path.startswith("/kv-keep/"):
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
            else:
                self.end_lease(lease)
            return encode_answer(200, b"{}")
        return encode_answer(404)

    def range(self, asked):
        rows, size, truncated = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(asked.get("prefix", "")) or key <= asked.get("after", ""):
                continue
            if len(rows) >= 500 or size > 1_000_000:
                truncated = True
                break
            rows.append(self.row(key, self.items[key]))
            size += len(self.items[key][0])
        page = {"items": rows, "truncated": truncated, "storeRevision": self.revision}
        return encode_answer(200, json.dumps(page).encode())

    async def watch(self, asked):
        after, prefix = int(asked["after"]), asked.get("prefix", "")
        end = time.monotonic() + min(30_000, int(asked["waitMs"])) / 1000
        while True:
            if after < self.dropped:
                return encode_answer(410)
            events = [row for revision, _, key, row in self.history
                      if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                body = json.dumps({"events": events, "storeRevision": self.revision}).encode()
                self.watch_bytes = max(self.watch_bytes, len(body))
                return encode_answer(200, body)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def commit(self, body):
        unmet = [row["key"] for row in body.get("expected", [])
                 if (self.items[row["key"]][1] if row["key"] in self.items else 0) != row["rev"]]
        if unmet:
            rows = [self.row(key, self.items[key]) for key in unmet if key in self.items]
            return encode_answer(412, json.dumps({"items": rows}).encode())
        puts = [(row["key"], base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return encode_answer(404)
        if any(key.startswith(("op/", "servers/")) for key, _, _ in puts):
            return encode_answer(403)
        revision = self.apply(puts, body.get("remove", []))
        return encode_answer(200, json.dumps({"rev": revision}).encode())


class Door:
    """An address of the store for some machines. While it is shut they get no answer (platform_down, nodes
    silent), and what they asked before is not answered either."""

    def __init__(self, store):
        self.store = store
        self.shut = False
        self.server = Server(self.answer)

    async def answer(self, method, target, headers, body):
        if not self.shut:
            got = await self.store.answer(method, target, headers, body)
            if not self.shut:
                return got
        while self.shut:
            await asyncio.sleep(0.02)
        return None  # a connection on which an answer was lost returns nothing further


# --- Engines of a plain service ---------------------------------------------------------------------------


class Engine:
    """One engine of a plain service. Each start is a new incarnation with a new id. `deadly(target, body)`
    tells which requests crash it as soon as it begins to run them."""

    count = 0

    def __init__(self, store, record, service, zone, slots=6, work_s=0.1, deadly=lambda target, body: False):
        self.store, self.record, self.service, self.zone = store, record, service, zone
        self.slots, self.work_s, self.deadly = slots, work_s, deadly
        self.running = 0
        self.runs = []  # (time, request id, target, tenant)
        self.crashes = 0
        self.port = 0
        self.id = ""
        self.server = None

    async def start(self):
        Engine.count += 1
        self.id = f"i-{Engine.count:04d}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server = Server(self.answer)
        await self.server.start(port=self.port)
        self.port = int(self.server.address.rsplit(":", 1)[1])
        self.register("ready")

    def register(self, phase):
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.server.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "phase": phase, "coldRemainingMs": 0, "sequence": 1, "born": self.born})

    def crash(self, why, back_after_s):
        """The process ends; its entry expires after three heartbeats; it is back after some seconds."""
        self.crashes += 1
        self.record.write(f"engine {self.id} crashes: {why}; {self.running} requests in progress")
        self.server.crash()
        self.server = None
        asyncio.ensure_future(self.expire_entry(self.id))
        asyncio.ensure_future(self.restart(back_after_s))

    async def expire_entry(self, old):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove(f"servers/{old}")

    async def restart(self, after):
        await asyncio.sleep(after)
        await self.start()
        self.record.write(f"engine {self.id} is back at {self.server.address}")

    async def answer(self, method, target, headers, body):
        server = self.server
        request = headers.get("x-rosemarylever-request-id", "")
        echo = [("X-Rosemarylever-Request-Id", request)]
        refusal = echo + [("X-Rosemarylever-Not-Executed", "1")]
        if headers.get("x-rosemarylever-expect-instance", self.id) != self.id:
            return encode_answer(421, b"", refusal)
        if target == "/health":
            return encode_answer(200, b"", [("X-Rosemarylever-Instance-Id", self.id)])
        if not request:
            return encode_answer(400, b"", refusal)
        if self.running >= self.slots:
            return encode_answer(503, b"", refusal)
        self.running += 1
        self.runs.append((self.record.now(), request, target, headers.get("x-rosemarylever-tenant", "")))
        self.on_run(request, target, headers)
        if self.deadly(target, body):
            self.record.write(f"engine {self.id} begins to run {request} {target}")
            self.crash(f"by request {request} {target}", 3.0)
            return None
        await asyncio.sleep(self.work_s)
        if self.server is not server:
            return None  # crashed meanwhile
        self.running -= 1
        done = echo + [("X-Rosemarylever-Response-Seal", f"seal.{request}")]
        return encode_answer(200, b"done " + request.encode(), done)

    def on_run(self, request, target, headers):
        pass


# --- Model engines ----------------------------------------------------------------------------------------


class ModelEngine:
    """One engine that serves a model together with others (PROTOCOL.md, "Requests"). Times are those of the
    small sites: a step takes 6.07 ms and 0.241 ms for each request that is writing; an event is 5 steps."""

    engines = {}
    served = False  # loads take a tenth of the time before the first request
    LOAD_S, WARM_S, REJOIN_S, FORM_S, STALL_S, SLOTS, KEEPS = 16.0, 1.6, 0.2, 0.3, 5.0, 26, 1

    def __init__(self, store, record, name, service, zone, domain):
        self.store, self.record, self.id, self.service = store, record, name, service
        self.zone, self.domain = zone, domain
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.epoch = 0
        self.group = None  # dict: name, epoch, model, members, phase
        self.last_model = ""
        self.staged = []
        self.writing = 0
        self.runs = []  # (time, request id, events)
        self.server = Server(self.answer, streams=True)
        ModelEngine.engines[name] = self

    async def start(self):
        await self.server.start()
        self.register()

    def state(self):
        known = self.group and self.last_model
        out = {"stage": "both", "staged": self.staged, "domain": self.domain, "sequence": self.sequence,
               "born": self.born,
               "models": [{"name": self.last_model, "version": 1, "adapters": []}] if known else []}
        if self.group:
            out["group"] = {"name": self.group["name"], "epoch": self.group["epoch"], "rank": self.rank(),
                            "phase": self.group["phase"]}
        return out

    def rank(self):
        return self.group["members"].index(self.id)

    def register(self):
        self.store.put(f"servers/{self.id}", {
            **self.state(), "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": self.SLOTS, "phase": "ready", "coldRemainingMs": 0})

    def later(self, seconds, action):
        asyncio.get_running_loop().call_later(seconds, action)

    def order(self, order):
        operation = order.get("operation")
        if operation == "stage":
            self.sequence += 1
            scale = 1.0 if ModelEngine.served else 0.1

            def staged():
                self.staged = ([order["model"]] + self.staged)[:self.KEEPS]
                self.register()
            self.later(self.LOAD_S * scale, staged)
            return 202
        if operation == "join":
            return self.join(order)
        mine = self.group and (self.group["name"], self.group["epoch"]) == (order["group"], order["epoch"])
        if not mine:
            return 200 if operation == "leave" else 409
        if operation == "leave":
            self.group = None
        elif operation == "open" and self.group["phase"] == "open":
            return 200
        elif operation == "open" and self.group["phase"] == "ready" and self.rank() == 0:
            self.group["phase"] = "open"
        elif operation == "close" and self.group["phase"] == "open":
            self.group["phase"] = "ready"
        else:
            return 409
        self.sequence += 1
        self.register()
        return 202

    def join(self, order):
        epoch, model = order["epoch"], order["model"]
        if self.group and (self.group["name"], self.group["epoch"]) == (order["group"], epoch):
            return 200 if self.group["members"] == order["members"] else 412
        if epoch < self.epoch:
            return 412
        scale = 1.0 if ModelEngine.served else 0.1
        wait = (self.REJOIN_S if model == self.last_model else self.WARM_S if model in self.staged
                else self.LOAD_S * scale)
        self.epoch = epoch
        self.group = {"name": order["group"], "epoch": epoch, "model": model, "members": order["members"],
                      "phase": "joining"}
        self.sequence += 1
        joined = self.group

        def ready():
            if self.group is joined:
                joined["phase"] = "ready"
                self.last_model = model
                self.staged = ([model] + [other for other in self.staged if other != model])[:self.KEEPS]
                self.register()
        self.later(wait, ready)
        self.register()
        return 202

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("x-rosemarylever-request-id", "")
        echo = [("X-Rosemarylever-Request-Id", request)] if request else []
        refusal = echo + [("X-Rosemarylever-Not-Executed", "1")]
        if headers.get("x-rosemarylever-expect-instance", self.id) != self.id:
            return encode_answer(421, b"", refusal)
        if target == "/report":
            report = {**self.state(), "busy": False, "queued": 0, "active": self.writing, "kvUsed": 0,
                      "kvTotal": 1400000, "handles": 0, "pace": 1.0}
            return encode_answer(200, json.dumps(report).encode(), echo)
        if target == "/order":
            return encode_answer(self.order(json.loads(body)), b"{}", echo)
        if not self.group or self.rank() != 0:
            return encode_answer(421, b"", refusal)
        if self.group["phase"] != "open" or self.writing >= self.SLOTS:
            return encode_answer(503, b"", refusal)
        await self.stream(request, headers, writer)
        return None if writer.is_closing() else b""

    async def stream(self, request, headers, writer):
        ModelEngine.served = True
        prompt, tokens = (int(n) for n in headers["x-rosemarylever-token-counts"].split(","))
        events = max(1, tokens // 5)
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs.append((self.record.now(), request, events))
        self.writing += 1
        try:
            await asyncio.sleep(prompt / 46_000)
            for number in range(first, events + 1):
                await asyncio.sleep(5 * (6.07 + 0.241 * self.writing) / 1000)
                if writer.is_closing():
                    return
                data = b"id: %d\ndata: piece\n\n" % number
                if number == first:
                    writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                  f"X-Rosemarylever-Request-Id: {request}\r\n"
                                  f"X-Rosemarylever-Response-Seal: seal.{request}\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n").encode())
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            writer.write(b"0\r\n\r\n")
        finally:
            self.writing -= 1


# --- Daemons ----------------------------------------------------------------------------------------------


def free_ports(host, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "([^"]*)"', text, re.M).group(1)
    template = re.search(r'^template = "([^"]*)"', text, re.M).group(1)
    return run.split(), os.path.join(ROOT, template)


def render(template, values):
    def fill(match):
        path, _, form = match.group(1).partition("|")
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]*)\}\}", fill, template)


class Daemon:
    """A machine of class `front` with its own loopback address."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.process = None
        while True:  # the metrics port of the template is fixed, so the address must be free for it
            self.ip = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((self.ip, 9102))
                break
            except OSError:
                continue
        front, ready, control, directory, peer = free_ports(self.ip, 5)
        self.front, self.ready_address = f"{self.ip}:{front}", f"{self.ip}:{ready}"
        self.directory = f"{self.ip}:{directory}"
        self.settings = os.path.join(site.folder, f"{name}.json")
        values = {
            "nodeName": name, "role": "gateway", "machineClass": "front", "ip": self.ip, "zone": zone,
            "region": "r1",
            "listen": {"front": self.front, "ready": self.ready_address, "control": f"{self.ip}:{control}",
                       "directory": self.directory},
            "internalPorts": [peer, peer], "limits": {"cpuShare": 0.25}, "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "provider": {"address": site.store_address(self), "writesPerS": 400, "readsPerS": 2000,
                         "ttlMinMs": 1000},
        }
        command, template = deploy_command()
        self.command = [os.path.join(ROOT, command[0])] + command[1:]
        with open(template, encoding="utf-8") as file:
            text = render(file.read(), values)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C.UTF-8", "ROSEMARYLEVER_SETTINGS": self.settings}
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, env=environment,
                                                            stdout=log, stderr=log)
        log.close()
        self.site.record.write(f"{self.name} started")

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.site.record.write(f"{self.name} killed")

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace time."""
        self.process.send_signal(signal.SIGTERM)
        self.site.record.write(f"{self.name} got SIGTERM")
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["graceS"])
            self.site.record.write(f"{self.name} has ended with {self.process.returncode}")
        except asyncio.TimeoutError:
            await self.kill()

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready_address, "GET", "/ready"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ValueError):
            return False


async def call(address, method, target, headers=(), body=b""):
    """One request on a new connection. Returns (status, headers, body), or raises OSError."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not any(name.lower() == "host" for name, _ in headers):
            lines.append(f"Host: {address}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            raise ConnectionError("connection closed without a complete answer")
        return int(answer[0].split(" ")[1]), answer[1], answer[2]
    finally:
        writer.close()


class Site:
    """Store, daemons and clients of one small deployment."""

    HOST = "site.example"

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="rml-review-")
        self.record = Record(case_folder)
        self.store = Store()
        self.daemons = []
        self.next_request = random.randrange(1 << 40)
        self.configuration = None

    def store_address(self, daemon):
        """Address of the store for that daemon; a case may put a proxy or a door of its own there."""
        return self.store.server.address

    def publish(self, change=lambda configuration: None):
        """Writes the next version. The return is the acknowledgement."""
        change(self.configuration)
        self.configuration["version"] += random.randint(1, 4)
        self.store.put("op/config", self.configuration)
        return self.configuration["version"]

    async def start_daemons(self, zones):
        for number, zone in enumerate(zones):
            self.daemons.append(Daemon(self, f"front-{zone}-{number + 1}", zone))
        for daemon in self.daemons:
            await daemon.start()

    async def wait_ready(self, seconds=15):
        for _ in range(int(seconds * 10)):
            if all([await daemon.ready() for daemon in self.daemons]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def resolve(self):
        for daemon in random.sample(self.daemons, len(self.daemons)):
            try:
                status, _, body = await asyncio.wait_for(
                    call(daemon.directory, "GET", f"/resolve?name={self.HOST}&region=r1&zone={daemon.zone}"), 1)
                if status == 200 and json.loads(body).get("addresses"):
                    return json.loads(body)["addresses"]
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
        return []

    async def send(self, method, target, key, deadline_ms, body=b"", address=None, more=()):
        """One client attempt. Returns (status or 0 for a closed connection, body, request id)."""
        self.next_request += 1
        request = f"{self.next_request:016x}"
        if address is None:
            addresses = await self.resolve()
            if not addresses:
                return 0, b"no address", request
            address = random.choice(addresses)
        headers = [("Host", self.HOST), ("X-Rosemarylever-Request-Id", request),
                   ("X-Rosemarylever-Deadline-Ms", str(deadline_ms)), ("Authorization", f"Bearer {key}"), *more]
        try:
            status, answered, got = await asyncio.wait_for(
                call(address, method, target, headers, body), deadline_ms / 1000 + 0.5)
            if status == 200 and "x-rosemarylever-response-seal" not in answered:
                return 0, b"unsigned success", request
            return status, got, request
        except (OSError, asyncio.TimeoutError) as problem:
            return 0, str(problem).encode(), request

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(play, case_folder, limit_s=115):
    """Plays a case. `play(site)` returns True when the rule held, False when it was broken and None when the
    case could not run. Exits with 0, 1 or 2."""

    async def guarded():
        site = Site(case_folder)
        site.record.write(f"TROUBLE={1 if TROUBLE else 0}")
        try:
            return await asyncio.wait_for(play(site), limit_s)
        except asyncio.TimeoutError:
            site.record.write("the case did not end in time")
            return None
        finally:
            await site.stop()
            site.record.write("all processes ended")

    held = asyncio.run(guarded())
    sys.exit(2 if held is None else 0 if held else 1)
