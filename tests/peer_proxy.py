"""A TCP proxy in front of a process of a fleet or a target. Connections that are
open may go silent for good (nothing passes, nothing is closed), in one direction or
both, be reset, delayed or held up, while new ones work; or a fault affects new ones
too for as long as it lasts."""
import socket
import struct
import threading
import time

HELD_CHECK_S = 0.02
# Faults after which a connection never passes anything again in a direction: bytes
# that TCP has lost are not skipped.
LASTING = {"silent": ("in", "out"), "cut-in": ("in",), "cut-out": ("out",)}


class PeerProxy:
    """Passes connections to @address on to @target, each an (ip, port)."""
    MODES = ("delay", "hold", "reset") + tuple(LASTING)

    def __init__(self, address, target):
        self.address, self.target = address, target
        self.mode = "pass"  # of new connections
        self.new_delay_s, self.new_chunk = 0, 65536  # of connections to come
        self.cut_off = set()  # names of processes whose bytes are lost
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
        connection = Connection(client, server, self.cut_off)
        connection.delay_s, connection.chunk = self.new_delay_s, self.new_chunk
        with self.lock:
            connection.mode = self.mode
            self.connections = [c for c in self.connections if not c.closed]
            self.connections.append(connection)
        connection.start()

    def open_connections(self, name=None):
        """Those of the process @name, as its hello states it; None: all."""
        with self.lock:
            return [c for c in self.connections if not c.closed
                    and (name is None or name.encode() in c.first)]

    def disturb(self, mode, name=None):
        """Open connections get a fault; returns their number."""
        chosen = self.open_connections(name)
        for connection in chosen:
            connection.disturb(mode)
        return len(chosen)

    def release(self, name=None):
        """Ends the delay or hold of open connections."""
        for connection in self.open_connections(name):
            if connection.mode in ("delay", "hold", "reset"):
                connection.mode = "pass"

    def begin(self, mode):
        """Open and new connections have a fault until end() is called."""
        with self.lock:
            self.mode = mode
        self.disturb(mode)

    def end(self):
        with self.lock:
            self.mode = "pass"
        self.release()

    def silence(self, name=None, way=None):
        """Open connections go silent for good, both ways, or only what goes "to
        server" or "to client"; returns their number."""
        return self.disturb({"to server": "cut-in", "to client": "cut-out",
                             None: "silent"}[way], name)

    def reset(self, name=None):
        self.disturb("reset", name)

    def delay(self, seconds, name=None):
        for connection in self.open_connections(name):
            connection.delay_s = seconds

    def cut(self, name):
        """Nothing passes from and to the process @name until heal()."""
        # As in a hello, where the length stands before a name.
        exact = chr(len(name)) + name
        self.cut_off.add(exact.encode())
        self.silence(exact)

    def heal(self):
        self.cut_off.clear()

    def stop(self):
        self.socket.close()


class Connection:
    FIRST_BYTES = 512  # of what the client sends: they contain its hello
    DELAY_S = 0.15  # in the mode "delay"

    def __init__(self, client, server, cut_off):
        self.client, self.server, self.cut_off = client, server, cut_off
        self.first = b""
        self.mode, self.closed, self.delay_s = "pass", False, 0
        self.is_reset = False
        self.chunk = 65536  # most bytes that are passed on at once

    def start(self):
        for how in ((self.client, self.server, "in", "out"),
                    (self.server, self.client, "out", "in")):
            threading.Thread(target=self.copy, args=how, daemon=True).start()

    def disturb(self, mode):
        if self.mode in LASTING and mode != "reset":
            mode = self.mode if mode not in LASTING else "silent"
        self.mode = mode
        if mode == "reset":
            self.reset()

    @property
    def silent(self):
        return self.mode == "silent"

    @silent.setter
    def silent(self, silent):
        self.mode = "silent" if silent else "pass"

    def passes(self, direction):
        return direction not in LASTING.get(self.mode, ())

    def wait_while_held(self):
        while self.mode == "hold":
            time.sleep(HELD_CHECK_S)

    def copy(self, source, sink, direction, opposite):
        # The direction in which the end of the connection is told.
        told = direction
        try:
            while data := source.recv(self.chunk):
                if source is self.client and len(self.first) < self.FIRST_BYTES:
                    self.first += data
                    if any(name in self.first for name in self.cut_off):
                        self.mode = "silent"
                if self.delay_s or self.mode == "delay":
                    time.sleep(self.delay_s or self.DELAY_S)
                self.wait_while_held()
                if self.mode == "reset":
                    self.reset()
                    return
                if self.passes(direction):
                    told = opposite
                    sink.sendall(data)
                    told = direction
        except OSError:
            pass
        self.wait_while_held()
        if self.passes(told) and not self.is_reset:
            self.close()

    def close(self, how=socket.SHUT_RDWR):
        self.closed = True
        for end in (self.client, self.server):
            try:
                end.shutdown(how)
            except OSError:
                pass
            end.close()

    def reset(self):
        """Both ends get a reset and no proper end before it."""
        self.is_reset = True
        linger = struct.pack("ii", 1, 0)
        for end in (self.client, self.server):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            except OSError:
                pass
        self.close(socket.SHUT_RD)  # wakes threads that read, sends nothing
