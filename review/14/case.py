"""An engine's own 503 without the mark of a rejection reaches the client as the promise that nothing has run."""
import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform3 import (CannotRun, Caller, Daemon, Engine, Store, answer_bytes, configuration, disrupted, plain_route,
                       plain_service, play)

SHARE_OF_REQUESTS = 0.45  # srv_grey x


class GreyEngine(Engine):
    """srv_grey: fails part of its requests, health good. The work is done when it fails."""

    grey = False

    async def respond(self, line, headers, reader, writer, rid):
        if not self.grey or random.random() >= SHARE_OF_REQUESTS:
            return await super().respond(line, headers, reader, writer, rid)
        await self.take_body(reader, headers)
        self.runs[rid] = self.runs.get(rid, 0) + 1
        await asyncio.sleep(self.work_s)
        self.record("engine %s has run %s and fails with 503" % (self.name, rid))
        writer.write(answer_bytes(503, [("X-Rosemarylever-Request-Id", rid),
                                        ("X-Rosemarylever-Response-Seal", "s-%s-%s" % (self.name, rid))],
                                  b"receipt not written"))


async def case(record, directory, daemons):
    store = Store()
    await store.start()
    engines = [GreyEngine(store, record, "e%d" % i, "office") for i in range(7)]
    for engine in engines:
        await engine.start()
    store.put("op/config", json.dumps(configuration(
        [plain_route("orders", "/orders/", "unsafe", "office", 2500, 1)], [plain_service("office")])).encode())
    daemons.append(Daemon(store, record, "front-1", directory))
    daemons[-1].start()
    await daemons[-1].wait_ready()
    callers = [Caller(record, daemons[-1], "caller%d" % i, "/orders/new") for i in range(6)]
    tasks = [asyncio.ensure_future(c.run(pause_s=0.05)) for c in callers]
    await asyncio.sleep(4)
    if not all(c.answers for c in callers):
        raise CannotRun("the daemon did not serve the callers")
    if disrupted():
        record("engine e0 fails %.2f of its requests" % SHARE_OF_REQUESTS)
        engines[0].grey = True
    await asyncio.sleep(6)
    for caller in callers:
        caller.stopped = True
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    ran = {rid for engine in engines for rid in engine.runs}
    false = [rid for c in callers for rid, status, _ in c.answers if status in (408, 421, 429, 503) and rid in ran]
    record("%d unsafe requests ran and were answered 503: %s" % (len(false), ", ".join(false)))
    return bool(false)


play(case, HERE)
