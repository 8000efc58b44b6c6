"""A node is killed and started again while the store is down. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from system import CannotRun, run_case  # noqa: E402

ZONES = ["brisbane-a", "ipswich-b", "toowoomba-c"]
STORE_DOWN_S = 4.5
KILLED_AFTER_S = 0.3
NODE_DOWN_S = 1.2
CALLS = 12
SECOND_CALLS_AT_S = 3.4
VISIBLE_S = 3
CONTACT_S = 3
BODY = {"spec": '{"ms":100,"cpu":1000}',
        "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64,
                   "estimated_ms": 100}]}


def hand_in(system, first):
    """Hands CALLS jobs in at the first node; returns the calls."""
    jobs = [f"{0x5c0e000000000000 + 104729 * (first + i):016x}"
            for i in range(CALLS)]
    return {job: asyncio.ensure_future(system.call(
        system.nodes[0], "POST", job, BODY, timeout_s=1.5)) for job in jobs}


async def scenario(system, trouble):
    await system.start(ZONES, [zone for zone in ZONES for _ in range(3)])
    node, other = system.nodes[0], system.nodes[1]
    await system.warm_up(other)
    began = system.record.now()
    first = hand_in(system, 0)
    if trouble:
        await asyncio.sleep(0.002)
        system.store.set_silent(True)
        system.record(what="store_down", for_s=STORE_DOWN_S)
        await asyncio.sleep(KILLED_AFTER_S)
        node.kill()
        await asyncio.sleep(NODE_DOWN_S)
        node.start()
    await asyncio.sleep(SECOND_CALLS_AT_S - (system.record.now() - began))
    second = hand_in(system, CALLS)
    if trouble:
        await asyncio.sleep(STORE_DOWN_S - (system.record.now() - began))
        system.store.set_silent(False)
        system.record(what="store_up")
    calls = {**first, **second}
    accepted = [job for job, call in calls.items() if (await call)[0] == 200]
    await asyncio.sleep(VISIBLE_S + CONTACT_S)
    missing = []
    for job in accepted:
        if await system.state(other, job) == 410:
            missing.append(job)
    system.record(what="result", accepted=len(accepted),
                  accepted_and_unknown=missing)
    if not accepted:
        raise CannotRun("no job was accepted")
    return not missing


sys.exit(run_case(__file__, ZONES, scenario))
