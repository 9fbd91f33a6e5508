"""The operator takes the last key away: from then on every request is served, with any key or none."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import platform2 as site

APPLY_S = 2.0  # configApplyMs
UNKNOWN_KEY = "key-that-never-was"


def request_with(key, request_id):
    raw = site.client_request("POST", "/bookings/kiln", request_id, b"slot 4")
    line = f"Authorization: Bearer {site.KEY}\r\n".encode()
    return raw.replace(line, f"Authorization: Bearer {key}\r\n".encode() if key else b"")


async def ask(run, daemon, key, request_id):
    try:
        answer = await asyncio.wait_for(site.call(daemon.listen["caller"], request_with(key, request_id)), 4)
    except (OSError, asyncio.TimeoutError, ValueError):
        answer = None
    ran = any(request_id in service.runs for service in run.services)
    run.record(f"{request_id} with key {key} at {daemon.name}: answer {answer[0] if answer else None}, "
               f"run by an engine: {ran}")
    return ran


async def case(run):
    config = site.default_config()
    other = {"name": "head-office", "apiKeys": ["key-office-1"], "priority": 1}
    if not site.TROUBLE:
        config["tenants"].append(other)  # keeps its key
    await run.site(daemons=2, services=3, config=config)
    for daemon in run.daemons:
        await ask(run, daemon, site.KEY, f"before-{daemon.name}")
        await ask(run, daemon, UNKNOWN_KEY, f"before-unknown-{daemon.name}")
    config["version"] = 9
    config["tenants"][0]["apiKeys"] = []
    await run.store.put("op/config", config)
    run.record(f"operator: version 9 acknowledged; tenant 'branch' has lost its only key {site.KEY}")
    await asyncio.sleep(APPLY_S + 1.5)
    revoked, unknown, without = 0, 0, 0
    for attempt in range(3):
        for daemon in run.daemons:
            revoked += await ask(run, daemon, site.KEY, f"revoked-{daemon.name}-{attempt}")
            unknown += await ask(run, daemon, UNKNOWN_KEY, f"unknown-{daemon.name}-{attempt}")
            without += await ask(run, daemon, None, f"without-{daemon.name}-{attempt}")
    run.record(f"run of 6 each: {revoked} with the revoked key, {unknown} with a key that never was, "
               f"{without} without a key")
    if revoked or unknown or without:
        return (f"ROUTE and CONFIG: of 6 each, {unknown} ran with a key that no configuration ever held, "
                f"{revoked} with the revoked key, {without} without a key")
    return None


site.Case(Path(__file__).resolve().parent).run(case)
