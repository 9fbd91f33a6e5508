"""Orders that are carried out late let a head open its group again; the manager then joins it to another group."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from platform3 import (CannotRun, Caller, Daemon, GroupEngine, Store, configuration, describe, disrupted,
                       model_service, open_groups, play, stream_route)


class LateOrders:
    """applied_late: some orders get no answer and are carried out 2 to 12 s after they came."""

    def __init__(self, record):
        self.record = record
        self.orders = 0
        self.held = {}  # operation -> (engine, order, when it came)

    def __call__(self, engine, order):
        self.orders += 1
        kind = "fence" if order.get("group", "").startswith("parked-") else order["operation"]
        watched = next(iter(self.held.values()))[0] if self.held else engine
        if kind not in ("join", "open", "fence") or kind in self.held or engine is not watched:
            return False
        if kind == "join" and order["members"][0] != engine.name:
            return False
        self.held[kind] = (engine, order, time.monotonic())
        self.record("engine %s: %s gets no answer" % (engine.name, describe(order)))
        return True

    def carry_out(self, kind):
        engine, order, came = self.held[kind]
        age = time.monotonic() - came
        if not 2 <= age <= 12:
            raise CannotRun("%s would be carried out %.1f s after it came" % (kind, age))
        group = engine.group
        status = engine.order(order)
        self.record("engine %s: %s -> %d, carried out %.1f s after it came" % (engine.name, describe(order), status, age))
        return group, status


async def case(record, directory, daemons):
    store = Store()
    await store.start()
    broken = []
    engines = {}

    class Judged(GroupEngine):
        """TWO: an engine takes a join of another group while the head of its group is open or closing."""

        def order(self, order):
            group = self.group
            head = engines[group["members"][0]] if group else None
            serving = head and head.group and (head.group["name"], head.group["epoch"]) == (
                group["name"], group["epoch"]) and head.group["phase"] in ("open", "closing")
            status = super().order(order)
            if order["operation"] == "join" and status == 202 and serving and order["group"] != group["name"]:
                broken.append("engine %s took the join of %s while the head %s of its group %s was open"
                              % (self.name, order["group"], head.name, group["name"]))
                record("TWO: " + broken[-1])
            return status

    all_engines = [Judged(store, record, "e%d" % i, "pool", "f%d" % (i // 4), engines) for i in range(8)]
    late = LateOrders(record)
    for engine in all_engines:
        engine.late = late if disrupted() else None
        await engine.start()
    store.put("op/config", json.dumps(configuration([stream_route("plans", "/plans/", "pool")],
                                                    [model_service("pool")])).encode())
    for number in (1, 2):
        daemons.append(Daemon(store, record, "front-%d" % number, directory))
        daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_ready()
    await open_groups(all_engines, 4)
    head = late.held["open"][0] if disrupted() else next(e for e in all_engines if e.group["phase"] == "open")
    member = engines[head.group["members"][1]]
    group = head.group["name"]
    caller = Caller(record, daemons[0], "caller", "/plans/a", deadline_ms=8000)
    caller.headers = "X-Rosemarylever-Model: m1\r\nX-Rosemarylever-Token-Counts: 1460,25\r\n"
    task = asyncio.ensure_future(caller.run(pause_s=0.1))
    await asyncio.sleep(2)
    record("engine %s, a member of group %s, is to leave (planned): it reports draining" % (member.name, group))
    member.draining = True
    member.change()
    until = time.monotonic() + 8
    while time.monotonic() < until and head.group and head.group["name"] == group:
        await asyncio.sleep(0.005)
    record("head %s has left group %s" % (head.name, group))
    if disrupted():
        until = time.monotonic() + 3
        while time.monotonic() < until and "fence" not in late.held:
            await asyncio.sleep(0.005)
        if "fence" not in late.held:
            raise CannotRun("the manager sent no join of another group to the head")
        late.carry_out("join")
        until = time.monotonic() + 0.5
        while time.monotonic() < until and head.group and head.group["phase"] == "joining":
            await asyncio.sleep(0.01)
        late.carry_out("open")
        await asyncio.sleep(2.2)
        late.carry_out("fence")
    await asyncio.sleep(3)
    caller.stopped = True
    task.cancel()
    record("orders: %d, of them carried out late: %d" % (late.orders, len(late.held)))
    return bool(broken)


play(case, HERE)
