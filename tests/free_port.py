"""Finds a free port on 127.0.0.1 below the range from which the kernel takes the
ports of outgoing connections, so that none of these can take it before the
program under test listens. No port is returned twice: by this process, or by
processes with the same FILE.

    python3 tests/free_port.py FILE"""
import random
import socket
import sys

PORTS = range(10000, 20000)
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
