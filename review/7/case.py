"""A task of a stored job ends `done` in a data centre that is cut off; the
keeper of the job cannot learn of it and has the task run again. Before the
cut heals, the keeper is stopped as planned and another node takes over."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from system import CannotRun, id_in, main, new_id, spec, step  # noqa: E402

SHORT_MS, LONG_MS = 300, 20000
CUT_S = 5.5  # The longest cut of a data centre in the site file.


async def case(system, trouble):
    system.configure(max_attempts=2)
    await system.add_executor("i-near", zone="zone-a")
    far = await system.add_executor("i-far", zone="zone-b")
    await system.add_nodes(("node-a", "zone-a"), ("node-b", "zone-b"),
                           link=True)
    await system.until_ready()
    node_a, node_b = system.nodes.values()
    await system.send(node_a, "POST", new_id(), {
        "spec": spec(ms=100), "steps": [step(1, ms=100)]}, 5000)
    await system.until_kept()
    await asyncio.sleep(1)

    # The far executor is always at work for callers of its own data centre.
    load = asyncio.create_task(system.keep_busy(node_b, 6, 2000))
    await asyncio.sleep(1)
    # The near executor is full, so the keeper sends the task to the far one.
    asyncio.create_task(system.send(node_a, "POST", new_id(), {
        "spec": spec(16000, 64, 1200), "best_effort": True,
        "steps": [step(1, 16000, 64, 1200)]}, 4000))
    await asyncio.sleep(0.4)
    ident = id_in(await node_a.kept())
    job = {"spec": spec(1000, 64, SHORT_MS, step_ms={"1": LONG_MS}),
           "steps": [step(1, 1000, 64, SHORT_MS),
                     step(1, 1000, 64, LONG_MS, after=[0])]}
    code, _ = await system.send(node_a, "POST", ident, job)
    if code != 200:
        raise CannotRun("the job was not accepted")
    await system.until(lambda: system.starts(ident), 2, "no start")
    if system.starts(ident)[0]["executor"] != far.ident:
        raise CannotRun("the first run was not in the other data centre")
    if trouble:
        system.cut_zone("zone-b", True)
    cut_at = system.now()
    # Once the second step is under way, the keeper is stopped as planned.
    await system.until(lambda: system.starts(ident, 1), CUT_S,
                       "the second step has not started")
    system.note("sigterm", node=node_a.name)
    node_a.kill(signal.SIGTERM)
    await asyncio.sleep(max(0, cut_at + CUT_S - system.now()))
    if trouble:
        system.cut_zone("zone-b", False)
    await asyncio.sleep(8)
    system.note("state", job=ident, state=await system.state(node_b, ident))
    load.cancel()
    return twice(system, ident)


def twice(system, ident):
    """A start after a run of the task has ended `done`, if that end is taken
    note of then or later; not if the executor's lease lapsed between the end
    and the note."""
    breaches = []
    for end in system.ends(ident, "done"):
        noted = [e for e in system.events if e["what"] == "noted"
                 and e["task"] == end["task"] and e["run"] == end["run"]
                 and e["executor"] == end["executor"]]
        lapses = [e for e in system.events if e["what"] in ("lapse", "crash")
                  and e["executor"] == end["executor"] and noted
                  and end["at"] <= e["at"] <= noted[0]["at"]]
        if not noted or lapses:
            continue
        for start in system.starts(ident):
            if start["task"] == end["task"] and start["at"] > end["at"]:
                breaches.append(
                    "TWICE: run %d of %s was started on %s at %.3f, after run "
                    "%d had ended done on %s at %.3f; that end was taken note "
                    "of at %.3f and the lease had not lapsed" % (
                        start["run"], start["task"], start["executor"],
                        start["at"], end["run"], end["executor"], end["at"],
                        noted[0]["at"]))
    return breaches


main(case, FOLDER)
