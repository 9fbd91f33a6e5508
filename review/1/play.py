"""The engines of a service stand in one zone. The servers of the zone go down together and come back (cold_return).
One tenant asks for one and the same thing all the time, as the members of a branch do."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standin import TROUBLE, Engine, Site, run

ZONES = ["zone-a", "zone-b"]
DEADLINE_MS = 2500
POPULAR = "/stock/board"
DOWN_S = 4.5  # cold_return, for_s 4.5
BACK_S = 12.0  # recoverS, and far more than the engines need to come back
MEASURE_S = 50.0


def configuration():
    route = {"hostname": Site.HOST, "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2,
             "service": "office", "public": False}
    return {
        "version": 3,
        "routes": [{**route, "name": "orders", "prefix": "/orders/", "type": "unsafe", "maxAttempts": 1},
                   {**route, "name": "stock", "prefix": "/stock/", "type": "safe", "maxAttempts": 2}],
        "services": [{"name": "office", "healthPath": "/health", "maxConnections": 96, "coldStartS": 0.0,
                      "coldPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "branch", "apiKeys": ["key-branch"]}, {"name": "shed", "apiKeys": ["key-shed"]},
                    {"name": "other", "apiKeys": ["key-other"]}],
    }


async def play(site):
    record = site.record
    await site.store.start()
    engines = [Engine(site.store, record, "office", ZONES[1], work_s=0.2) for _ in range(3)]
    for engine in engines:
        await engine.start()
    site.configuration = configuration()
    site.store.put("op/config", site.configuration)
    await site.start_daemons(ZONES)
    if not await site.wait_ready():
        record.write("the daemons did not become ready")
        return None
    ended = asyncio.Event()
    measuring = asyncio.Event()
    served = {"branch": [0, 0], "shed": [0, 0]}

    async def client(tenant):
        while not ended.is_set():
            await asyncio.sleep(random.expovariate(1.0))
            target = POPULAR if tenant == "branch" else f"/stock/{random.randrange(10**6)}"
            status, _, request = await site.send("GET", target, f"key-{tenant}", DEADLINE_MS)
            if measuring.is_set():
                served[tenant][0] += status == 200
                served[tenant][1] += 1
            if status != 200:
                record.write(f"client of {tenant} for {target}: {request} got {status or 'no answer'}")

    clients = [asyncio.ensure_future(client(tenant)) for tenant in ["branch"] * 60 + ["shed"] * 15]
    await asyncio.sleep(4)
    if TROUBLE:
        for engine in engines:
            engine.crash("cold_return", DOWN_S)
    await asyncio.sleep(BACK_S)
    measuring.set()
    await asyncio.sleep(MEASURE_S)
    ended.set()
    await asyncio.gather(*clients)
    share = {tenant: good / max(1, total) for tenant, (good, total) in served.items()}
    everyone = sum(good for good, _ in served.values()) / max(1, sum(total for _, total in served.values()))
    record.write(f"from {BACK_S} s after the crashes on, (served, asked): {served}; crashes:"
                 f" {sum(engine.crashes for engine in engines)}")
    record.write(f"shares served: {share}, of all: {everyone:.3f}")
    return all(one >= 0.25 * everyone for one in share.values()) and everyone > 0


run(play, HERE)
