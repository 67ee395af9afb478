"""A TCP proxy between the processes of a fleet. Connections that are open may go
silent for good (nothing passes, nothing is closed), be reset or be delayed, while
new ones work."""
import socket
import struct
import threading
import time


class PeerProxy:
    """Passes connections to @address on to @target, each an (ip, port)."""

    def __init__(self, address, target):
        self.target = target
        self.connections = []
        self.blocked = set()  # processes that get no connection
        self.lock = threading.Lock()
        self.socket = socket.create_server(address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(client,),
                             daemon=True).start()

    def connect(self, client):
        try:
            server = socket.create_connection(self.target, timeout=2)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for end in (client, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(client, server, self.blocked)
        with self.lock:
            self.connections = [c for c in self.connections if not c.closed]
            self.connections.append(connection)
        connection.start()

    def open_connections(self, name=None):
        """Those of the process @name, as its hello states it; None: all."""
        with self.lock:
            return [c for c in self.connections if not c.closed
                    and (name is None or name.encode() in c.first)]

    def silence(self, name=None):
        """Open connections go silent for good; returns their number."""
        chosen = self.open_connections(name)
        for connection in chosen:
            connection.silent = True
        return len(chosen)

    def reset(self, name=None):
        for connection in self.open_connections(name):
            connection.reset()

    def block(self, name):
        """Open and new connections of the process @name are silent, until
        unblock()."""
        self.blocked.add(bytes([len(name)]) + name.encode())
        self.silence(bytes([len(name)]).decode() + name)

    def unblock(self):
        self.blocked.clear()

    def delay(self, seconds, name=None):
        for connection in self.open_connections(name):
            connection.delay_s = seconds

    def stop(self):
        self.socket.close()


class Connection:
    FIRST_BYTES = 512  # of what the client sends: they contain its hello

    def __init__(self, client, server, blocked=()):
        self.client, self.server, self.blocked = client, server, blocked
        self.first = b""
        self.mute = None  # the end that gets nothing more
        self.silent, self.closed, self.delay_s = False, False, 0

    def start(self):
        for pair in ((self.client, self.server), (self.server, self.client)):
            threading.Thread(target=self.copy, args=pair, daemon=True).start()

    def copy(self, source, sink):
        try:
            while data := source.recv(65536):
                if source is self.client and len(self.first) < self.FIRST_BYTES:
                    self.first += data
                    self.silent |= any(name in self.first for name in self.blocked)
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not self.silent and sink is not self.mute:
                    sink.sendall(data)
        except OSError:
            pass
        # The other side doesn't learn that a silent connection was closed.
        if not self.silent:
            self.close()

    def close(self):
        self.closed = True
        for end in (self.client, self.server):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        for end in (self.client, self.server):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            except OSError:
                pass
        self.close()
