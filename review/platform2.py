"""Stand-ins for the second review: the platform's store, plain services and clients, on loopback.

Written from the users' pages (PROTOCOL.md, DEPLOY.md). Everything runs in one asyncio loop beside the
daemons, which are separate processes started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import re
import shlex
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
PREFIX = "X-Rosemarylever-"
HOST = "site.example"
KEY = "key-branch-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Returns the first line and the header fields, or None when the connection ends."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name, value.strip()))
    return lines[0], fields


def field(fields, name):
    return next((value for key, value in fields if key.lower() == name.lower()), None)


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(field(head[1], "Content-Length") or 0)
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def encode_response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP server that serves one request at a time on a connection."""

    def __init__(self):
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0, limit=1 << 20)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.handle(request, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer left, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: linearizable, one revision counter, leases, watches."""

    first_revision = 100

    def __init__(self):
        super().__init__()
        self.revision = self.first_revision
        self.items = {}    # key -> (value, rev, createRev, lease)
        self.history = []  # (rev, event)
        self.leases = {}   # id -> [ttl, ends]
        self.next_lease = 77000
        self.changed = asyncio.Condition()

    async def start(self):
        await super().start()
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [name for name, (_, ends) in self.leases.items() if ends <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            await self.write([], keys)

    async def write(self, puts, removals):
        async with self.changed:
            self.revision += 1
            for key, value, lease in puts:
                created = self.items[key][2] if key in self.items else self.revision
                self.items[key] = (value, self.revision, created, lease)
                self.history.append((self.revision, self.row(key)))
            for key in removals:
                if self.items.pop(key, None) is not None:
                    self.history.append((self.revision, {"key": key, "rev": self.revision, "deleted": True}))
            self.changed.notify_all()

    async def put(self, key, document):
        await self.write([(key, json.dumps(document).encode(), 0)], [])

    def row(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "rev": revision, "createRev": created,
                "lease": lease}

    async def handle(self, request, reader, writer):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        status, document = await self.answer(request.method, url.path, query, body)
        writer.write(encode_response(status, [("Content-Type", "application/json")],
                                     json.dumps(document).encode()))
        return True

    async def answer(self, method, path, query, body):
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                if len(page) == 500 or size > 1_000_000:
                    break
                page.append(self.row(key))
                size += len(self.items[key][0])
            return 200, {"items": page, "truncated": len(page) < len(keys), "storeRevision": self.revision}
        if path == "/kv-key":
            key = query["key"]
            return (200, {**self.row(key), "storeRevision": self.revision}) if key in self.items else (404, {})
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = [body["ttlMs"] / 1000, time.monotonic() + body["ttlMs"] / 1000]
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        name = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if name not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[name][1] = time.monotonic() + self.leases[name][0]
            return 200, {"ttlMs": int(self.leases[name][0] * 1000)}
        await self.end_lease(name)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")

        def events():
            return [event for revision, event in self.history
                    if revision > after and event["key"].startswith(prefix)]

        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: bool(events())),
                                       int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "storeRevision": self.revision}

    async def commit(self, body):
        expected = body.get("expected", [])
        present = [key["key"] for key in expected if key["key"] in self.items]
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) != row["rev"] for row in expected):
            return 412, {"items": [self.row(key) for key in present]}
        for row in body.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        await self.write([(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
                          for row in body.get("puts", [])], body.get("remove", []))
        return 200, {"rev": self.revision}


class Service(Server):
    """A plain service instance. `run` is called when it begins to work on a request."""

    def __init__(self, store, record, name, zone="zone-a", service="office", work=0.03):
        super().__init__()
        self.store, self.record, self.name, self.zone = store, record, name, zone
        self.service, self.work = service, work
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # ids of requests that began to run here, in order

    async def start(self):
        await super().start()
        await self.register()
        self.beat = asyncio.get_running_loop().create_task(self.heartbeat())

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            self.sequence += 1
            await self.register()

    async def register(self):
        await self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 6,
            "phase": "ready", "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born})

    async def crash(self):
        """Ends without a word; its entry is removed after three heartbeat intervals."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(3.6)
        await self.store.write([], ["servers/" + self.name])

    def answer_headers(self, request):
        request_id = request.header(PREFIX + "Request-Id") or ""
        return [(PREFIX + "Request-Id", request_id), (PREFIX + "Instance-Id", self.name)]

    async def handle(self, request, reader, writer):
        expected = request.header(PREFIX + "Expect-Instance")
        headers = self.answer_headers(request)
        if expected and expected != self.name:
            writer.write(encode_response(421, headers))
            return True
        if request.target == "/health":
            writer.write(encode_response(200, headers))
            return True
        return await self.run(request, headers, writer)

    async def run(self, request, headers, writer):
        request_id = request.header(PREFIX + "Request-Id")
        self.runs.append(request_id)
        self.record(f"run {request_id} {request.method} at {self.name}")
        await asyncio.sleep(self.work)
        body = f"{request.method} {request.target} {len(request.body)}".encode()
        headers.append((PREFIX + "Response-Seal", "seal-" + (request_id or "")))
        if request.method == "HEAD":
            writer.write(encode_response(200, headers))
        else:
            writer.write(encode_response(200, headers, body))
        return True


def default_config(extra_routes=()):
    def route(name, prefix, kind, attempts):
        return {"name": name, "hostname": HOST, "prefix": prefix, "type": kind, "timeoutMs": 4000,
                "targetLatencyMs": 500, "priority": 1, "service": "office", "maxAttempts": attempts,
                "public": False}

    return {"version": 7,
            "routes": [route("bookings", "/bookings/", "unsafe", 1), route("stock", "/stock/", "safe", 2),
                       *extra_routes],
            "services": [{"name": "office", "healthPath": "/health", "maxConnections": 274, "coldStartS": 0.0,
                          "coldPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "branch", "apiKeys": [KEY], "priority": 1}]}


def lookup(fields, name):
    """The value of a dotted name; None if there is none."""
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if part.isdigit() and int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Fills in a template of the deploy file: sections that ask for a value, `{{a.b}}` and `{{a.b|json}}`."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def open_section(match):
        present = lookup(fields, match.group(2)) not in (None, False)
        return match.group(3) if present == (match.group(1) == "#") else ""

    while section.search(template):
        template = section.sub(open_section, template)

    def fill(match):
        value = fields if match.group(1) == "." else lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(entry) for entry in value)
        return "" if value is None else json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


class Daemon:
    """A daemon, started as deploy/system.toml says, on a loopback address of its own."""

    def __init__(self, number, directory, store_address, memory_mb=260):
        self.name = f"daemon-{number}"
        ip = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}.{10 + number}"
        ports = random.sample(range(20000, 32000, 20), 5)
        self.listen = {"caller": f"{ip}:{ports[0]}", "readiness": f"{ip}:{ports[1]}",
                       "entries": f"{ip}:{ports[2]}"}
        zone = "zone-a" if number % 2 == 0 else "zone-b"
        fields = {
            "nodeName": self.name, "role": "gateway", "machineClass": "front", "serves": ["front", "directory"],
            "ip": ip, "zone": zone, "region": "r1", "zones": {"zone-a": "r1", "zone-b": "r1"},
            "listen": {"front": f"{ip}:{ports[0]}", "ready": f"{ip}:{ports[1]}",
                       "directory": f"{ip}:{ports[2]}", "control": f"{ip}:{ports[3]}"},
            "internalPorts": [ports[4], ports[4] + 15], "seeds": [], "bootstrap": True,
            "includeInTolerance": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "places", "platform", "gangs"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                       "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                       "rollbackSlackMs": 250, "outerMs": 5000, "strictRevocation": False, "revokeMs": 5000,
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 134,
                       "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "passMs": 120,
                       "retryAfterS": 0, "stallMs": 5000, "requireFencing": False, "ceilingWindowS": 5,
                       "originRateOverage": 1.1, "ttl_max_s": 5},
            "provider": {"address": store_address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        deploy = (ROOT / "deploy/system.toml").read_text()
        template = re.search(r'^template = "(.*)"$', deploy, re.MULTILINE)
        rendered = render((ROOT / template.group(1)).read_text(), fields) if template else json.dumps(fields)
        self.settings = Path(directory) / f"{self.name}.json"
        self.settings.write_text(rendered)
        self.log = open(Path(directory) / f"{self.name}.log", "ab")
        self.process = None

    async def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = shlex.split(re.search(r'^run = "(.*)"$', deploy, re.MULTILINE).group(1))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ROSEMARYLEVER_SETTINGS"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        """One question of the platform at GET /ready."""
        try:
            answer = await asyncio.wait_for(call(self.listen["readiness"], b"GET /ready HTTP/1.1\r\n"
                                                 b"Host: a\r\nConnection: close\r\n\r\n"), 1)
            return answer is not None and answer[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=15):
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            if await self.ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        if self.running():
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        self.log.close()


def client_request(method, path, request_id, body=b"", deadline_ms=2500, extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{PREFIX}Request-Id: {request_id}",
             f"{PREFIX}Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}", *extra]
    if body or method not in ("GET", "HEAD", "TRACE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def connect(address):
    host, port = address.split(":")
    return asyncio.open_connection(host, int(port), limit=1 << 22)


async def read_response(reader, method="GET"):
    """Returns status, fields and body; None when the connection ends before the whole answer."""
    head = await read_head(reader)
    if head is None:
        return None
    parts = head[0].split(" ")
    if not head[0].startswith("HTTP/1.1 ") or not parts[1].isdigit():
        raise ValueError(f"not an answer: {head[0][:60]!r}")
    status, fields = int(parts[1]), head[1]
    if method == "HEAD":
        return status, fields, b""
    body = b""
    try:
        if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int(await reader.readline(), 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(field(fields, "Content-Length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return status, fields, body


async def call(address, raw, method="GET"):
    reader, writer = await connect(address)
    try:
        writer.write(raw)
        await writer.drain()
        return await read_response(reader, method)
    except ConnectionError:
        return None
    finally:
        writer.close()


class Booker:
    """A sound client with a kept connection that sends one unsafe request after the other.

    `lost` lists the requests that were passed on to an engine and whose connection ended without an answer.
    """

    def __init__(self, case, daemon, number):
        self.case, self.daemon, self.name = case, daemon, f"booker-{number}"
        self.sent = 0
        self.open_request = None  # sent and not answered yet
        self.lost = []
        self.stopping = False

    async def run(self, pause=0.0):
        while not self.stopping and self.daemon.running():
            try:
                reader, writer = await connect(self.daemon.listen["caller"])
            except OSError:
                return
            try:
                while not self.stopping:
                    if not await self.book(reader, writer):
                        break
                    await asyncio.sleep(pause)
            finally:
                writer.close()

    async def book(self, reader, writer):
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        self.open_request = request_id
        self.case.record(f"{request_id} sent to {self.daemon.name}")
        answer = None
        try:
            writer.write(client_request("POST", "/bookings/kiln", request_id, b"slot 4"))
            answer = await asyncio.wait_for(read_response(reader), 5)
        except (ConnectionError, asyncio.TimeoutError, ValueError):
            pass
        self.open_request = None
        if answer is None:
            passed_on = any(request_id in service.runs for service in self.case.services)
            self.case.record(f"{request_id} connection ended without an answer, run by an engine: {passed_on}")
            # "from a kept connection": this connection has carried an earlier answer.
            if passed_on and self.sent > 1:
                self.lost.append(request_id)
            return False
        self.case.record(f"{request_id} answered {answer[0]}")
        return field(answer[1], "Connection") != "close"


async def start_bookers(case, daemon, count):
    """Starts sound clients one after the other, so that some of their requests run at any moment."""
    bookers = [Booker(case, daemon, number) for number in range(count)]
    tasks = []
    for booker in bookers:
        tasks.append(asyncio.create_task(booker.run()))
        await asyncio.sleep(0.021)
    return bookers, tasks


class Case:
    """Runs a case, writes record.txt and exits with 0 (the rule held), 1 (broken) or 2 (could not run)."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.began = time.monotonic()
        self.daemons = []
        self.directory = tempfile.TemporaryDirectory(prefix="rml-review-")

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    async def site(self, daemons, services, config=None, memory_mb=260):
        self.store = Store()
        await self.store.start()
        await self.store.put("op/config", config or default_config())
        self.services = []
        for number in range(services):
            service = Service(self.store, self.record, f"i-desk-{number}",
                              "zone-a" if number % 2 == 0 else "zone-b")
            await service.start()
            self.services.append(service)
        for number in range(daemons):
            daemon = Daemon(number, self.directory.name, self.store.address, memory_mb)
            await daemon.start()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} did not become ready")
        await asyncio.sleep(3.5)  # the daemons know each other

    async def end(self):
        for daemon in self.daemons:
            await daemon.kill()

    def run(self, body):
        async def whole():
            try:
                return await asyncio.wait_for(body(self), 110)
            finally:
                await self.end()

        try:
            broken = asyncio.run(whole())
        except Exception as problem:  # the case could not run
            self.record(f"could not run: {problem!r}")
            print(f"could not run: {problem!r}", file=sys.stderr)
            sys.exit(2)
        finally:
            self.directory.cleanup()
        self.record("result: " + (broken or "the rule held"))
        print(broken or "the rule held")
        sys.exit(1 if broken else 0)
