"""Proxies between the processes of a system, to cut zones off."""

import asyncio
import os


def owner_of_port(address, port, pids):
    """Returns the process of pids that has the connection from address:port."""
    host = "".join(f"{int(part):02X}" for part in reversed(address.split(".")))
    local = f"{host}:{port:04X}"
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1] == local:
                inode = fields[9]
                break
    if inode is None or inode == "0":
        return None
    wanted = f"socket:[{inode}]"
    for pid in pids:
        for name in descriptors(pid):
            try:
                if os.readlink(f"/proc/{pid}/fd/{name}") == wanted:
                    return pid
            except OSError:
                continue  # closed meanwhile
    return None


def descriptors(pid):
    try:
        return os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return []


class Network:
    """Knows which process belongs to which zone and which zone is cut off."""

    def __init__(self):
        self.zone_of_pid = {}
        self.cut_zone = None
        self.proxies = []

    def may_pass(self, source, target):
        if self.cut_zone is None or source == target:
            return True
        return self.cut_zone not in (source, target)

    def cut(self, zone):
        """Cuts a zone off: connections are reset, new ones too."""
        self.cut_zone = zone
        for proxy in self.proxies:
            proxy.reset_cut_connections()

    def heal(self):
        self.cut_zone = None


class Proxy:
    """Forwards connections to one target, unless a cut lies between."""

    def __init__(self, network, zone, target):
        self.network = network
        self.zone = zone  # zone of the target; "platform" for the store
        self.target = target
        self.address = None
        self._open = set()
        network.proxies.append(self)

    async def listen(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = server.sockets[0].getsockname()
        self._server = server

    def reset_cut_connections(self):
        for source, writers in list(self._open):
            if not self.network.may_pass(source, self.zone):
                for writer in writers:
                    writer.transport.abort()

    async def _serve(self, reader, writer):
        entry = None
        try:
            host, port = writer.get_extra_info("peername")
            pid = owner_of_port(host, port, self.network.zone_of_pid)
            source = self.network.zone_of_pid.get(pid)
            if not self.network.may_pass(source, self.zone):
                return
            to_reader, to_writer = await asyncio.open_connection(*self.target)
            entry = (source, (writer, to_writer))
            self._open.add(entry)
            pumps = [asyncio.ensure_future(self._pump(reader, to_writer)),
                     asyncio.ensure_future(self._pump(to_reader, writer))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass
        finally:
            if entry:
                self._open.discard(entry)
                entry[1][1].transport.abort()
            writer.transport.abort()

    @staticmethod
    async def _pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
