"""Starts nodes of auburnhub beside stand-ins and records what is seen."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import web
from executor import Executor
from network import Network, Proxy
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
SERVICE = "tile-orders"
HOST = "jobs.example"
PREFIX = "/certify/"
MAX_ATTEMPTS = 4


def deploy_command():
    """Returns the command of the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return json.loads(line.removeprefix("run = ")).split()
    raise RuntimeError("no command in deploy/system.toml")


class Record:
    """Events of a run, in the order in which they were seen."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin = time.monotonic()
        self.events = []

    def __call__(self, **fields):
        at = round(time.monotonic() - self._begin, 3)
        self.events.append({"at": at, **fields})
        self._file.write(json.dumps({"at": at, **fields}) + "\n")
        self._file.flush()

    def now(self):
        return time.monotonic() - self._begin

    def of(self, what, **fields):
        return [e for e in self.events if e["what"] == what and
                all(e.get(k) == v for k, v in fields.items())]


class Node:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, system, name, zone, host):
        self.system, self.name, self.zone, self.host = system, name, zone, host
        self.ports = [free_port(host) for _ in range(3)]
        self.process = None
        self.store_address = None
        self.link_proxy = None
        self.starts = 0

    @property
    def callers(self):
        return self.host, self.ports[0]

    def write_settings(self, path):
        front, ready, control = (f"{self.host}:{p}" for p in self.ports)
        first = self.system.nodes[0]
        seed = (first.link_proxy.address if first.link_proxy else
                (first.host, first.ports[2]))
        settings = {
            "node": self.name, "role": "node", "machine_class": "front",
            "serves": ["front", "control"], "ip": self.host, "zone": self.zone,
            "region": "qld-south",
            "zones": {zone: "qld-south" for zone in self.system.zones},
            "listen_addresses": {"front": front, "ready": ready,
                                 "control": control},
            "seeds": [f"{seed[0]}:{seed[1]}"],
            "bootstrap": self.starts == 0, "tolerance_counted": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000,
                       "grace_s": 6, "config_apply_ms": 2000,
                       "max_skew_ms": 5000, "hold_max_ms": 1000,
                       "stop_timeout_ms": 50, "cancel_ms": 3000,
                       "visible_ms": 3000, "finish_s": 14, "status_s": 120,
                       "fencing_enforced": True, "lease_ms": 3000,
                       "resend_ms": 1300},
            "orders": "rpc",
            "platform": {"address": "%s:%d" % self.store_address,
                         "form": "log", "writes_per_s": 800,
                         "reads_per_s": 2000, "parts": self.system.parts,
                         "append_ms": 4.0, "partition_mb_s": 20.0,
                         "read_mb_s": 80.0, "record_bytes": 262144,
                         "request_bytes": 2097152, "keep_s": 300,
                         "partition_mb": 200, "min_ttl_ms": 1000}}
        path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self):
        path = self.system.folder / f"{self.name}.yaml"
        self.write_settings(path)
        command = deploy_command()
        if self.link_proxy:
            command += ["--advertise", "%s:%d" % self.link_proxy.address]
        log = open(self.system.folder / f"{self.name}-{self.starts}.log", "wb")
        self.starts += 1
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LANG": "C", "AUBURNHUB_BOOT": str(path)})
        log.close()
        self.system.network.zone_of_pid[self.process.pid] = self.zone
        self.system.record(what="node_started", node=self.name)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.system.network.zone_of_pid.pop(self.process.pid, None)
        self.system.record(what="node_killed", node=self.name)

    async def is_ready(self):
        status, _ = await web.call((self.host, self.ports[1]), "GET",
                                   "/readiness", timeout=1)
        return status == 200


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class System:
    """The store, executors and nodes of a small deployment."""

    def __init__(self, case_folder, zones, parts=8):
        self.zones = zones
        self.parts = parts
        self.record = Record(case_folder / "record.txt")
        self.network = Network()
        self.store = Store(parts)
        self.executors = []
        self.nodes = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="auburnhub-review-"))
        pid = os.getpid()
        self._net = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"
        self._hosts = 0
        self._heartbeats = None
        self.version = 0

    def next_host(self):
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    async def start(self, zones_of_nodes, zones_of_executors, proxied=False):
        await self.store.server.listen(self.next_host())
        self.publish_configuration()
        for index, zone in enumerate(zones_of_executors):
            item = Executor(f"i-{index:08x}", zone, self.record,
                            labels=("a", f"r{index // 8 + 1}-1"))
            await item.start(self.next_host())
            if proxied:
                proxy = Proxy(self.network, zone, (item.host, item.port))
                await proxy.listen(item.host)
                item.public = "%s:%d" % proxy.address
            self.executors.append(item)
        self._heartbeats = asyncio.ensure_future(self._register_executors())
        for index, zone in enumerate(zones_of_nodes):
            node = Node(self, f"front-{zone}-{index}", zone, self.next_host())
            node.store_address = self.store.server.address
            if proxied:
                store = Proxy(self.network, "platform",
                              self.store.server.address)
                await store.listen(self.store.server.address[0])
                node.store_address = store.address
                node.link_proxy = Proxy(self.network, zone,
                                        (node.host, node.ports[2]))
                await node.link_proxy.listen(node.host)
            self.nodes.append(node)
        for node in self.nodes:
            node.start()
        await self.until(self.all_ready, 30)

    async def all_ready(self):
        for node in self.nodes:
            if not await node.is_ready():
                return False
        return True

    def publish_configuration(self):
        self.version += 1
        self.store.put_json("keyed.op", "config", {
            "version": self.version,
            "routes": [{"name": "certify", "host": HOST, "path_prefix": PREFIX,
                        "type": "unsafe", "timeout_ms": 1500,
                        "target_latency_ms": 60, "priority": 0,
                        "service": SERVICE, "max_attempts": MAX_ATTEMPTS,
                        "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_check_path": "/health",
                          "max_connections": 64, "protocol": "h1",
                          "tls": False, "admission_check": True,
                          "spare": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def _register_executors(self):
        sequence, silent = 0, {}
        while True:
            sequence += 1
            for item in self.executors:
                if item.up:
                    silent[item.id] = 0
                    self.store.put_json("keyed.servers", item.id,
                                        item.registration(SERVICE, sequence))
                    continue
                silent[item.id] = silent.get(item.id, 0) + 1
                if silent[item.id] == 3:
                    self.store.put("keyed.servers", item.id, b"")
            await asyncio.sleep(HEARTBEAT_S)

    async def until(self, condition, timeout_s):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return True
            await asyncio.sleep(0.05)
        return False

    async def call(self, node, method, job, body=None, timeout_s=2.0):
        """Calls about a job as a client does; records the call and answer."""
        data = json.dumps(body, separators=(",", ":")).encode() if body else b""
        self.record(what="sent", method=method, node=node.name, job=job,
                    bytes=len(data))
        status, answer = await web.call(
            node.callers, method, PREFIX + job, data,
            {"Host": HOST, "Content-Type": "application/json",
             "X-Deadline-Ms": str(int(timeout_s * 1000))}, timeout_s)
        text = answer.decode("utf-8", "replace")[:200]
        self.record(what="answered", method=method, node=node.name, job=job,
                    status=status, body=text)
        return status, text

    async def warm_up(self, node=None):
        """Has a first job stored, so that all nodes share the partitions."""
        node = node or self.nodes[0]
        body = {"spec": '{"ms":50,"cpu":1000}',
                "steps": [{"count": 1, "cpu": 1000, "mem_mb": 64,
                           "estimated_ms": 50}]}
        for attempt in range(20):
            status, _ = await self.call(node, "POST",
                                        f"{0xaa00 + attempt:016x}", body)
            if status == 200:
                await asyncio.sleep(4)
                return
            await asyncio.sleep(0.5)
        raise CannotRun("no job was accepted")

    async def submit_until_accepted(self, node, job, body, timeout_s=2.0,
                                    attempts=10):
        """Hands a job in as clients do: again after 429, 503 and no answer."""
        for _ in range(attempts):
            status, _ = await self.call(node, "POST", job, body, timeout_s)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, node, job):
        """Returns the state that is shown for a job, or the status."""
        status, text = await self.call(node, "GET", job)
        return json.loads(text)["state"] if status == 200 else status

    async def stop(self):
        if self._heartbeats:
            self._heartbeats.cancel()
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for item in self.executors:
            await item.server.close()
        await self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, zones, scenario, parts=8):
    """Runs scenario(system, trouble) and returns the exit status.

    The scenario returns True if the rule held, False if it was broken, and
    raises CannotRun if the case could not be set up.
    """
    folder = pathlib.Path(case_file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        system = System(folder, zones, parts)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            held = await asyncio.wait_for(scenario(system, trouble), 110)
            system.record(what="verdict", held=held)
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            # Whatever goes wrong in the case itself says nothing of the rule.
            system.record(what="verdict", cannot_run=repr(error))
            return 2
        finally:
            await system.stop()

    try:
        status = asyncio.run(main())
    except Exception as error:
        print(repr(error), file=sys.stderr)
        status = 2
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    return status


class CannotRun(Exception):
    """The case could not be set up as it must be."""
