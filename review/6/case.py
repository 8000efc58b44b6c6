"""The executor of a kind in one data centre is lost for good; others of that
kind, in the other data centres, are idle. Stored jobs that need this kind
have to run on those."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from system import main, new_id, spec, step  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
KINDS = ("a", "a", "a", "b")  # Of the executors of each zone.
TASK_CPU, TASK_MEM, TASK_MS = 6800, 64, 300
CRASH_AT_S, TRAFFIC_S, FINISH_S, IDLE_S = 3, 12, 14, 3


async def case(system, trouble):
    system.configure(max_attempts=2)
    for zone in ZONES:
        for i, kind in enumerate(KINDS):
            await system.add_executor("i-%s-%d" % (zone, i), zone=zone,
                                      labels=[kind, "r-" + zone])
    await system.add_nodes(*[("node-" + zone, zone) for zone in ZONES])
    await system.until_ready()
    nodes = list(system.nodes.values())
    # The first stored job makes the nodes share the partitions.
    await system.send(nodes[0], "POST", new_id(), job(), 5000)
    await system.until_kept()

    accepted, sent = {}, 0
    traffic_began = system.now()
    lost = system.executors["i-zone-a-3"]
    while system.now() < traffic_began + TRAFFIC_S:
        if trouble and lost.is_up and (system.now()
                                       >= traffic_began + CRASH_AT_S):
            lost.crash(for_good=True)
        ident = new_id()
        code, _ = await system.send(nodes[sent % 3], "POST", ident, job())
        sent += 1
        if code == 200:
            accepted[ident] = job()
        await asyncio.sleep(0.2)
    system.note("traffic_over", sent=sent, accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    breaches = []
    for ident in await system.idle_jobs(accepted, IDLE_S):
        state = await system.state(nodes[1], ident)
        breaches.append(
            "LOST: job %s was accepted and is '%s' %d s after the traffic; "
            "starts: %d; executors of its kind are idle" % (
                ident, state, FINISH_S + IDLE_S, len(system.starts(ident))))
    return breaches


def job():
    return {"spec": spec(TASK_CPU, TASK_MEM, TASK_MS),
            "steps": [step(1, TASK_CPU, TASK_MEM, TASK_MS,
                           requirements="b")]}


main(case, FOLDER)
