#!/usr/bin/env python3
"""Measures what the processes cost, for docs/CAPACITY.md.

Usage: capacity.py BIN_DIR [--runs N] [--window S] [PART]...

Parts: peers, slow-peers, endpoints, sharing, teams, changes, claims, dispatch,
path, queued, waiting, leaving; all if none is named. Starts the real processes and small
stand-ins on loopback and prints a table and the least-squares slopes of each
part. Processor time is CPU time consumed, so that other work on the machine
matters little.
"""

import argparse
import collections
import http.client
import json
import os
import re
import signal
import sys
import tempfile
import threading
import time
import uuid

import demo

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DATA_CENTRES = 6
PEER_COUNTS = (2, 10, 20, 40)
SLOW_HEARTBEATS = {"heartbeat_ms": 1000, "heartbeat_timeout_ms": 5000}
LEAVING_COUNTS = (5, 10, 20)
SHARING_COUNTS = (1, 10, 20, 40)
LETTER_ENDPOINTS = 1800
LETTER_TEAMS = 240
ENDPOINT_COUNTS = (0, 600, 1200, 1800)
TEAM_COUNTS = (0, 80, 160, 240)
CHANGES_PER_MINUTE = (0, 30, 60, 120)
CLAIMS_PER_S = (0, 100, 400, 1600)
STARTS_PER_S = (0, 250, 500, 1000)
QUEUED_TASKS = (0, 3000, 6000, 9000)
WAITING_CALLS = (0, 100, 200, 400)
CLAIM_RECORDS_PER_S = 10
JOB_TASKS = 50
QUEUE_JOB_TASKS = 1000
TASK_RUN_MS = 10
QUEUED_RUN_MS = 60000
SETTLE_S = 4
QUEUE_SETTLE_S = 8
DRAIN_MS = 200

Sample = collections.namedtuple("Sample", "time cpu metrics")


class Node:
    """One product process that is measured."""

    def __init__(self, process, http):
        self.process = process
        self.http = http
        self.pid = process.pid

    def sample(self):
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        return Sample(time.monotonic(), cpu, self._metrics())

    def _metrics(self):
        text = demo.call(self.http, "GET", "/metrics")[2].decode()
        found = collections.Counter()
        for line in text.splitlines():
            match = re.match(r"(\w+)(?:\{.*\})? ([-+.\deE]+)$", line)
            if match:
                found[match[1]] += float(match[2])
        return found

    def memory_mb(self):
        """Returns resident and anonymous memory (MB)."""
        found = {}
        with open(f"/proc/{self.pid}/smaps_rollup", encoding="ascii") as file:
            for line in file:
                words = line.split()
                if len(words) == 3 and words[2] == "kB":
                    found[words[0]] = int(words[1]) * 1024 / 1e6
        return found["Rss:"], found["Anonymous:"]


