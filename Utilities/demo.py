#!/usr/bin/env python3
"""Demonstrates auburnhub on the loopback interface.

Usage: demo.py demo BIN_DIR    send some work, explain it, stop everything
       demo.py up BIN_DIR      leave everything running until Ctrl-C

Starts one stand-in for the platform, two data centres of two VMs each, and
four stand-ins for endpoints of unequal speed in each data centre. Exit status
0 only if every step and every exit status was as it should be.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import textwrap
import threading
import time
import uuid

HOST = "127.0.0.1"
DATA_CENTRES = ("brisbane", "ipswich")
VMS_PER_DATA_CENTRE = 2
ENDPOINTS_PER_DATA_CENTRE = 4
ENDPOINT_SPEEDS = ("0.5", "1", "1.5", "2")
ENDPOINT_SLOTS = 8
JOB_TASKS = 100
TASKS_SHOWN = 3  # Tasks of a job whose decision lines are printed.
READY_LIMIT_S = 30
CALL_LIMIT_S = 20
STOP_LIMIT_S = 40
POLL_S = 0.05
DRAIN_MS = 5000


class DemoError(Exception):
    """A step of the demonstration did not go as it should."""


def free_ports(count):
    """Returns distinct ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


def new_caller_id():
    """Mints a submission id as a caller does: a UUIDv7 (RFC 9562)."""
    value = (time.time_ns() // 1_000_000) << 80
    value |= 0x7 << 76
    value |= int.from_bytes(os.urandom(2), "big") >> 4 << 64
    value |= 0b10 << 62
    value |= int.from_bytes(os.urandom(8), "big") >> 2
    return str(uuid.UUID(int=value))


def call(address, method, path, body=None, headers=None):
    """Sends one HTTP request; returns status, headers and body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), CALL_LIMIT_S)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, reply.headers, reply.read()
    finally:
        connection.close()


class Process:
    """A started program; collects the JSON lines of its standard output."""

    def __init__(self, name, command, error_file):
        self.name = name
        self.lines = []
        self._first_line = threading.Event()
        self._child = subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=error_file, text=True,
            start_new_session=True)
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self):
        for text in self._child.stdout:
            try:
                line = json.loads(text)
            except ValueError:
                line = {"event": "not_json", "text": text.rstrip("\n")}
            self.lines.append(line)
            self._first_line.set()
        self._first_line.set()

    @property
    def pid(self):
        return self._child.pid

    def first_line(self):
        self._first_line.wait(READY_LIMIT_S)
        if not self.lines:
            raise DemoError(f"{self.name} wrote no first line")
        return self.lines[0]

    def exited(self):
        return self._child.poll()

    def terminate(self):
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGTERM)

    def wait(self):
        """Returns the exit status; kills the process after a generous time."""
        try:
            status = self._child.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()
            status = "killed: it did not stop in time"
        self._reader.join()
        return status


class Vm:
    """The addresses of one entry VM's processes."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.ports = dict(zip(
            ("control_link", "control_http", "dispatch_link", "dispatch_http",
             "entry_http"), free_ports(5)))

    def address(self, which):
        return f"{HOST}:{self.ports[which]}"


