"""Large bodies of legal size at engines that read slowly take several copies each: the daemon exceeds its memory."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform3 import (CannotRun, Caller, Daemon, Engine, GroupEngine, Store, configuration, disrupted, model_service,
                       open_groups, plain_route, plain_service, play, read_head, request_head, stream_route)

MEMORY_MB = 260            # a machine of the sheet
BODY = b"p" * 4194304      # maxBodyBytes
CROWD = 16
READ_BYTES_PER_S = 100000
APART_S = 0.06             # 70 MB a second: 0.56 of the machine's link of 1,000 Mbit/s
HEADERS = "X-Rosemarylever-Model: m1\r\nX-Rosemarylever-Token-Counts: 1460,25\r\n"


async def ask(record, daemon, number):
    """One request with a large body."""
    rid = "large-%d" % number
    await asyncio.sleep(number * APART_S)
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.ports["caller"])
        writer.write(request_head("/plans/a", rid, len(BODY), 8000, more=HEADERS) + BODY)
        head = await asyncio.wait_for(read_head(reader), 9)
        record("%s: %s" % (rid, head[0] if head else "the connection ended without an answer"))
        writer.close()
    except (OSError, asyncio.TimeoutError) as problem:
        record("%s: %r" % (rid, problem))


async def case(record, directory, daemons):
    store = Store()
    await store.start()
    models = {}
    office = [Engine(store, record, "o%d" % i, "office") for i in range(3)]
    pool = [GroupEngine(store, record, "e%d" % i, "pool", "f%d" % (i // 8), models) for i in range(16)]
    for engine in office + pool:
        engine.work_s = 0.2
        await engine.start()
    store.put("op/config", json.dumps(configuration(
        [stream_route("plans", "/plans/", "pool"), plain_route("orders", "/orders/", "unsafe", "office", 2500, 1)],
        [model_service("pool"), plain_service("office")])).encode())
    daemon = Daemon(store, record, "front-1", directory, memory_mb=MEMORY_MB)
    daemons.append(daemon)
    daemon.start()
    await daemon.wait_ready()
    await open_groups(pool, 8)
    callers = [Caller(record, daemon, "caller%d" % i, "/orders/new") for i in range(8)]
    tasks = [asyncio.ensure_future(c.run()) for c in callers]
    await asyncio.sleep(4)  # longer than contactMs
    if not all(c.answers for c in callers):
        raise CannotRun("the daemon did not serve the callers")
    if disrupted():
        record("the model engines read %d bytes a second" % READ_BYTES_PER_S)
        for engine in pool:
            engine.bytes_per_s = READ_BYTES_PER_S
    record("%d clients send one request each, %.2f s apart, with a body of %d bytes" % (CROWD, APART_S, len(BODY)))
    tasks += [asyncio.ensure_future(ask(record, daemon, n)) for n in range(CROWD)]
    peak, until, killed = 0.0, time.monotonic() + 9, False
    while time.monotonic() < until and not killed:
        await asyncio.sleep(0.02)
        size = daemon.resident_mb()
        peak = max(peak, size)
        if size > MEMORY_MB:
            record("the daemon has %.0f MB in memory, over its %d MB: the platform kills it" % (size, MEMORY_MB))
            daemon.stop()
            killed = True
    record("peak of resident memory: %.0f MB of %d MB" % (peak, MEMORY_MB))
    await asyncio.sleep(0.5)
    for caller in callers:
        caller.stopped = True
    for task in tasks:
        task.cancel()
    if daemon.process.poll() is not None and not killed:
        raise CannotRun("the daemon ended")
    ran = {rid for engine in office for rid in engine.runs}
    cut = [rid for caller in callers for rid in caller.cut if rid in ran]
    record("%d requests from kept connections ran at a sound engine and got no answer: %s" % (len(cut), ", ".join(cut)))
    return len(cut) > 3


play(case, HERE)