class Rig:
    """The processes of one measurement."""

    def __init__(self, bin_dir, endpoints=0, teams=1, endpoint_addresses=()):
        self._bin_dir = bin_dir
        self._directory = tempfile.TemporaryDirectory()
        self._started = []
        self._endpoints = endpoints
        self._teams = teams
        self._addresses = list(endpoint_addresses)
        self._offset = -1
        self.vms = []
        self.nodes = {"control": [], "dispatch": [], "entry": []}
        self.platform = self._start("platform", "fake-platform", [])
        self.platform = self.platform.first_line()["http"]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self._started):
            process.terminate()
        for process in self._started:
            process.wait()
        self._directory.cleanup()

    def _start(self, name, program, arguments):
        path = os.path.join(self._directory.name, name + ".stderr")
        with open(path, "w", encoding="utf-8") as errors:
            process = demo.Process(
                name, [os.path.join(self._bin_dir, program), *arguments],
                errors)
        self._started.append(process)
        return process

    def start_endpoints(self, count, slots):
        process = self._start("endpoints", "fake-endpoint", [
            "--count", str(count), "--slots", str(slots), "--name", "stand-in"])
        self._addresses = process.first_line()["http"]
        self._slots = slots

    def start_controls(self, count, data_centres=DATA_CENTRES, settings=None):
        self.vms = [demo.Vm(f"entry-{index}", f"dc-{index % data_centres}")
                    for index in range(count)]
        self.list_vms()
        self.publish()
        seeds = [vm.address("control_link") for vm in self.vms[:2]]
        for vm in self.vms:
            self.start_product(vm, "control", {
                "link": vm.address("control_link"), "platform": self.platform,
                "seeds": [seed for seed in seeds
                          if seed != vm.address("control_link")],
                **(settings or {})})

    def start_path(self):
        """Starts a dispatcher and an entry beside the first control."""
        vm = self.vms[0]
        self.start_product(vm, "dispatch", {
            "link": vm.address("dispatch_link"),
            "control": vm.address("control_link")})
        self.start_product(vm, "entry", {"control": vm.address("control_link")})

    def start_product(self, vm, role, settings):
        common = {"schema": 1, "vm": vm.name, "data_centre": vm.data_centre,
                  "http": vm.address(role + "_http"), "log": {"level": "info"}}
        path = os.path.join(self._directory.name, f"{vm.name}-{role}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({**common, **settings}, file)
        process = self._start(f"{vm.name}-{role}", "auburnhub-" + role,
                              ["--settings", path])
        self.nodes[role].append(Node(process, vm.address(role + "_http")))

    def wait_until_ready(self):
        deadline = time.monotonic() + demo.READY_LIMIT_S
        for node in sum(self.nodes.values(), []):
            while not self._is_ready(node):
                if time.monotonic() > deadline:
                    raise demo.DemoError(f"{node.process.name} is not ready")
                time.sleep(demo.POLL_S)
        count = len(self.vms)
        while any(node.sample().metrics["auburnhub_members"] < count
                  for node in self.nodes["control"]):
            if time.monotonic() > deadline:
                raise demo.DemoError("the controls did not find each other")
            time.sleep(demo.POLL_S)

    @staticmethod
    def _is_ready(node):
        try:
            return demo.call(node.http, "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def list_vms(self, leaving=()):
        vms = [{"vm": vm.name, "data_centre": vm.data_centre, "role": "entry",
                "address": vm.address("control_link"), "state": "live"}
               for vm in self.vms]
        vms += [{"vm": endpoint["vm"], "data_centre": endpoint["data_centre"],
                 "role": "endpoint", "address": endpoint["address"],
                 "state": "live"} for endpoint in self._endpoint_list()]
        for vm in vms:
            if vm["vm"] in leaving:
                vm["state"] = "leaving"
        self._post("/test/vms", {"vms": vms})

    def _endpoint_list(self):
        if self._addresses:
            return [{"address": address, "slots": self._slots,
                     "data_centre": "dc-0", "vm": f"worker-{index}"}
                    for index, address in enumerate(self._addresses)]
        return [{"address": f"127.1.{index // 250}.{index % 250 + 1}:9000",
                 "slots": 8, "data_centre": f"dc-{index % DATA_CENTRES}",
                 "vm": f"worker-{index}"} for index in range(self._endpoints)]

    def publish(self):
        teams = {f"team-{index}": {"weight": 1, "max_queued": 1000000}
                 for index in range(max(1, self._teams))}
        body = {"services": {"stock-check": {
                    "repeatable": True, "endpoints": self._endpoint_list()}},
                "teams": teams,
                "limits": {"drain_ms": DRAIN_MS, "default_timeout_ms": 60000}}
        record = {"schema": 1, "change_id": str(uuid.uuid4()),
                  "base": self._offset, "author": "capacity", "body": body}
        self._offset = self._append("configuration", record)

    def claim(self, count):
        """Appends a record of claims as the control of another VM would."""
        claims = [{"id": demo.new_caller_id(), "team": "team-0",
                   "digest": os.urandom(16).hex(),
                   "incarnation": 1 << 52} for _ in range(count)]
        self._append("claims", {"schema": 1, "claims": claims})

    def _append(self, stream, record):
        reply = self._post(f"/v1/streams/{stream}/records",
                           {"records": [record]})
        return reply["first"]

    def _post(self, path, body):
        status, _, reply = demo.call(self.platform, "POST", path,
                                     json.dumps(body))
        if status != 200:
            raise demo.DemoError(f"{path} was answered with {status}: {reply}")
        return json.loads(reply)

    def submit(self, tasks, run_ms):
        """Sends a job with a caller's id; returns the status."""
        body = json.dumps({"tasks": [json.dumps({"run_ms": run_ms})] * tasks})
        return demo.call(
            self.vms[0].address("entry_http"), "POST",
            "/v1/services/stock-check/jobs", body,
            {"Auburnhub-Team": "team-0",
             "Idempotency-Key": demo.new_caller_id()})[0]

    def kill_control(self, index):
        """Kills a control; it is measured no more."""
        os.kill(self.nodes["control"].pop(index).pid, signal.SIGKILL)

    def knows_leaving(self, node, vm):
        status = json.loads(demo.call(node.http, "GET", "/v1/status")[2])
        return vm in json.dumps(status["role"]["members"]["leaving"])

    def platform_stats(self):
        return json.loads(demo.call(self.platform, "GET", "/test/stats")[2])


def repeat(action, per_s, stop):
    """Calls an action at a rate, in this thread, until stop is set."""
    due = time.monotonic()
    while not stop.wait(max(0, due - time.monotonic())):
        action()
        due += 1 / per_s


def in_background(action, per_s):
    """Calls an action at a rate in a thread; returns what stops it."""
    stop = threading.Event()
    if per_s:
        threading.Thread(target=repeat, args=(action, per_s, stop),
                         daemon=True).start()
    return stop


def measure(rig, window_s, roles):
    """Returns the mean cost of one process of each role over a window."""
    before = {role: [node.sample() for node in rig.nodes[role]]
              for role in roles}
    platform_before = rig.platform_stats()
    began = time.monotonic()
    time.sleep(window_s)
    platform_after = rig.platform_stats()
    duration = time.monotonic() - began
    row = {}
    for role in roles:
        nodes = rig.nodes[role]
        costs = [node_cost(node, old)
                 for node, old in zip(nodes, before[role])]
        prefix = "" if len(roles) == 1 else role + " "
        for key in costs[0]:
            row[prefix + key] = sum(cost[key] for cost in costs) / len(costs)
    controls = len(rig.nodes["control"])
    row["platform B/s a control"] = (
        platform_after["bytes_out"] - platform_before["bytes_out"]
    ) / duration / controls
    row["appends/s"] = (platform_after["appends"]
                        - platform_before["appends"]) / duration
    return row


def node_cost(node, old):
    new = node.sample()
    seconds = new.time - old.time
    resident, anonymous = node.memory_mb()
    cost = {"cpu %": 100 * (new.cpu - old.cpu) / seconds,
            "RSS MB": resident, "anon MB": anonymous}
    for key, name in (("sent B/s", "auburnhub_link_sent_bytes"),
                      ("VM list B/s", "auburnhub_vm_list_read_bytes_total"),
                      ("claims B/s", "auburnhub_claim_read_bytes_total"),
                      ("starts/s", "auburnhub_task_starts_total")):
        if name in new.metrics:
            cost[key] = (new.metrics[name] - old.metrics[name]) / seconds
    for key, name in (("claims held", "auburnhub_claims_remembered"),
                      ("queued", "auburnhub_queued_tasks"),
                      ("waiting", "auburnhub_entry_waiting_calls")):
        if name in new.metrics:
            cost[key] = new.metrics[name]
    return cost


def run_peers(options, count):
    with Rig(options.bin_dir) as rig:
        rig.start_controls(count)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, ["control"])


def run_slow_peers(options, count):
    """Measures controls that exchange heartbeats half as often."""
    with Rig(options.bin_dir) as rig:
        rig.start_controls(count, settings=SLOW_HEARTBEATS)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, ["control"])


