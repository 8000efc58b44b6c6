"""A zone is cut off while tasks of stored jobs run there. See claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from system import CannotRun, run_case  # noqa: E402

ZONES = ["brisbane-a", "ipswich-b", "toowoomba-c"]
CUT_ZONE = "ipswich-b"
CUT_S = 6.0
JOBS = 16
TASK_MS = 12000
AFTER_S = 4  # after the cut


def overlapping_runs(events):
    """Returns the tasks of which two runs worked at the same time."""
    active, found = {}, {}
    for event in events:
        if event["what"] not in ("start", "done", "failed", "stopped",
                                 "lapsed", "crashed"):
            continue
        runs = active.setdefault(event["task"], {})
        key = (event["executor"], event["run"])
        if event["what"] != "start":
            runs.pop(key, None)
            continue
        runs[key] = event["at"]
        if len(runs) > 1:
            found.setdefault(event["task"], dict(runs))
    return found


async def scenario(system, trouble):
    await system.start(ZONES, [zone for zone in ZONES for _ in range(3)],
                       proxied=True)
    nodes = system.nodes
    await system.warm_up()
    jobs = [f"{0x5c0e7a21d94b0000 + 7919 * i:016x}" for i in range(JOBS)]
    body = {"spec": '{"ms":%d,"cpu":2000}' % TASK_MS,
            "steps": [{"count": 1, "cpu": 2000, "mem_mb": 256,
                       "estimated_ms": TASK_MS}]}
    accepted = set()
    for attempt in range(20):
        for index, job in enumerate(jobs):
            if job not in accepted:
                status, _ = await system.call(nodes[index % 3], "POST", job,
                                              body)
                if status == 200:
                    accepted.add(job)
        if len(accepted) == JOBS:
            break
        await asyncio.sleep(0.5)
    if len(accepted) < JOBS:
        raise CannotRun("not all jobs were accepted")

    def all_started():
        started = {e["task"][:16] for e in system.record.of("start")}
        return started.issuperset(jobs)

    if not await system.until(all_started, 10):
        raise CannotRun("not all tasks were started")
    if trouble:
        system.record(what="cut", zone=CUT_ZONE, for_s=CUT_S)
        system.network.cut(CUT_ZONE)
        await asyncio.sleep(CUT_S)
        system.network.heal()
        system.record(what="healed", zone=CUT_ZONE)
    await asyncio.sleep(AFTER_S)
    twice = overlapping_runs(system.record.events)
    for task, runs in twice.items():
        system.record(what="two_runs_at_a_time", task=task,
                      runs=[[*key, at] for key, at in runs.items()])
    return not twice


sys.exit(run_case(__file__, ZONES, scenario))
