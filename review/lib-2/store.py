"""A stand-in of the platform's store in the form of a log, after PROTOCOL.md:
partitions that append one call at a time, keyed topics, writers with epochs
and sequence numbers, and groups that share partitions among their members."""

import asyncio
import base64
import struct
import time

from web import Server, reply

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}  # key -> (offset, value)
        self.writers = {}  # producer -> [epoch, sequence, {sequence: answer}]
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}  # member -> time of expiry
        self.wanted = {}  # partition -> member
        self.held = {}  # partition -> member
        self.moved_at = {}  # partition -> generation of its last move


class Store:
    def __init__(self, parts=8, append_ms=4.0, record_bytes=262144,
                 request_bytes=2097152, log=None):
        self.parts = parts
        self.append_s = append_ms / 1000
        self.record_bytes = record_bytes
        self.request_bytes = request_bytes
        self.topics = {}
        self.groups = {}
        self.log = log or (lambda **_: None)
        self.server = Server(self.on_request)

    async def start(self, host):
        await self.server.start(host)

    @property
    def address(self):
        return "%s:%d" % self.server.address

    def partition(self, topic, part):
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Writes a record of the operator or of an executor."""
        self.add(topic, self.partition(topic, 0), [
            bytes([len(key)]) + key.encode() + value])

    def add(self, topic, where, records):
        for record in records:
            offset = len(where.records)
            where.records.append(record)
            if topic.startswith("keyed."):
                length = record[0]
                key, value = record[1:1 + length], record[1 + length:]
                if value:
                    where.newest[key] = (offset, value)
                else:
                    where.newest.pop(key, None)
        where.changed.set()
        where.changed = asyncio.Event()

    async def on_request(self, request):
        handler = {
            ("POST", "/log-append"): self.on_append,
            ("GET", "/log-read"): self.on_read,
            ("GET", "/log-newest"): self.on_newest,
            ("POST", "/log-join"): self.on_join,
            ("POST", "/log-leave"): self.on_leave,
        }.get((request.method, request.path))
        if not handler:
            return reply(404, {})
        return await handler(request)

    async def on_append(self, request):
        topic = request.query["topic"]
        part = int(request.query.get("part", "0"))
        if topic in ("keyed.op", "keyed.servers"):
            return reply(403, {})
        records, body = [], request.body
        while body:
            (length,) = struct.unpack(">I", body[:4])
            records.append(body[4:4 + length])
            body = body[4 + length:]
        # More than the platform allows in a record or in a call: nothing is
        # done.
        if (any(len(r) > self.record_bytes for r in records)
                or sum(map(len, records)) > self.request_bytes):
            self.log(what="append_too_large", topic=topic, part=part,
                     largest=max(map(len, records)),
                     limit=self.record_bytes)
            return reply(400, {"error": "record too large"})
        where = self.partition(topic, part)
        async with where.lock:
            await asyncio.sleep(self.append_s)
            return self.append(topic, where, records, request.query)

    def append(self, topic, where, records, query):
        writer, sequence = None, 0
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            writer = where.writers.setdefault(query["producer"], [0, 0, {}])
            if epoch < writer[0]:
                return reply(409, {"reason": "fenced"})
            if epoch > writer[0]:
                writer[:] = [epoch, sequence - 1 if records else 0, {}]
            if not records:
                return reply(200, {"offset": len(where.records),
                                   "end": len(where.records)})
            if sequence in writer[2]:
                return writer[2][sequence]
            if sequence != writer[1] + 1:
                return reply(409, {"reason": "seq", "expected": writer[1] + 1})
        if "at" in query and int(query["at"]) != len(where.records):
            return reply(412, {"end": len(where.records)})
        offset = len(where.records)
        self.add(topic, where, records)
        answer = reply(200, {"offset": offset, "end": len(where.records)})
        if writer:
            writer[1] = sequence
            writer[2][sequence] = answer
            writer[2].pop(sequence - 5, None)
        return answer

    async def on_read(self, request):
        where = self.partition(request.query["topic"],
                               int(request.query.get("part", "0")))
        first = int(request.query["from"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        until = time.monotonic() + wait
        while first >= len(where.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(where.changed.wait(),
                                       until - time.monotonic())
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(where.records), 0)
        for record in where.records[first:]:
            body += struct.pack(">I", len(record)) + record
        return 200, body, "application/octet-stream"

    async def on_newest(self, request):
        where = self.partition(request.query["topic"],
                               int(request.query.get("part", "0")))
        after = request.query.get("after", "").encode()
        items, size, has_more = [], 0, False
        for key in sorted(where.newest):
            if after and key <= after:
                continue
            offset, value = where.newest[key]
            if len(items) >= PAGE_ITEMS or size + len(value) > PAGE_BYTES:
                has_more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return reply(200, {"items": items, "has_more": has_more,
                           "end": len(where.records)})

    # Groups.

    def deal(self, group):
        """Shares the partitions evenly; each moves as seldom as possible."""
        group.generation += 1
        members = sorted(group.members)
        if not members:
            group.wanted = {}
            return
        most = -(-self.parts // len(members))
        wanted, counts = {}, dict.fromkeys(members, 0)
        for part in range(self.parts):
            owner = group.wanted.get(part)
            if owner in counts and counts[owner] < most:
                wanted[part] = owner
                counts[owner] += 1
        for part in range(self.parts):
            if part not in wanted:
                owner = min(members, key=lambda m: (counts[m], m))
                wanted[part] = owner
                counts[owner] += 1
        for part, owner in wanted.items():
            if group.wanted.get(part) != owner:
                group.moved_at[part] = group.generation
        group.wanted = wanted

    def expire(self, group):
        gone = [m for m, at in group.members.items() if at < time.monotonic()]
        for member in gone:
            self.remove(group, member)

    def remove(self, group, member):
        if group.members.pop(member, None) is None:
            return
        for part, holder in list(group.held.items()):
            if holder == member:
                del group.held[part]
        self.deal(group)

    async def on_join(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        member = body["member"]
        self.expire(group)
        is_new = member not in group.members
        group.members[member] = time.monotonic() + body["ttl_ms"] / 1000
        if is_new:
            self.deal(group)
        for part, holder in list(group.held.items()):
            if (holder == member and group.wanted[part] != member
                    and body["generation"] >= group.moved_at[part]):
                del group.held[part]
        for part, owner in group.wanted.items():
            if owner == member:
                group.held.setdefault(part, member)
        parts = [part for part, holder in sorted(group.held.items())
                 if holder == member and group.wanted[part] == member]
        return reply(200, {
            "generation": group.generation, "ttl_ms": body["ttl_ms"],
            "parts": [[topic, p, 0] for topic in body["topics"]
                      for p in parts]})

    async def on_leave(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        self.remove(group, body["member"])
        return reply(200, {})