def run_endpoints(options, count):
    with Rig(options.bin_dir, endpoints=count) as rig:
        rig.start_controls(2)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, ["control"])


def run_sharing(options, count):
    """Measures controls of one data centre that share a long VM list."""
    with Rig(options.bin_dir, endpoints=LETTER_ENDPOINTS) as rig:
        rig.start_controls(count, data_centres=1)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, ["control"])


def run_leaving(options, count):
    """Times the news of a leaving VM just after a control was killed."""
    with Rig(options.bin_dir, endpoints=LETTER_ENDPOINTS) as rig:
        rig.start_controls(count, data_centres=1)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        rig.kill_control(count // 2)
        rig.list_vms(leaving=("worker-7",))
        began = time.monotonic()
        waiting = rig.nodes["control"]
        while waiting:
            waiting = [node for node in waiting
                       if not rig.knows_leaving(node, "worker-7")]
            if time.monotonic() > began + demo.READY_LIMIT_S:
                raise demo.DemoError("not all learned of the leaving VM")
            time.sleep(demo.POLL_S)
        return {"s until all know": time.monotonic() - began}


def run_teams(options, count):
    with Rig(options.bin_dir, teams=count) as rig:
        rig.start_controls(2)
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, ["control"])


def run_changes(options, per_minute):
    with Rig(options.bin_dir, endpoints=LETTER_ENDPOINTS,
             teams=LETTER_TEAMS) as rig:
        rig.start_controls(2)
        rig.wait_until_ready()
        stop = in_background(rig.publish, per_minute / 60)
        time.sleep(SETTLE_S)
        row = measure(rig, options.window, ["control"])
        stop.set()
        return row


