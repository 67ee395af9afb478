"""Finds a free port on 127.0.0.1 below the range from which the kernel takes the
ports of outgoing connections, so that none of these can take it before the
program under test listens. No port is returned twice: by this process, or by
processes with the same FILE. Tests of different streams of tests/run.sh get
different ports, also while their programs restart.

    python3 tests/free_port.py FILE"""
import os
import random
import socket
import sys

STREAM_PORTS = 1200  # of each stream of tests/run.sh
PORTS = range(10000, 20000)
if "TEST_STREAM" in os.environ:
    PORTS = PORTS[int(os.environ["TEST_STREAM"]) * STREAM_PORTS:][:STREAM_PORTS]
returned = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in returned:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        returned.add(port)
        return port


def main(path):
    """Prints a port that is not in the file, and adds it."""
    with open(path, "a+") as file:
        file.seek(0)
        returned.update(int(line) for line in file)
        port = free_port()
        file.write("%d\n" % port)
        print(port)


if __name__ == "__main__":
    main(sys.argv[1])
