"""A stand-in of an executor, after PROTOCOL.md. A job's spec is a JSON object
that says for each task what it needs and how it ends: `cpu`, `mem`, `ms`
and, if it fails by its own fault, `fails`."""

import asyncio
import json
import time

from web import Server, reply

HOLD_MAX_MS = 1000
STOP_MS = 20
MAX_ENDS = 500


class Executor:
    def __init__(self, ident, store, journal, service="svc", zone="a",
                 labels=(), cpu=16000, mem=65536, heartbeat_ms=1500):
        self.ident = ident
        self.store = store
        self.journal = journal
        self.service = service
        self.zone = zone
        self.labels = list(labels)
        self.cpu, self.mem = cpu, mem
        self.heartbeat_s = heartbeat_ms / 1000
        self.is_up = False
        self.host, self.port = None, 0
        self.server = None
        self.beat = None
        self.removal = None
        # While set, only the holder of this fencing token reaches the
        # executor: all others are behind a partition.
        self.only_token = None
        self.is_cut_from_store = False

    # One life.

    async def start(self, host):
        self.host = host
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running = {}  # task -> dict
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ends = []  # rows [N, task, run, how, saved]
        self.last_end = 0
        self.token = 0
        self.until_ms = 0
        self.has_lapsed = True
        self.sequence = 0
        self.end_listed = asyncio.Event()
        self.is_up = True
        if self.removal:
            self.removal.cancel()
        self.server = Server(self.on_request)
        await self.server.start(host, self.port)
        self.port = self.server.address[1]
        self.journal("up", executor=self.ident, labels=list(self.labels),
                     born=self.born)
        self.beat = asyncio.create_task(self.send_heartbeats())
        self.lease = asyncio.create_task(self.watch_lease())

    def crash(self, for_good=False):
        """Dies: everything that ran is gone, connections are reset."""
        self.is_up = False
        self.beat.cancel()
        self.lease.cancel()
        for run in self.running.values():
            run["timer"].cancel()
        lost = [[task, run["run"]] for task, run in self.running.items()]
        self.running = {}
        self.server.crash()
        self.journal("crash", executor=self.ident, lost=lost)
        self.removal = asyncio.get_running_loop().call_later(
            3 * self.heartbeat_s, self.remove_entry)

    def remove_entry(self):
        self.store.put("keyed.servers", self.ident, b"")
        self.journal("entry_removed", executor=self.ident)

    async def send_heartbeats(self):
        silent = 0
        while True:
            if self.is_cut_from_store:
                silent += 1
                if silent == 4:
                    self.remove_entry()
                await asyncio.sleep(self.heartbeat_s)
                continue
            silent = 0
            self.sequence += 1
            self.store.put("keyed.servers", self.ident, json.dumps({
                "service": self.service, "zone": self.zone, "version": "v1",
                "address": "%s:%d" % (self.host, self.port), "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "born": self.born, "sequence": self.sequence}).encode())
            await asyncio.sleep(self.heartbeat_s)

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if not self.has_lapsed and self.clock_ms() >= self.until_ms:
                self.has_lapsed = True
                self.journal("lapse", executor=self.ident)
                for task in list(self.running):
                    self.end(task, "lapsed")

    def extend(self, until_ms):
        self.until_ms = max(self.until_ms,
                            min(until_ms, self.clock_ms() + HOLD_MAX_MS))
        if self.until_ms > self.clock_ms():
            self.has_lapsed = False

    def end(self, task, how):
        run = self.running.pop(task, None)
        if not run:
            return
        run["timer"].cancel()
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.journal("end", executor=self.ident, task=task, run=run["run"],
                     how=how, n=self.last_end)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    async def on_request(self, request):
        expected = request.headers.get("x-expected-instance")
        if request.path == "/health":
            return reply(200, {})
        if expected and expected != self.ident:
            return reply(421, {"clock_ms": self.clock_ms()})
        body = request.json()
        if (self.only_token is not None
                and body.get("fencing_token", 0) != self.only_token):
            return None
        if request.path == "/run-start":
            return self.on_start(body)
        if request.path == "/run-stop":
            return await self.on_stop(body)
        if request.path == "/hold":
            return await self.on_hold(body)
        return reply(404, {})

    def conflict(self, reason):
        return reply(409, {"clock_ms": self.clock_ms(), "reason": reason})

    def has_seen_higher(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def on_start(self, body):
        task, run = body["task"], body["run"]
        if self.has_seen_higher(body):
            return self.conflict("fence")
        at_work = self.running.get(task)
        if at_work and at_work["run"] == run:
            self.extend(body["until_ms"])
            return reply(200, {"clock_ms": self.clock_ms()})
        if at_work or run <= self.highest.get(task, 0):
            self.extend(body["until_ms"])
            return self.conflict("old")
        if body["until_ms"] <= self.clock_ms():
            return self.conflict("late")
        spec = json.loads(body["spec"])
        used_cpu = sum(r["cpu"] for r in self.running.values())
        used_mem = sum(r["mem"] for r in self.running.values())
        if (used_cpu + spec["cpu"] > self.cpu
                or used_mem + spec["mem"] > self.mem):
            self.extend(body["until_ms"])
            return self.conflict("room")
        self.extend(body["until_ms"])
        how = "failed" if spec.get("fails") else "done"
        loop = asyncio.get_running_loop()
        step = task.split(".")[2]
        ms = spec.get("step_ms", {}).get(step, spec["ms"])
        timer = loop.call_later(ms / 1000, self.end, task, how)
        self.running[task] = {
            "run": run, "cpu": spec["cpu"], "mem": spec["mem"],
            "timer": timer, "began": time.monotonic(), "ms": ms}
        self.journal("start", executor=self.ident, task=task, run=run,
                     token=self.token)
        return reply(200, {"clock_ms": self.clock_ms()})

    async def on_stop(self, body):
        task, run = body["task"], body["run"]
        if self.has_seen_higher(body):
            return self.conflict("fence")
        self.journal("stop", executor=self.ident, task=task, run=run)
        at_work = self.running.get(task)
        if at_work and at_work["run"] == run:
            asyncio.get_running_loop().call_later(
                STOP_MS / 1000, self.stop_ended, task, run)
        self.highest[task] = max(self.highest.get(task, 0), run)
        return reply(200, {"clock_ms": self.clock_ms()})

    def stop_ended(self, task, run):
        at_work = self.running.get(task)
        if at_work and at_work["run"] == run:
            self.end(task, "stopped")

    async def on_hold(self, body):
        if self.has_seen_higher(body):
            return self.conflict("fence")
        if "until_ms" in body:
            self.extend(body["until_ms"])
        seen = body.get("last_seen", 0)
        for row in self.ends:
            if row[0] <= seen:
                self.journal("noted", executor=self.ident, task=row[1],
                             run=row[2], how=row[3])
        self.ends = [row for row in self.ends if row[0] > seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.end_listed.wait(), wait)
            except TimeoutError:
                pass
        now = time.monotonic()
        return reply(200, {
            "clock_ms": self.clock_ms(), "born": self.born,
            "running": [[task, run["run"], "", min(99, int(
                (now - run["began"]) * 100000 / max(1, run["ms"])))]
                for task, run in self.running.items()],
            "finished": self.ends[:MAX_ENDS]})
