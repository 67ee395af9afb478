"""Finds a free port on 127.0.0.1 below the range from which the kernel takes the
ports of outgoing connections, so that none of these can take it before the
program under test listens."""
import random
import socket

PORTS = range(10000, 20000)


def free_port():
    while True:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", random.choice(PORTS)))
            except OSError:
                continue
            return probe.getsockname()[1]


if __name__ == "__main__":
    print(free_port())
