"""Connections to engines that were replaced are never closed, until the daemon has no descriptor left."""
import asyncio
import os
import resource
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import platform2 as site

MAX_FDS = 4100        # of a machine at the small sites
INSTANCES = 8         # of the service at a time
REPLACEMENTS = 22     # of all instances; 176 engines in all
SLOTS = 26
REQUESTS = 190        # at once, on kept connections; the service has 208 slots
TIMEOUT_MS = 3000     # of the routes
ASKED_AT_THE_END = 100  # requests on new connections, at once


class Engine(site.Service):
    async def register(self):
        await self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": SLOTS, "phase": self.phase, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born})

    phase = "ready"

    async def leave(self):
        """Reports draining, serves for drainMs and a little longer, and exits."""
        self.phase = "draining"
        self.sequence += 1
        await self.register()
        await asyncio.sleep(2.4)
        self.beat.cancel()
        await self.store.write([], ["servers/" + self.name])
        self.server.close()
        for writer in list(self.writers):
            writer.close()


def descriptors(daemon):
    return len(os.listdir(f"/proc/{daemon.process.pid}/fd"))


class Caller:
    """A sound client with a kept connection."""

    def __init__(self, daemon, number):
        self.daemon, self.name, self.sent, self.link = daemon, f"caller-{number}", 0, None

    async def ask(self):
        self.sent += 1
        try:
            if self.link is None:
                self.link = await asyncio.wait_for(site.connect(self.daemon.listen["caller"]), 1)
            self.link[1].write(site.client_request("GET", "/stock/glass", f"{self.name}-{self.sent}"))
            answer = await asyncio.wait_for(site.read_response(self.link[0]), 4)
        except (OSError, asyncio.TimeoutError, ValueError):
            answer = None
        if answer is None or site.field(answer[1], "Connection") == "close":
            if self.link is not None:
                self.link[1].close()
            self.link = None
        return answer[0] if answer else None


async def start_engines(run, generation):
    engines = [Engine(run.store, lambda text: None, f"i-{generation}-{number}", work=0.12)
               for number in range(INSTANCES)]
    for engine in engines:
        await engine.start()
    return engines


async def ask_on_new_connection(run, daemon, number):
    """An unsafe request, for which a client waits. Returns whether it had a final answer in time."""
    request_id = f"late-{number}"
    run.record(f"{request_id} sent on a new connection")
    raw = site.client_request("POST", "/bookings/kiln", request_id, b"slot 4", deadline_ms=8000)
    try:
        answer = await asyncio.wait_for(site.call(daemon.listen["caller"], raw), TIMEOUT_MS / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, ValueError) as problem:
        run.record(f"{request_id} no answer: {problem!r}")
        return False
    run.record(f"{request_id} {answer[0] if answer else 'connection closed'}")
    return answer is not None


async def case(run):
    # The daemon inherits its machine's limit on descriptors; this process, with all clients and engines, needs more.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    own_limit = (hard if hard != resource.RLIM_INFINITY else max(soft, 3 * MAX_FDS), hard)
    config = site.default_config()
    for route in config["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, own_limit[1]))
    await run.site(daemons=1, services=0, config=config)
    resource.setrlimit(resource.RLIMIT_NOFILE, own_limit)
    daemon = run.daemons[0]
    callers = [Caller(daemon, number) for number in range(REQUESTS)]
    engines = await start_engines(run, 0)
    await asyncio.sleep(1)
    leaving = []
    began = time.monotonic()
    for generation in range(1, REPLACEMENTS + 1):
        for _ in range(3):
            answers = await asyncio.gather(*(caller.ask() for caller in callers))
        served = sum(1 for status in answers if status == 200)
        run.record(f"generation {generation}: {served} of {len(answers)} served, "
                   f"{descriptors(daemon)} descriptors")
        if site.TROUBLE:
            new = await start_engines(run, generation)
            await asyncio.sleep(0.4)
            leaving += [asyncio.create_task(engine.leave()) for engine in engines]
            engines = new
            await asyncio.sleep(1.2)
        else:
            await asyncio.sleep(1.6)
    await asyncio.gather(*leaving)
    run.record(f"replaced {len(leaving)} engines in {time.monotonic() - began:.0f} s; all of them are gone")
    await asyncio.sleep(4)
    answers = await asyncio.gather(*(caller.ask() for caller in callers))
    run.record(f"at the end {answers.count(200)} of {len(answers)} served, with {INSTANCES} sound engines")
    run.record(f"{descriptors(daemon)} of {MAX_FDS} descriptors open; ready: {await daemon.ready()}")
    answered = await asyncio.gather(*(ask_on_new_connection(run, daemon, number)
                                      for number in range(ASKED_AT_THE_END)))
    run.record(f"{descriptors(daemon)} of {MAX_FDS} descriptors open; ready: {await daemon.ready()}")
    missing = answered.count(False)
    if missing > len(answered) / 2:
        return f"CONFIG: {missing} of {len(answered)} requests had no answer 0.5 s after timeoutMs"
    return None


site.Case(Path(__file__).resolve().parent).run(case)
