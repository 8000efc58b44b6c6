"""A small deployment on loopback addresses: the project's nodes as processes
with the command of the deploy file, and stand-ins for all else."""

import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from executor import Executor
from store import Store
from web import Server, call

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
METRICS_PORT = 9464
HOST = "jobs.example"
PREFIX = "/certify/"
MASK = (1 << 64) - 1


def deployed_command():
    """Returns the words of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()


def xxh64(data):
    """The hash by which a node picks the partition of a job's id (16 bytes)."""
    p1, p2, p3, p4, p5 = (0x9E3779B185EBCA87, 0xC2B2AE3D27D4EB4F,
                          0x165667B19E3779F9, 0x85EBCA77C2B2AE63,
                          0x27D4EB2F165667C5)

    def rotl(x, r):
        return ((x << r) | (x >> (64 - r))) & MASK
    h = (p5 + len(data)) & MASK
    while len(data) >= 8:
        k = int.from_bytes(data[:8], "little") * p2 & MASK
        h ^= rotl(k, 31) * p1 & MASK
        h = (rotl(h, 27) * p1 + p4) & MASK
        data = data[8:]
    h ^= h >> 33
    h = h * p2 & MASK
    h ^= h >> 29
    h = h * p3 & MASK
    return h ^ (h >> 32)


def partition_of(job, parts=8):
    return xxh64(job.encode()) % parts


