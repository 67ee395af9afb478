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
        connection = Connection(client, server)
        with self.lock:
            self.connections = [c for c in self.connections if not c.closed]
            self.connections.append(connection)
        connection.start()

    def open_connections(self, name=None):
        """Those of the process @name, as its hello states it; None: all."""
        with self.lock:
            return [c for c in self.connections if not c.closed
                    and (name is None or name.encode() in c.first)]

    def silence(self, name=None, way=None):
        """Open connections go silent for good, both ways, or only what goes "to
        server" or "to client"; returns their number."""
        chosen = self.open_connections(name)
        for connection in chosen:
            connection.silent |= {way} if way else {"to server", "to client"}
        return len(chosen)

    def reset(self, name=None):
        for connection in self.open_connections(name):
            connection.reset()

    def delay(self, seconds, name=None):
        for connection in self.open_connections(name):
            connection.delay_s = seconds

    def stop(self):
        self.socket.close()


class Connection:
    FIRST_BYTES = 512  # of what the client sends: they contain its hello

    def __init__(self, client, server):
        self.client, self.server = client, server
        self.first = b""
        self.silent, self.closed, self.delay_s = set(), False, 0

    def start(self):
        for each in ((self.client, self.server, "to server"),
                     (self.server, self.client, "to client")):
            threading.Thread(target=self.copy, args=each, daemon=True).start()

    def copy(self, source, sink, way):
        try:
            while data := source.recv(65536):
                if source is self.client and len(self.first) < self.FIRST_BYTES:
                    self.first += data
                if self.delay_s:
                    time.sleep(self.delay_s)
                if way not in self.silent:
                    sink.sendall(data)
        except OSError:
            pass
        # The other side doesn't learn that a silent connection was closed.
        if way not in self.silent:
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
