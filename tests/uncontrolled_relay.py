"""Clients that nobody controls, at the ports of a relay and of a control member:
requests sent ahead whose answers nobody reads, chunked bodies of tiny chunks that
stay open, and, at the ports for peers, hellos that stop short of their end. The
process lives, its memory (with what its sockets hold unread) and its descriptors
stay within bounds, and one ordinary request is answered afterwards."""
import os
import socket
import sys
import time

from relay_fleet import KEY, Fleet, wait_for

MEMORY_MB = 48
FDS_BESIDE_CROWD = 100  # of files, peers, targets and their health checks
CLIENTS = 400
PEERS = 1000  # connections to a port for peers
PRESS_S = 6


class SmallFleet(Fleet):
    """All processes are told that they have MEMORY_MB."""

    def common_settings(self, name, role, dc):
        text = super().common_settings(name, role, dc)
        return text.replace("[peers]\n", "memory_mb=%d\n[peers]\n" % MEMORY_MB)


def request(n, behavior):
    return ("POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
            "X-Quetzalgate-Attempt-Id: ahead%d\r\nContent-Length: 0\r\n"
            "X-Quetzalgate-Deadline-Ms: 3000\r\nX-Do: %s\r\n"
            "X-Quetzalgate-Key: %s\r\n\r\n" % (n, behavior, KEY)).encode()


def fetches_ahead(n):
    return b"GET /configuration/fetch HTTP/1.1\r\nHost: h\r\n\r\n" * 20_000


def requests_ahead(n):
    return b"".join(request(n * 1000 + i, "long-200000") for i in range(1000))


def tiny_chunks(n):
    head = request(n, "ok").replace(b"Content-Length: 0",
                                    b"Transfer-Encoding: chunked")
    return head + b"1\r\nc\r\n" * 99_000


def hellos_without_end(n):
    """A first frame that stops just short of its end."""
    return (64 * 1024).to_bytes(4, "big") + b"h" * (64 * 1024 - 1)


def memory(pid):
    """Resident bytes of a process and those that its sockets hold unread."""
    with open("/proc/%d/statm" % pid) as text:
        resident = int(text.read().split()[1]) * 4096
    inodes = set()
    for fd in os.listdir("/proc/%d/fd" % pid):
        try:
            inodes.add(os.readlink("/proc/%d/fd/%s" % (pid, fd)))
        except OSError:
            pass
    unread = 0
    with open("/proc/net/tcp") as rows:
        for row in rows.readlines()[1:]:
            fields = row.split()
            # State 0A is a listener, whose queue counts connections.
            if fields[3] != "0A" and "socket:[%s]" % fields[9] in inodes:
                unread += int(fields[4].split(":")[1], 16)
    return resident, unread


def press(process, address, n_clients, form):
    """The crowd sends what is taken and stays open; the most memory and
    descriptors meanwhile."""
    crowd = []
    for n in range(n_clients):
        conn = socket.create_connection(address)
        conn.setblocking(False)
        crowd.append([conn, form(n)])
    most, parts, fds, end = 0, (0, 0), 0, time.time() + PRESS_S
    while time.time() < end and process.poll() is None:
        for client in crowd:
            try:
                client[1] = client[1][client[0].send(client[1][:262_144]):]
            except BlockingIOError:
                pass
            except OSError:
                client[1] = b""
        now = memory(process.pid)
        if sum(now) > most:
            most, parts = sum(now), now
        fds = max(fds, len(os.listdir("/proc/%d/fd" % process.pid)))
        time.sleep(0.01)
    for conn, _ in crowd:
        conn.close()
    return most, parts, fds


def check(fleet, name, address, n_clients, form, answers):
    process = fleet.processes[name]
    most, parts, fds = press(process, address, n_clients, form)
    print("%s, %s of %d: %d MB (%d resident, %d unread), %d descriptors" % (
        name, form.__name__, n_clients, most >> 20, parts[0] >> 20,
        parts[1] >> 20, fds), flush=True)
    assert process.poll() is None, "the process ended"
    wait_for("an answer after " + form.__name__, answers)
    assert most <= MEMORY_MB << 20, "memory: %d MB" % (most >> 20)
    assert fds <= 2 * n_clients + FDS_BESIDE_CROWD, "descriptors: %d" % fds


def check_control(fleet, form, n_clients, port=1):
    leader = fleet.leader()
    check(fleet, "127.0.0.%d" % leader, ("127.0.0.%d" % leader, fleet.port + port),
          n_clients, form, lambda: fleet.leader() is not None)


def check_relay(fleet, form, n_clients, port=2):
    check(fleet, "relay-5", ("127.0.0.5", fleet.port + port), n_clients, form,
          lambda: fleet.call("safe", attempt="after")[0] == 200)


FORMS = {
    "control-ahead": lambda fleet: check_control(fleet, fetches_ahead, CLIENTS),
    "relay-ahead": lambda fleet: check_relay(fleet, requests_ahead, CLIENTS),
    "relay-chunks": lambda fleet: check_relay(fleet, tiny_chunks, CLIENTS),
    "relay-ready": lambda fleet: check_relay(fleet, fetches_ahead, CLIENTS, 3),
    "relay-peers": lambda fleet: check_relay(
        fleet, hellos_without_end, PEERS, 4),
    "control-peers": lambda fleet: check_control(
        fleet, hellos_without_end, PEERS, 0),
}


def main(build, form):
    fleet = SmallFleet(build, memory_mb=MEMORY_MB)
    try:
        fleet.start_all()
        FORMS[form](fleet)
    finally:
        fleet.stop_all()


main(sys.argv[1], sys.argv[2])
