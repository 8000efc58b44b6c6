"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = {}
        for pair in query.split("&") if query else []:
            name, _, value = pair.partition("=")
            self.query[name] = unquote(value)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def unquote(text):
    out = bytearray()
    i = 0
    while i < len(text):
        if text[i] == "%" and i + 2 < len(text) + 0:
            out.append(int(text[i + 1:i + 3], 16))
            i += 3
        else:
            out += text[i].encode()
            i += 1
    return out.decode("utf-8", "replace")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """Serves one address. The handler is a coroutine function that takes a
    Request and returns (status, body bytes, content type), or None to leave
    the request without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(
            self.on_connection, host, port, limit=1 << 24)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def on_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                answer = await self.handler(
                    Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, payload, kind = answer
                writer.write((
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n").encode()
                    + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def crash(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


def reply(status, value):
    return status, json.dumps(value).encode(), "application/json"


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Returns (status, body); status 0 if there was no answer in time, -1 if
    the connection could not be made or broke."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                address[0], address[1], limit=1 << 24)
            head = f"{method} {path} HTTP/1.1\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            line, got = await read_head(reader)
            payload = await reader.readexactly(
                int(got.get("content-length", "0")))
            return int(line.split(" ")[1]), payload
    except TimeoutError:
        return 0, b""
    except (ConnectionError, OSError, asyncio.IncompleteReadError):
        return -1, b""
    finally:
        if writer:
            writer.close()
