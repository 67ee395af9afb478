"""A target that is a process of its own, for the soak (tests/soak.py). It serves what
relay_fleet.Target serves, and answers in pieces that name their run:

- "run-FRAMING": streams of 14 events 20 ms apart, plain bodies of 14 pieces 5 ms
  apart. FRAMING is "chunked", "length", or "close" for neither of both.
- "big-FRAMING": pieces of 16 KiB.
- "killN-FRAMING": the process of the first run kills itself after piece N.
- "exit-FRAMING": the process of the first run deregisters behind its answer and ends
  at once.

Records are files, so that they outlive the process.

    python3 tests/target_process.py SETTINGS    # JSON, see ProcessSettings"""
import collections
import glob
import json
import os
import signal
import socket
import sys
import threading
import time

from relay_fleet import Fleet, Target

PIECES = 14
EVENT_PAUSE_S, PLAIN_PAUSE_S = 0.02, 0.005
BIG = 16384
KINDS = ("run-", "big-", "kill", "exit-")
DRAIN_TRIES_S = 3
ProcessSettings = collections.namedtuple(
    "ProcessSettings", "port shift members records id host dc drains listener")


def piece(kind, number, run, size):
    """The bytes of a piece of a stream or of a plain answer."""
    pad = "." * size
    return (("id: %d\ndata: p%d %s %s\n\n" if kind == "stream" else
             "%d p%d %s %s\n") % (number, number, run, pad)).encode()


def size_of(behavior):
    return BIG if behavior.startswith("big-") else 0


class Records:
    """What targets have run and which have killed themselves, in a folder."""

    def __init__(self, folder):
        self.folder = folder
        os.makedirs(os.path.join(folder, "runs"), exist_ok=True)

    def append(self, name, *fields):
        """Returns whether the line is the first of its file."""
        line = json.dumps(fields).encode() + b"\n"
        with open(os.path.join(self.folder, name), "ab", 0) as out:
            out.write(line)
            return out.tell() == len(line)

    def read(self, name):
        try:
            with open(os.path.join(self.folder, name)) as lines:
                return [json.loads(line) for line in lines]
        except FileNotFoundError:
            return []

    def runs(self):
        return {os.path.basename(path): self.read(path) for path in
                glob.glob(os.path.join(glob.escape(self.folder), "runs", "*"))}


class RecordingTarget(Target):
    records = None  # of all targets of the process
    kills = False  # itself, if a request asks for it

    def record_arrival(self, attempt):
        self.records.append("arrivals", self.id, attempt, time.time())

    def record_run(self, attempt, fields, body):
        return self.records.append(os.path.join("runs", attempt), self.id,
                                   time.time())

    def answer_out_of_order(self, conn, seal, echo, behavior, start, first):
        if not behavior.startswith(KINDS):
            return super().answer_out_of_order(conn, seal, echo, behavior, start,
                                               first)
        kind, _, framing = behavior.partition("-")
        last = PIECES
        if kind.startswith("kill") and first and self.kills:
            last = int(kind[4:])
        self.send_pieces(conn, seal, echo, framing, start, size_of(behavior),
                         last)
        if last < PIECES or (kind.startswith("kill") and first and self.kills):
            self.records.append("ends", self.id, time.time())
            os.kill(os.getpid(), signal.SIGKILL)
        if kind == "exit" and first and self.kills:
            conn.shutdown(socket.SHUT_WR)
            self.post("deregister")
            self.records.append("ends", self.id, time.time())
            os._exit(0)
        return framing != "close"

    def send_pieces(self, conn, seal, echo, framing, start, size, last):
        """Sends the pieces after @start up to @last of PIECES."""
        is_stream = "-streaming" in echo or "-resume" in echo
        run = "%s/%d" % (self.id, time.time_ns())
        pieces = [piece("stream" if is_stream else "plain", n, run, size)
                  for n in range(start + 1, PIECES + 1)]
        conn.sendall(("HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (
            seal, "Content-Type: text/event-stream\r\n" if is_stream else "",
            {"chunked": "Transfer-Encoding: chunked\r\n", "close": "",
             "length": "Content-Length: %d\r\n" % sum(map(len, pieces))}
            [framing])).encode())
        for data in pieces[:max(0, last - start)]:
            conn.sendall(b"%x\r\n%s\r\n" % (len(data), data)
                         if framing == "chunked" else data)
            time.sleep(EVENT_PAUSE_S if is_stream else PLAIN_PAUSE_S)
        if framing == "chunked" and last == PIECES:
            conn.sendall(b"0\r\n\r\n")


class FleetOfTarget:
    """What a target needs of its fleet."""
    control_request = Fleet.control_request

    def __init__(self, settings):
        self.port, self.shift = settings.port, settings.shift
        self.members = settings.members


class ProcessTarget(RecordingTarget):
    kills = True

    def __init__(self, settings):
        self.listener = settings.listener  # a descriptor, or None
        super().__init__(FleetOfTarget(settings), 0, "app", settings.dc,
                         names=(settings.id, settings.host))

    def listen(self):
        if self.listener is None:
            return super().listen()
        return socket.socket(fileno=self.listener)

    def drain(self):
        """Ends once control has acknowledged that the target leaves."""
        self.state, end = "draining", time.time() + DRAIN_TRIES_S
        while time.time() < end:
            answer = self.post("heartbeat")
            if answer is not None and answer[0] == 200:
                break
        os._exit(0)


def main(text):
    settings = ProcessSettings(*json.loads(text))
    RecordingTarget.records = Records(settings.records)
    target = ProcessTarget(settings)
    if settings.drains:
        signal.signal(signal.SIGTERM, lambda *_: threading.Thread(
            target=target.drain).start())
    threading.Event().wait()


if __name__ == "__main__":
    main(sys.argv[1])