def run_claims(options, per_s):
    with Rig(options.bin_dir) as rig:
        rig.start_controls(2)
        rig.wait_until_ready()
        stop = in_background(
            lambda: rig.claim(per_s // CLAIM_RECORDS_PER_S),
            CLAIM_RECORDS_PER_S if per_s else 0)
        time.sleep(SETTLE_S)
        row = measure(rig, options.window, ["control"])
        stop.set()
        return row


PATH_ROLES = ["control", "dispatch", "entry"]


def run_dispatch(options, per_s):
    with Rig(options.bin_dir) as rig:
        rig.start_endpoints(16, 8)
        rig.start_controls(1)
        rig.start_path()
        rig.wait_until_ready()
        stops = [in_background(lambda: rig.submit(JOB_TASKS, TASK_RUN_MS),
                               per_s / JOB_TASKS / 4) for _ in range(4)]
        time.sleep(SETTLE_S)
        row = measure(rig, options.window, PATH_ROLES)
        for stop in stops:
            stop.set()
        return row


def run_queued(options, tasks):
    with Rig(options.bin_dir) as rig:
        rig.start_endpoints(1, 1)
        rig.start_controls(1)
        rig.start_path()
        rig.wait_until_ready()
        for _ in range(tasks // QUEUE_JOB_TASKS):
            threading.Thread(
                target=submit_quietly, args=(rig,), daemon=True).start()
        time.sleep(QUEUE_SETTLE_S)
        return measure(rig, options.window, PATH_ROLES)


def run_path(options, endpoints):
    """Measures an idle path whose configuration has endpoints and teams."""
    with Rig(options.bin_dir, endpoints=endpoints, teams=LETTER_TEAMS) as rig:
        rig.start_controls(1)
        rig.start_path()
        rig.wait_until_ready()
        time.sleep(SETTLE_S)
        return measure(rig, options.window, PATH_ROLES)


def run_waiting(options, calls):
    with Rig(options.bin_dir) as rig:
        rig.start_endpoints(1, 1)
        rig.start_controls(1)
        rig.start_path()
        rig.wait_until_ready()
        for _ in range(calls):
            threading.Thread(target=submit_quietly, args=(rig, 1),
                             daemon=True).start()
        time.sleep(QUEUE_SETTLE_S)
        return measure(rig, options.window, PATH_ROLES)


def submit_quietly(rig, tasks=QUEUE_JOB_TASKS):
    try:
        rig.submit(tasks, QUEUED_RUN_MS)
    except (OSError, http.client.HTTPException):
        pass  # The measurement ends before its answers.


PARTS = {
    "peers": ("control processes", PEER_COUNTS, run_peers),
    "slow-peers": ("control processes", PEER_COUNTS, run_slow_peers),
    "endpoints": ("endpoints", ENDPOINT_COUNTS, run_endpoints),
    "sharing": ("control processes", SHARING_COUNTS, run_sharing),
    "teams": ("teams", TEAM_COUNTS, run_teams),
    "changes": ("changes/min", CHANGES_PER_MINUTE, run_changes),
    "claims": ("claims/s", CLAIMS_PER_S, run_claims),
    "dispatch": ("starts/s", STARTS_PER_S, run_dispatch),
    "path": ("endpoints", ENDPOINT_COUNTS, run_path),
    "waiting": ("waiting calls", WAITING_CALLS, run_waiting),
    "leaving": ("control processes", LEAVING_COUNTS, run_leaving),
    "queued": ("queued tasks", QUEUED_TASKS, run_queued),
}


def slope(points):
    """Returns slope and intercept of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points)
    value = rise / spread if spread else 0
    return value, mean_y - value * mean_x


def show(value):
    return f"{value:.4g}"


def run_part(options, name):
    title, sizes, action = PARTS[name]
    rows = []
    for run in range(1, options.runs + 1):
        for size in sizes:
            row = action(options, size)
            if not rows:
                print(f"\n### {name}\n\n| {title} | run | "
                      + " | ".join(row) + " |")
                print("|" + "---|" * (len(row) + 2))
            rows.append((size, row))
            print(f"| {size} | {run} | "
                  + " | ".join(show(value) for value in row.values()) + " |",
                  flush=True)
    lines = {key: slope([(size, row[key]) for size, row in rows])
             for key in rows[0][1]}
    print("| slope | | " + " | ".join(show(line[0])
                                     for line in lines.values()) + " |")
    print("| at 0 | | " + " | ".join(show(line[1])
                                    for line in lines.values()) + " |",
          flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("bin_dir")
    parser.add_argument("parts", nargs="*", metavar="PART",
                        help=", ".join(PARTS))
    parser.add_argument("--runs", type=int, default=2)
    parser.add_argument("--window", type=float, default=12)
    options = parser.parse_intermixed_args()
    unknown = set(options.parts) - set(PARTS)
    if unknown:
        parser.error("unknown part: " + ", ".join(sorted(unknown)))
    for name in options.parts or PARTS:
        run_part(options, name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
