"""A stand-in of the platform's store: keyed topics, epochs and groups.

It follows PROTOCOL.md, "The platform's metadata store". Only keyed topics are
used by the system.
"""

import asyncio
import base64
import json
import struct
import time

from web import Server

RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
APPEND_S = 0.004
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


class Partition:
    """One partition of a keyed topic."""

    def __init__(self):
        self.log = []  # (key, value); value b"" drops the key
        self.newest = {}
        self.epochs = {}  # producer -> [epoch, sequence, answers by sequence]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.log.append((key, value))
        if value:
            self.newest[key] = (value, len(self.log) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


def encode_record(key, value):
    record = bytes([len(key)]) + key + value
    return struct.pack(">I", len(record)) + record


def decode_records(body):
    """Returns the records of an append; None if one is malformed or too long."""
    records = []
    while body:
        if len(body) < 4:
            return None
        size = struct.unpack(">I", body[:4])[0]
        record, body = body[4:4 + size], body[4 + size:]
        if len(record) != size or size > RECORD_BYTES or size == 0:
            return None
        records.append((record[1:1 + record[0]], record[1 + record[0]:]))
    return records


class Group:
    """Members of a group and who holds which partition."""

    def __init__(self, parts):
        self.parts = parts
        self.generation = 0
        self.members = {}  # name -> end of its time to live
        self.wanted = {}  # partition -> member that shall hold it
        self.held = {}  # partition -> member that holds it

    def deal(self):
        """Distributes the partitions evenly and moves as few as possible."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.wanted = {}
            return
        most = -(-self.parts // len(names))
        kept = {name: [] for name in names}
        free = []
        for part in range(self.parts):
            holder = self.wanted.get(part)
            if holder in kept and len(kept[holder]) < most:
                kept[holder].append(part)
            else:
                free.append(part)
        for part in free:
            min(names, key=lambda name: len(kept[name]))
            kept[min(names, key=lambda name: len(kept[name]))].append(part)
        self.wanted = {p: n for n, ps in kept.items() for p in ps}

    def expire(self, now):
        gone = [n for n, until in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        self.held = {p: n for p, n in self.held.items() if n in self.members}
        if gone:
            self.deal()

    def join(self, name, ttl_s, generation, now):
        self.expire(now)
        if name not in self.members:
            self.members[name] = now + ttl_s
            self.deal()
        self.members[name] = now + ttl_s
        if generation >= self.generation:
            for part, holder in list(self.held.items()):
                if holder == name and self.wanted.get(part) != name:
                    del self.held[part]
        for part, holder in self.wanted.items():
            if holder == name:
                self.held.setdefault(part, name)
        return sorted(p for p, holder in self.held.items()
                      if holder == name and self.wanted.get(p) == name)

    def leave(self, name):
        if self.members.pop(name, None) is not None:
            self.held = {p: n for p, n in self.held.items() if n != name}
            self.deal()


class Store:
    """The store's HTTP interface."""

    def __init__(self, parts):
        self.parts = parts
        self.topics = {}
        self.groups = {}
        self.server = Server(self.handle)
        self.on_append = None  # called with (topic, part, records, epoch)
        self.silent = False
        self._resumed = asyncio.Event()

    def set_silent(self, silent):
        """While silent the store neither answers nor carries anything out."""
        self.silent = silent
        if not silent:
            self._resumed.set()
            self._resumed = asyncio.Event()

    def partition(self, topic, part):
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        self.partition(topic, 0).put(key.encode(), value)

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    async def handle(self, request):
        while self.silent:
            await self._resumed.wait()
        name = (request.method, request.path)
        calls = {("POST", "/log-append"): self.append,
                 ("GET", "/log-read"): self.read,
                 ("GET", "/log-newest"): self.read_newest,
                 ("POST", "/log-join"): self.join,
                 ("POST", "/log-leave"): self.leave}
        if name not in calls:
            return 404, b"{}"
        return await calls[name](request)

    async def append(self, request):
        topic, part = request.query["topic"], int(request.query["part"])
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = decode_records(request.body)
        if records is None or len(request.body) > REQUEST_BYTES:
            return 400, b'{"reason":"size"}'
        to = self.partition(topic, part)
        async with to.lock:
            await asyncio.sleep(APPEND_S)
            return self.apply(to, topic, part, records, request.query)

    def apply(self, to, topic, part, records, query):
        producer = query.get("producer")
        state = None
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = to.epochs.get(producer)
            if state and epoch < state[0]:
                return 409, b'{"reason":"fenced"}'
            if state is None or epoch > state[0] or not records:
                if state is None or epoch > state[0]:
                    state = to.epochs[producer] = [epoch, sequence, {}]
                if not records:
                    return 200, b'{"offset":%d,"end":%d}' % (
                        len(to.log), len(to.log))
            elif sequence in state[2]:
                return 200, state[2][sequence]
            elif sequence != state[1] + 1:
                return 409, b'{"reason":"seq","expected":%d}' % (state[1] + 1)
        offset = len(to.log)
        for key, value in records:
            to.put(key, value)
        answer = b'{"offset":%d,"end":%d}' % (offset, len(to.log))
        if state:
            state[1] = sequence
            state[2][sequence] = answer
            for old in sorted(state[2])[:-5]:
                del state[2][old]
        if self.on_append:
            self.on_append(topic, part, records, query.get("epoch"))
        return 200, answer

    async def read(self, request):
        query = request.query
        of = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(of.log) and time.monotonic() < until:
            try:
                await asyncio.wait_for(of.changed.wait(),
                                       until - time.monotonic())
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(of.log), 0)
        for key, value in of.log[start:]:
            body += encode_record(key, value)
        return 200, body

    async def read_newest(self, request):
        query = request.query
        of = self.partition(query["topic"], int(query["part"]))
        after = query.get("after", "").encode()
        items, size, more = [], 0, False
        for key in sorted(of.newest):
            if key <= after:
                continue
            if len(items) == PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            value, offset = of.newest[key]
            size += len(value)
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        await asyncio.sleep(APPEND_S)
        return 200, json.dumps({"items": items, "has_more": more,
                                "end": len(of.log)}).encode()

    async def join(self, request):
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group(self.parts))
        await asyncio.sleep(APPEND_S)
        parts = group.join(body["member"], body["ttl_ms"] / 1000,
                           body["generation"], time.monotonic())
        rows = [[body["topics"][0], part, 0] for part in parts]
        return 200, json.dumps({"generation": group.generation,
                                "parts": rows}).encode()

    async def leave(self, request):
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group(self.parts))
        group.expire(time.monotonic())
        group.leave(body["member"])
        return 200, b"{}"