class System:
    """All processes of the demonstration."""

    def __init__(self, bin_dir, work_dir):
        self.bin_dir = os.path.abspath(bin_dir)
        self.work_dir = work_dir
        self.vms = []
        self.endpoints = {}
        self.platform_address = None
        self._stand_ins = []
        self._processes = []
        self._error_files = []

    def start(self):
        self._start_platform()
        self._start_endpoints()
        self._start_vms()

    def _start(self, name, program, arguments):
        path = os.path.join(self.bin_dir, program)
        if not os.path.exists(path):
            raise DemoError(f"{path} does not exist; build it first")
        error_path = os.path.join(self.work_dir, name + ".stderr")
        error_file = open(error_path, "w", encoding="utf-8")
        self._error_files.append((name, error_path, error_file))
        return Process(name, [path, *arguments], error_file)

    def _start_stand_in(self, name, program, arguments):
        process = self._start(name, program, arguments)
        self._stand_ins.append(process)
        return process.first_line()["http"]

    def _start_platform(self):
        address = self._start_stand_in("platform", "fake-platform", [])
        self.platform_address = address

    def _start_endpoints(self):
        for data_centre in DATA_CENTRES:
            addresses = self._start_stand_in(
                "endpoints-" + data_centre, "fake-endpoint",
                ["--count", str(ENDPOINTS_PER_DATA_CENTRE),
                 "--slots", str(ENDPOINT_SLOTS), "--name", data_centre,
                 "--journal", self._journal_path(data_centre),
                 "--speed", *ENDPOINT_SPEEDS])
            self.endpoints[data_centre] = addresses

    def _journal_path(self, data_centre):
        return os.path.join(self.work_dir, f"journal-{data_centre}.jsonl")

    def _start_vms(self):
        self.vms = [Vm(f"{data_centre}-{number}", data_centre)
                    for data_centre in DATA_CENTRES
                    for number in range(1, VMS_PER_DATA_CENTRE + 1)]
        self._list_vms()
        for vm in self.vms:
            self._start_product(vm, "control", {
                "link": vm.address("control_link"),
                "platform": self.platform_address,
                "seeds": [other.address("control_link")
                          for other in self.vms if other is not vm]})
            self._start_product(vm, "dispatch", {
                "link": vm.address("dispatch_link"),
                "control": vm.address("control_link")})
            self._start_product(vm, "entry", {
                "control": vm.address("control_link")})

    def _list_vms(self):
        vms = [{"vm": vm.name, "data_centre": vm.data_centre, "role": "entry",
                "address": vm.address("control_link"), "state": "live"}
               for vm in self.vms]
        vms += [{"vm": f"{data_centre}-endpoint-{index}",
                 "data_centre": data_centre, "role": "endpoint",
                 "address": address, "state": "live"}
                for data_centre, addresses in self.endpoints.items()
                for index, address in enumerate(addresses)]
        status, _, body = call(self.platform_address, "POST", "/test/vms",
                               json.dumps({"vms": vms}))
        if status != 200:
            raise DemoError(f"the platform refused the VM list: {body}")

    def _start_product(self, vm, process, settings):
        name = f"{vm.name}-{process}"
        common = {"schema": 1, "vm": vm.name, "data_centre": vm.data_centre,
                  "http": vm.address(process + "_http"),
                  "log": {"level": "info"}}
        path = os.path.join(self.work_dir, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            # JSON is YAML as well.
            json.dump({**common, **settings}, file, indent=2)
        self._processes.append(self._start(
            name, "auburnhub-" + process, ["--settings", path]))

    def publish(self):
        """Publishes the first configuration on the platform's log."""
        record = {"schema": 1, "change_id": str(uuid.uuid4()), "base": -1,
                  "author": "demo", "body": self._configuration()}
        status, _, body = call(
            self.platform_address, "POST", "/v1/streams/configuration/records",
            json.dumps({"records": [record]}))
        if status != 200:
            raise DemoError(f"the platform refused the configuration: {body}")

    def _configuration(self):
        endpoints = [{"address": address, "slots": ENDPOINT_SLOTS,
                      "data_centre": data_centre,
                      "vm": f"{data_centre}-endpoint-{index}"}
                     for data_centre, addresses in self.endpoints.items()
                     for index, address in enumerate(addresses)]
        return {
            "services": {
                "stock-check": {"repeatable": True, "endpoints": endpoints},
                "certification": {"repeatable": False,
                                  "endpoints": endpoints}},
            "teams": {"club-desk": {"weight": 1, "max_queued": 10000},
                      "tournament": {"weight": 2, "max_queued": 10000}},
            "limits": {"drain_ms": DRAIN_MS}}

    def wait_until_ready(self):
        deadline = time.monotonic() + READY_LIMIT_S
        waiting = {f"{vm.name}-{process}": vm.address(process + "_http")
                   for vm in self.vms
                   for process in ("control", "dispatch", "entry")}
        while waiting:
            waiting = {name: address for name, address in waiting.items()
                       if not self._is_ready(address)}
            self._check_alive()
            if waiting and time.monotonic() > deadline:
                raise DemoError("not ready: " + ", ".join(waiting))
            if waiting:
                time.sleep(POLL_S)

    @staticmethod
    def _is_ready(address):
        try:
            return call(address, "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def _check_alive(self):
        for process in self._stand_ins + self._processes:
            if process.exited() is not None:
                raise DemoError(f"{process.name} exited with status "
                                f"{process.exited()}")

    def decision_lines(self, submission, calls):
        """Returns the log lines of one submission, ordered by time.

        Waits for those of its end and of so many calls to entries, as a log
        line may be read after the caller has its answer.
        """
        deadline = time.monotonic() + CALL_LIMIT_S
        while True:
            lines = self._lines_of(submission)
            events = [line["event"] for line in lines]
            if "answered" in events and events.count("forwarded") >= calls:
                return lines
            if time.monotonic() > deadline:
                raise DemoError(f"no line tells of the end of {submission}")
            time.sleep(POLL_S)

    def explain(self, submission, lines):
        """Returns what auburnhub-ctl says of a submission, without steps."""
        done = subprocess.run(
            [os.path.join(self.bin_dir, "auburnhub-ctl"), "explain",
             submission], text=True, capture_output=True, check=False,
            input="".join(json.dumps(line) + "\n" for line in lines))
        if done.returncode != 0:
            raise DemoError("auburnhub-ctl explain failed: " + done.stderr)
        return done.stdout.split("\nStep by step:")[0]

    def _lines_of(self, submission):
        lines = [line for process in self._processes
                 for line in list(process.lines)
                 if line.get("submission") == submission]
        return sorted(lines, key=lambda line: line.get("time", ""))

    def starts(self, submission):
        """Returns how often each task of a submission was started."""
        counts = {}
        for data_centre in DATA_CENTRES:
            with open(self._journal_path(data_centre),
                      encoding="utf-8") as file:
                for text in file:
                    line = json.loads(text)
                    if (line["event"] == "start"
                            and line["submission"] == submission):
                        task = line["task"]
                        counts[task] = counts.get(task, 0) + 1
        return counts

    def stop(self):
        """Stops all processes; returns a description of each bad status."""
        faults = []
        for group in (self._processes, self._stand_ins):
            for process in group:
                process.terminate()
            for process in group:
                status = process.wait()
                if status != 0:
                    faults.append(f"{process.name}: exit status {status}")
        for name, path, file in self._error_files:
            file.close()
            with open(path, encoding="utf-8") as written:
                text = written.read().strip()
            if text:
                print(f"{name} wrote to standard error:\n{text}")
        return faults


def submit(vm, path, body, submission, team):
    """Sends work to an entry and returns its whole answer."""
    status, headers, answer = call(
        vm.address("entry_http"), "POST", path, body,
        {"Auburnhub-Team": team, "Idempotency-Key": submission})
    text = answer.decode()
    shown = text if len(text) <= 200 else text[:200] + " ..."
    print(f"  answer from {vm.name}: {status} {shown.strip()}")
    if status != 200:
        raise DemoError(f"{path} was answered with {status}")
    if headers.get("Auburnhub-Submission") != submission:
        raise DemoError("the answer carries another submission id: "
                        f"{headers.get('Auburnhub-Submission')}")
    return text


def is_of_later_task(line):
    return line.get("task", 0) >= TASKS_SHOWN


def print_decisions(system, submission, calls):
    lines = system.decision_lines(submission, calls)
    print("  decision lines:")
    for line in lines:
        if not is_of_later_task(line):
            print("    " + json.dumps(line))
    left_out = sum(is_of_later_task(line) for line in lines)
    if left_out:
        print(f"    and {left_out} lines of the tasks from {TASKS_SHOWN} on")
    print("  auburnhub-ctl explain says:")
    print(textwrap.indent(system.explain(submission, lines), "    "))


def check_starts(system, submission, tasks):
    starts = system.starts(submission)
    if starts != {task: 1 for task in range(tasks)}:
        raise DemoError("tasks were not started once each: "
                        f"{sorted(starts.items())}")
    print(f"  each of {tasks} task(s) started exactly once")


def send_request(system):
    print("\nA request of the team club-desk:")
    submission = new_caller_id()
    submit(system.vms[0], "/v1/services/stock-check/requests",
           json.dumps({"run_ms": 50, "echo": "bamboo five"}), submission,
           "club-desk")
    print_decisions(system, submission, calls=1)
    check_starts(system, submission, 1)


def send_job_twice(system):
    print(f"\nA job of {JOB_TASKS} tasks of the team tournament:")
    submission = new_caller_id()
    body = json.dumps({"tasks": [
        json.dumps({"run_ms": 20, "echo": f"tile {index}"})
        for index in range(JOB_TASKS)]})
    path = "/v1/services/certification/jobs"
    first = submit(system.vms[0], path, body, submission, "tournament")
    results = json.loads(first)["results"]
    echoes = [json.loads(result)["echo"] for result in results]
    if echoes != [f"tile {index}" for index in range(JOB_TASKS)]:
        raise DemoError("the results are not whole or not in order")
    other = next(vm for vm in system.vms
                 if vm.data_centre != system.vms[0].data_centre)
    print(f"\nThe same job again, to {other.name} in {other.data_centre}:")
    second = submit(other, path, body, submission, "tournament")
    if json.loads(second)["results"] != results:
        raise DemoError("the resubmission got another answer")
    print_decisions(system, submission, calls=2)
    check_starts(system, submission, JOB_TASKS)


def print_fields(line, names):
    print("    " + " ".join(f"{name}={line[name]}" for name in names
                            if name in line))


def wait_for(condition, what):
    """Waits until the condition gives something true, and returns it."""
    limit = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < limit:
        try:
            found = condition()
        except OSError:
            found = None
        if found:
            return found
        time.sleep(POLL_S)
    raise DemoError(what)


class NodeOnPlatform:
    """An auburnhub-node beside the stand-in for the users' platform."""

    def __init__(self, bin_dir, description, index, error_file):
        node = description["nodes"][index]
        self._headers = {"Host": description["host"]}
        self._prefix = description["prefix"]
        self._callers = node["callers"]
        charts = os.path.join(os.path.dirname(os.path.abspath(__file__)),
                              os.pardir, "share", "auburnhub", "charts")
        self.process = Process(f"node-{index}", [
            os.path.join(bin_dir, "auburnhub-node"), "--settings",
            node["settings"], "--charts", charts], error_file)
        wait_for(lambda: call(node["readiness"], "GET", "/readiness")[0] == 200,
                 f"node-{index} did not become ready")

    def call(self, method, job, body=None):
        status, _, text = call(self._callers, method, self._prefix + job, body,
                               self._headers)
        return status, json.loads(text)


def store_job(system):
    """A stored job outlives the node that took it."""
    print("\nA stored job on the users' platform, whose only node is killed:")
    with open(os.path.join(system.work_dir, "nodes.err"), "w",
              encoding="utf-8") as errors:
        platform = Process("fake-users-platform", [
            os.path.join(system.bin_dir, "fake-users-platform"),
            system.work_dir], errors)
        started = [platform]
        try:
            description = platform.first_line()
            first = NodeOnPlatform(system.bin_dir, description, 0, errors)
            started.append(first.process)
            job = os.urandom(8).hex()
            body = json.dumps({"spec": "tile set 4", "steps": [
                {"count": 2, "cpu": 1000, "mem_mb": 64}]})
            status, answer = first.call("POST", job, body)
            print(f"  POST {job}: {status} {answer}")
            if status != 200:
                raise DemoError("the job was not stored")
            os.kill(first.process.pid, signal.SIGKILL)
            second = NodeOnPlatform(system.bin_dir, description, 1, errors)
            started.append(second.process)
            wait_for(lambda: second.call("GET", job)[1].get("state") ==
                     "completed", "the job was not completed")
            print(f"  GET {job} at the next node: completed")
            for line in second.process.lines:
                if line.get("area") == "ledger" and job in json.dumps(line):
                    print_fields(line, ("event", "task", "job", "run", "how",
                                        "state", "age_ms"))
        finally:
            for process in started:
                process.terminate()
            for process in started:
                process.wait()


def print_addresses(system):
    print(f"platform: http://{system.platform_address}")
    for vm in system.vms:
        print(f"{vm.name}: entry http://{vm.address('entry_http')}, "
              f"dispatch http://{vm.address('dispatch_http')}, "
              f"control http://{vm.address('control_http')}")
    for data_centre, addresses in system.endpoints.items():
        print(f"endpoints in {data_centre}: {', '.join(addresses)}")


def print_examples(system):
    entry = "http://" + system.vms[0].address("entry_http")
    print(f"""
A request, a job, the status and the metrics of an entry:

  curl -i {entry}/v1/services/stock-check/requests \\
    -H 'Auburnhub-Team: club-desk' -d '{{"run_ms":50,"echo":"bamboo five"}}'
  curl -i {entry}/v1/services/certification/jobs \\
    -H 'Auburnhub-Team: tournament' -d '{{"tasks":["red","green","white"]}}'
  curl {entry}/v1/status
  curl {entry}/metrics

Settings and error output: {system.work_dir}
Ctrl-C stops everything.""", flush=True)


def run_demo(system):
    print_addresses(system)
    send_request(system)
    send_job_twice(system)
    store_job(system)


def run_up(system):
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    print_addresses(system)
    print_examples(system)
    stop.wait()


def run(command, bin_dir):
    steps = {"demo": run_demo, "up": run_up}[command]
    failed = False
    with tempfile.TemporaryDirectory(prefix="auburnhub-") as work_dir:
        system = System(bin_dir, work_dir)
        try:
            system.start()
            system.publish()
            system.wait_until_ready()
            steps(system)
        except (DemoError, OSError, ValueError, LookupError) as error:
            print(f"demo.py: {type(error).__name__}: {error}",
                  file=sys.stderr)
            failed = True
        except KeyboardInterrupt:
            failed = command == "demo"
        print("\nStopping all processes.", flush=True)
        for fault in system.stop():
            print("demo.py: " + fault, file=sys.stderr)
            failed = True
    print("Something went wrong." if failed else "All went as it should.")
    return 1 if failed else 0


def main():
    if len(sys.argv) != 3 or sys.argv[1] not in ("demo", "up"):
        print(__doc__, file=sys.stderr)
        return 2
    return run(sys.argv[1], sys.argv[2])


if __name__ == "__main__":
    sys.exit(main())
