"""Proxies between the processes of a system, to cut zones off."""

import asyncio
import os
import socket
import struct


SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NLMSG_ERROR = 2


def socket_inode(source, target):
    """Asks the kernel for the inode of the socket source -> target.

    Both are (address, port). One exact look-up (sock_diag(7)); the table in
    /proc/net/tcp can be very long on a machine that runs other tests.
    """
    ends = struct.pack(">HH", source[1], target[1])
    ends += socket.inet_aton(source[0]).ljust(16, b"\0")
    ends += socket.inet_aton(target[0]).ljust(16, b"\0")
    ends += struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                       0xFFFFFFFF) + ends
    head = struct.pack("=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY,
                       NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as netlink:
        netlink.settimeout(1)
        netlink.send(head + body)
        answer = netlink.recv(8192)
    if struct.unpack_from("=H", answer, 4)[0] == NLMSG_ERROR:
        return 0
    return struct.unpack_from("=I", answer, 16 + 68)[0]


def owner_of_connection(source, target, pids):
    """Returns the process of pids that has connected from source to target."""
    inode = socket_inode(source, target)
    if inode == 0:
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
            pid = owner_of_connection(writer.get_extra_info("peername"),
                                      writer.get_extra_info("sockname"),
                                      list(self.network.zone_of_pid))
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