class Link:
    """A proxy before the control port of a node, which can be cut: it then
    passes nothing on, without closing, and takes no new connections."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.is_cut = False
        self.pairs = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.on_connection, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def on_connection(self, reader, writer):
        if self.is_cut:
            await self.hold(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        tasks = [asyncio.create_task(self.pump(reader, far_writer)),
                 asyncio.create_task(self.pump(far_reader, writer))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self.pairs.discard(pair)
        writer.transport.abort()
        far_writer.transport.abort()

    async def hold(self, writer):
        while self.is_cut:
            await asyncio.sleep(0.05)
        writer.transport.abort()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                while self.is_cut:
                    await asyncio.sleep(0.05)
                    if not self.is_cut:
                        return  # What was held up is lost with the link.
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return


class Node:
    def __init__(self, name, zone, host, store, folder, link=False):
        self.name, self.zone, self.host = name, zone, host
        self.store, self.folder = store, folder
        self.ports = [free_port(host) for _ in range(3)]
        self.link = Link((host, self.ports[2])) if link else None
        # The node's way to the store.
        self.store_link = Link(store.server.address) if link else None
        self.process = None

    @property
    def front(self):
        return self.host, self.ports[0]

    async def start(self, seeds, bootstrap=True):
        command = deployed_command()
        override = os.environ.get("NODE_PROGRAM")
        if override:
            command[0] = override
        if self.link:
            for proxy in (self.link, self.store_link):
                if not proxy.server:
                    await proxy.start(self.host)
            command += ["--advertise", self.link.address]
        settings = {
            "node": self.name, "role": "node", "machine_class": "front",
            "serves": ["front", "control"], "ip": self.host,
            "zone": self.zone, "region": "r",
            "listen_addresses": {
                "front": "%s:%d" % (self.host, self.ports[0]),
                "ready": "%s:%d" % (self.host, self.ports[1]),
                "control": "%s:%d" % (self.host, self.ports[2])},
            "seeds": seeds, "bootstrap": bootstrap,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": 1500, "orders": "rpc",
            "bounds": {
                "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000,
                "grace_s": 6, "config_apply_ms": 2000, "hold_max_ms": 1000,
                "stop_timeout_ms": 50, "cancel_ms": 3000, "visible_ms": 3000,
                "finish_s": 14, "status_s": 120, "lease_ms": 3000,
                "resend_ms": 1300},
            "platform": {
                "address": (self.store_link.address if self.store_link
                            else self.store.address),
                "form": "log",
                "writes_per_s": 800, "reads_per_s": 2000,
                "parts": self.store.parts, "append_ms": 4.0,
                "record_bytes": self.store.record_bytes,
                "request_bytes": self.store.request_bytes, "keep_s": 300,
                "partition_mb": 200, "min_ttl_ms": 1000}}
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.log_path = os.path.join(self.folder, self.name + ".log")
        env = {"AUBURNHUB_BOOT": path, "PATH": os.environ.get("PATH", ""),
               "HOME": self.folder}
        with open(self.log_path, "ab") as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=out, stderr=out,
                stdin=subprocess.DEVNULL)

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def status(self):
        code, body = await call((self.host, METRICS_PORT), "GET", "/v1/status",
                                {"Host": self.host}, timeout=2)
        return json.loads(body)["role"] if code == 200 else {}

    async def kept(self):
        """Returns the partitions that the node keeps."""
        return {p["part"]
                for p in (await self.status()).get("kept_partitions", [])}

    async def is_ready(self):
        code, _ = await call((self.host, self.ports[1]), "GET", "/readiness",
                             {"Host": self.host}, timeout=1)
        return code == 200


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class System:
    """Set up by `async with`; ends all processes that it started."""

    def __init__(self, folder, parts=8):
        self.case_folder = folder
        self.began = time.monotonic()
        self.events = []
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.parts = parts
        self.nodes, self.executors = {}, {}

    async def __aenter__(self):
        self.folder = tempfile.mkdtemp(prefix="auburnhub-review-")
        # The metrics port is fixed, so that each system has addresses of its
        # own; a bound port keeps them for it.
        while True:
            self.block = "127.%d.%d." % (random.randint(64, 250),
                                         random.randint(1, 250))
            self.reservation = socket.socket()
            try:
                self.reservation.bind((self.block + "250", METRICS_PORT))
                break
            except OSError:
                self.reservation.close()
        self.store = Store(self.parts, log=self.note)
        await self.store.start(self.block + "1")
        return self

    async def __aexit__(self, *_):
        for node in self.nodes.values():
            node.kill(signal.SIGCONT)
            node.kill()
        for node in self.nodes.values():
            if node.process:
                node.process.wait()
        self.record.close()
        self.reservation.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        event = {"at": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        self.record.write(json.dumps(event) + "\n")
        self.record.flush()

    def configure(self, max_attempts=2, version=1, timeout_ms=1500):
        self.store.put("keyed.op", "config", json.dumps({
            "version": version,
            "routes": [{
                "name": "queue", "host": HOST, "path_prefix": PREFIX,
                "type": "unsafe", "timeout_ms": timeout_ms,
                "target_latency_ms": 60, "priority": 0, "service": "svc",
                "max_attempts": max_attempts, "stretch": 1.6}],
            "services": [{
                "name": "svc", "health_check_path": "/health",
                "max_connections": 64, "protocol": "h1", "tls": False,
                "admission_check": True, "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }).encode())

    async def add_executor(self, name, **options):
        executor = Executor(name, self.store, self.note, **options)
        self.executors[name] = executor
        host = self.block + str(100 + len(self.executors))
        await executor.start(host)
        return executor

    async def add_nodes(self, *names_and_zones, link=False):
        for name, zone in names_and_zones:
            host = self.block + str(11 + len(self.nodes))
            self.nodes[name] = Node(name, zone, host, self.store, self.folder,
                                    link)
        seeds = []
        for node in self.nodes.values():
            if node.link:
                await node.link.start(node.host)
                await node.store_link.start(node.host)
                seeds.append(node.link.address)
            else:
                seeds.append("%s:%d" % (node.host, node.ports[2]))
        for node in self.nodes.values():
            await node.start(seeds[:3])

    async def until(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        raise CannotRun(what + " within %d s" % seconds)

    async def until_ready(self):
        for node in self.nodes.values():
            await self.until(node.is_ready, 20, node.name + " is not ready")

    async def until_kept(self):
        """Waits until each partition is kept by one node."""
        async def all_kept():
            kept = [await node.kept() for node in self.nodes.values()]
            return sum(map(len, kept)) == self.parts
        await self.until(all_kept, 20, "partitions are not kept")

    def cut_zone(self, zone, is_cut):
        """Partitions a data centre, its node and its executors, from the
        other one and from the store; clients reach both. For two nodes."""
        self.note("zone_cut" if is_cut else "zone_healed", zone=zone)
        for node in self.nodes.values():
            node.link.is_cut = is_cut
            if node.zone == zone:
                node.store_link.is_cut = is_cut
        for executor in self.executors.values():
            executor.only_token = executor.token if is_cut else None
            if executor.zone == zone:
                executor.is_cut_from_store = is_cut

    async def keep_busy(self, node, count, cpu, mem=64, ms=400):
        """Sends jobs that need not be stored, one after the other on each of
        `count` connections, until cancelled."""
        async def one():
            while True:
                body = {"spec": spec(cpu, mem, ms), "best_effort": True,
                        "steps": [step(1, cpu, mem, ms)]}
                await self.send(node, "POST", new_id(), body, 3000, quiet=True)
                await asyncio.sleep(0.01)
        await asyncio.gather(*[one() for _ in range(count)])

    # Clients.

    async def send(self, node, method, job, body=None, deadline_ms=1500,
                   quiet=False):
        data = json.dumps(body, separators=(",", ":")).encode() if body else b""
        began = self.now()
        code, answer = await call(
            node.front, method, PREFIX + job,
            {"Host": HOST, "Content-Type": "application/json",
             "X-Deadline-Ms": str(deadline_ms)}, data,
            timeout=deadline_ms / 1000 + 0.2)
        if not quiet:
            self.note("answer", node=node.name, method=method, job=job,
                      bytes=len(data), sent=round(began, 3), code=code,
                      body=answer.decode("utf-8", "replace")[:120])
        return code, answer

    async def state(self, node, job):
        code, answer = await self.send(node, "GET", job, quiet=True)
        return json.loads(answer).get("state") if code == 200 else code

    def starts(self, job, step=None):
        return [e for e in self.events if e["what"] == "start"
                and e["task"].startswith(job + ".")
                and (step is None or e["task"].split(".")[2] == str(step))]

    def ends(self, job, how=None):
        return [e for e in self.events if e["what"] == "end"
                and e["task"].startswith(job + ".")
                and (how is None or e["how"] == how)]


    async def idle_jobs(self, accepted, idle_s):
        """Returns the accepted jobs that are not done and of which, for idle_s,
        nothing runs while the turn of a task has come, there is capacity for
        it twice over and under half of the service's is in use. `accepted`
        holds, by id, the body of each job."""
        waiting = {ident for ident, body in accepted.items()
                   if self.next_step(ident, body) is not None}
        until = self.now() + idle_s
        while self.now() < until and waiting:
            up = [e for e in self.executors.values() if e.is_up]
            used = {e.ident: sum(r["cpu"] for r in e.running.values())
                    for e in up}
            is_half_used = 2 * sum(used.values()) >= sum(e.cpu for e in up)
            for ident in list(waiting):
                wanted = accepted[ident]["steps"][
                    self.next_step(ident, accepted[ident]) or 0]
                label = wanted.get("requirements")
                room = sum((e.cpu - used[e.ident]) // wanted["cpu"]
                           for e in up if not label or label in e.labels)
                is_running = any(task.startswith(ident + ".")
                                 for e in up for task in e.running)
                if room < 2 or is_half_used or is_running or (
                        self.next_step(ident, accepted[ident]) is None):
                    waiting.discard(ident)
            await asyncio.sleep(0.05)
        return sorted(waiting)

    def next_step(self, ident, body):
        """Returns the first step with a task that has not ended `done` and
        whose earlier steps have, or None."""
        done = {e["task"] for e in self.ends(ident, "done")}
        for number, wanted in enumerate(body["steps"]):
            names = {"%s.0.%d.%d" % (ident, number, i)
                     for i in range(wanted["count"])}
            after = {"%s.0.%d.%d" % (ident, s, i)
                     for s in wanted.get("after", [])
                     for i in range(body["steps"][s]["count"])}
            if names - done and not after - done:
                return number
        return None


def id_in(partitions):
    """Returns a new id of a job that lies in one of the partitions."""
    while True:
        ident = new_id()
        if partition_of(ident) in partitions:
            return ident


class CannotRun(Exception):
    pass


def new_id():
    return "%016x" % random.getrandbits(64)


def spec(cpu=1000, mem=64, ms=200, **more):
    return json.dumps({"cpu": cpu, "mem": mem, "ms": ms, **more},
                      separators=(",", ":"))


def step(count=1, cpu=1000, mem=64, ms=200, **more):
    return {"count": count, "cpu": cpu, "mem_mb": mem, "estimated_ms": ms,
            **more}


def main(case, folder):
    """Runs a case: a coroutine function that takes the system and whether
    the disruption is wanted, and returns the breaches of the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def run():
        # Ends the nodes, too, if the script is told to stop.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with System(folder) as system:
            try:
                async with asyncio.timeout(110):
                    breaches = await case(system, trouble)
            except (CannotRun, TimeoutError,
                    asyncio.CancelledError) as failure:
                system.note("cannot_run", detail=repr(failure))
                print("cannot run:", repr(failure))
                return 2
            for breach in breaches:
                system.note("breach", detail=breach)
                print("broken:", breach)
            system.note("verdict", trouble=trouble, breaches=len(breaches))
            print("broken" if breaches else "held",
                  "" if trouble else "(without the disruption)")
            return 1 if breaches else 0

    verdict = asyncio.run(run())
    sys.stdout.flush()
    os._exit(verdict)  # Without the reports of tasks that were cancelled.
