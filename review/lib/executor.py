"""A stand-in of an executor.

It follows PROTOCOL.md, "Running tasks". The spec of a task is a JSON object
with its run time `ms` and its size `cpu`.
"""

import asyncio
import json
import time

from web import Drop, Server

MAX_LEASE_MS = 1000
STOP_S = 0.02


class Run:
    def __init__(self, number, cpu, duration_s):
        self.number = number
        self.cpu = cpu
        self.duration_s = duration_s
        self.started = time.monotonic()
        self.timer = None


class Executor:
    """One executor; crash() and restart() begin a new life under its id."""

    def __init__(self, name, zone, record, cpu=16000, labels=("a", "r1-1")):
        self.id = name
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.record = record  # called with keyword arguments
        self.server = Server(self.handle)
        self.host = self.port = None
        self.public = None  # the address that is registered
        self.up = False
        self.cut_off = False  # no call gets through, in either direction
        self._begin_life()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self.token = 0
        self.running = {}
        self.finished = []
        self.highest = {}
        self.sequence = 0
        self.lease_until_ms = 0
        self._lease_timer = None
        self._waiters = []

    async def start(self, host, port=0):
        await self.server.listen(host, port)
        self.host, self.port = self.server.address
        self.public = self.public or f"{self.host}:{self.port}"
        self.up = True

    async def crash(self):
        self.up = False
        for task, run in self.running.items():
            run.timer.cancel()
            self.record(what="crashed", executor=self.id, task=task,
                        run=run.number)
        if self._lease_timer:
            self._lease_timer.cancel()
        self.running = {}
        await self.server.close()

    async def restart(self):
        self._begin_life()
        self.server = Server(self.handle)
        await self.start(self.host, self.port)
        self.record(what="restarted", executor=self.id)

    def clock_ms(self):
        return int((time.monotonic() - self._clock_zero) * 1000)

    def registration(self, service, sequence):
        return {"service": service, "address": self.public, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock_ms(),
                "sequence": sequence, "born": self.born}

    async def handle(self, request):
        await self._fail_if_cut_off()
        answer = await self._handle(request)
        await self._fail_if_cut_off()
        return answer

    async def _fail_if_cut_off(self):
        """Drops the connection after the cut, without an answer before."""
        if not self.cut_off:
            return
        while self.cut_off:
            await asyncio.sleep(0.02)
        raise Drop

    async def _handle(self, request):
        if request.path == "/health":
            return 200, b"{}"
        if request.headers.get("x-expected-instance", self.id) != self.id:
            return 421, b"{}"
        body = json.loads(request.body)
        token = body.get("fencing_token", 0)
        if request.path == "/hold" and token == 0 and "until_ms" not in body:
            return 200, self.lists()  # asks only
        if token < self.token:
            return self.conflict("fence")
        self.token = token
        if request.path == "/run-start":
            return self.start_run(body)
        if request.path == "/run-stop":
            return await self.stop_run(body)
        if request.path == "/hold":
            return await self.hold(body)
        raise Drop

    def answer(self, **fields):
        return 200, json.dumps({"clock_ms": self.clock_ms(), **fields}).encode()

    def conflict(self, reason):
        return 409, json.dumps({"clock_ms": self.clock_ms(),
                                "reason": reason}).encode()

    def extend_lease(self, until_ms):
        until = min(until_ms, self.clock_ms() + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until)
        if self._lease_timer:
            self._lease_timer.cancel()
        left = max(0, self.lease_until_ms - self.clock_ms()) / 1000
        self._lease_timer = asyncio.get_running_loop().call_later(
            left, self.lapse)

    def lapse(self):
        for task in list(self.running):
            self.end(task, "lapsed")

    def start_run(self, body):
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known and known.number == number:
            return self.answer()
        if body["until_ms"] <= self.clock_ms():
            return self.conflict("late")
        self.extend_lease(body["until_ms"])
        if known or number <= self.highest.get(task, 0):
            return self.conflict("old")
        spec = json.loads(body["spec"])
        used = sum(run.cpu for run in self.running.values())
        if used + spec["cpu"] > self.cpu:
            return self.conflict("room")
        run = Run(number, spec["cpu"], spec["ms"] / 1000)
        run.timer = asyncio.get_running_loop().call_later(
            run.duration_s, self.end, task, spec.get("how", "done"))
        self.running[task] = run
        self.record(what="start", executor=self.id, task=task, run=number,
                    spec=body["spec"], token=body["fencing_token"])
        return self.answer()

    async def stop_run(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, "stopped")
        return self.answer()

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run.timer.cancel()
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.sequence += 1
        self.finished.append([self.sequence, task, run.number, how, ""])
        self.record(what=how, executor=self.id, task=task, run=run.number)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters = []

    def lists(self):
        rows = []
        for task, run in self.running.items():
            share = (time.monotonic() - run.started) / max(0.001,
                                                           run.duration_s)
            rows.append([task, run.number, "", min(99, int(100 * share)),
                         run.cpu])
        return json.dumps({"clock_ms": self.clock_ms(), "born": self.born,
                           "running": rows,
                           "finished": self.finished[:500]}).encode()

    async def hold(self, body):
        seen = body.get("last_seen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.record(what="noted", executor=self.id, task=row[1],
                            run=row[2], how=row[3])
        self.finished = [row for row in self.finished if row[0] > seen]
        if "until_ms" in body:
            self.extend_lease(body["until_ms"])
        wait_ms = body.get("wait_ms", 0)
        if wait_ms and not self.finished:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, wait_ms / 1000)
            except TimeoutError:
                pass
        return 200, self.lists()
