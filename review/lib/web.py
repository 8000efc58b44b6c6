"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import urllib.parse


class Request:
    """A request as a stand-in receives it."""

    def __init__(self, method, target, headers, body, peer_port):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body
        self.peer_port = peer_port


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_message(reader):
    """Returns the start line, headers and body; None at the end of stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class Server:
    """Serves handle(request) -> (status, body bytes) on one address."""

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self._server = None
        self.address = None

    async def listen(self, host, port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()

    async def close(self):
        """Stops listening and resets all connections, as a crash does."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                port = (writer.get_extra_info("peername") or ("", 0))[1]
                status, answer = await self._handle(
                    Request(method, target, headers, body, port))
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n"
                    b"Content-Type: application/json\r\n\r\n" %
                    (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Drop):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def call(address, method, path, body=b"", headers=None, timeout=2.0):
    """Returns (status, body), or (None, reason) if there is no answer."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [f"{method} {path} HTTP/1.1",
                         f"Content-Length: {len(body)}"]
                lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                line, _, answer = await read_message(reader)
                return int(line.split()[1]), answer
            finally:
                writer.transport.abort()
    except TimeoutError:
        return None, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, repr(error).encode()
