"""A daemon gets SIGTERM (roll_term) on a site whose requests are mostly short. Some clients use its address for
as long as the pages allow, and send it a long request."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standin import TROUBLE, ModelEngine, Site, run

ZONES = ["zone-a", "zone-b"]
DEADLINE_MS = 8000
RATE_PER_S, CLIENTS = 110.0, 60  # of short requests; the streams of the sheet come 135 times a second
SHORT, LONG = "1960,25", "1420,335"  # prompt and output tokens: 5 events and 67 events
LONG_AT_S = [1.5, 2.4] + [3.2 + 0.1 * i for i in range(16)]  # after SIGTERM; some clients keep an address for 3 x 2 s


def configuration():
    model = {"name": "planner", "size": 2, "share": 1.0, "pace": 1.0, "loadS": 16.0, "warmS": 1.6}
    engine = {"slots": 26, "kvCapacityTokens": 1400000, "stride": 5, "models": [model], "step_ms": 6.07,
              "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0, "chunk": 2048,
              "report_lag_ms": 200.0, "loadsPerS": 4.0, "loads_at_once": 6, "keeps": 1, "formMs": 300.0}
    route = {"hostname": Site.HOST, "type": "streaming", "timeoutMs": 8000, "targetLatencyMs": 500,
             "priority": 1, "service": "pool", "maxAttempts": 2, "public": False, "sticky": True,
             "resumable": True, "gapAimMs": 300}
    return {
        "version": 3, "routes": [{**route, "name": "plans", "prefix": "/plans/"}],
        "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 464, "coldStartS": 3.0,
                      "coldPerS": 36.0, "engine": engine}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "branch", "apiKeys": ["key-branch"]}],
    }


async def play(site):
    record = site.record
    await site.store.start()
    engines = [ModelEngine(site.store, record, f"i-{i}", "pool", ZONES[0], "zone-a-d0")
               for i in range(4)]
    for engine in engines:
        await engine.start()
    site.configuration = configuration()
    site.store.put("op/config", site.configuration)
    await site.start_daemons(ZONES)
    if not await site.wait_ready():
        record.write("the daemons did not become ready")
        return None
    for _ in range(100):
        if sum(1 for engine in engines if engine.group and engine.group["phase"] == "open") >= 2:
            break
        await asyncio.sleep(0.1)
    else:
        record.write("the groups did not open")
        return None
    await asyncio.sleep(1)
    ended = asyncio.Event()
    results = []

    async def one(counts, address, sent_after=None):
        more = [("X-Rosemarylever-Model", "planner"), ("X-Rosemarylever-Token-Counts", counts),
                ("X-Rosemarylever-Prompt-Prefix", f"5c1e07a2:40,{random.randrange(1 << 32):08x}:1000")]
        begun = record.now()
        status, body, request = await site.send("POST", "/plans/new", "key-branch", DEADLINE_MS, b"brief",
                                                address, more)
        ran = any(run[1] == request for engine in engines for run in engine.runs)
        wanted = int(counts.split(",")[1]) // 5
        complete = status == 200 and body.count(b"data:") == wanted
        results.append((request, sent_after, status, complete, ran))
        if not complete or sent_after is not None:
            after = "" if sent_after is None else f", sent {sent_after:.2f} s after SIGTERM"
            record.write(f"{'long' if counts == LONG else 'short'} request {request}{after}, took"
                         f" {record.now() - begun:.2f} s: {status or 'connection closed'},"
                         f" {'complete' if complete else 'not complete'}, {'run' if ran else 'not run'}")
        return status != 0

    async def short(number):
        """A client keeps the addresses for 2 s, each third one three times as long."""
        addresses, until = [], 0.0
        while not ended.is_set():
            await asyncio.sleep(random.expovariate(RATE_PER_S / CLIENTS))
            if record.now() >= until or not addresses:
                addresses = await site.resolve()
                until = record.now() + (6.0 if number % 3 == 0 else 2.0)
            if not addresses:
                continue
            address = random.choice(addresses)
            if not await one(SHORT, address):
                addresses = [other for other in addresses if other != address]

    clients = [asyncio.ensure_future(short(number)) for number in range(CLIENTS)]
    await asyncio.sleep(6)
    leaving = site.daemons[0]
    tasks = []
    if TROUBLE:
        tasks.append(asyncio.ensure_future(leaving.terminate()))
    else:
        record.write("no SIGTERM")
    begun = record.now()
    for at in LONG_AT_S:
        await asyncio.sleep(max(0.0, begun + at - record.now()))
        tasks.append(asyncio.ensure_future(one(LONG, leaving.front, record.now() - begun)))
    await asyncio.gather(*tasks)
    ended.set()
    await asyncio.gather(*clients)
    lost = [entry for entry in results if entry[1] is not None and entry[4] and not entry[3]]
    refused = [entry for entry in results if entry[1] is not None and entry[2] == 503]
    record.write(f"{len(lost)} of {len(LONG_AT_S)} long requests were run and not answered in full,"
                 f" {len(refused)} were refused")
    return not lost


run(play, HERE)
