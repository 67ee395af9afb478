"""A relay or control member one of whose ports is in use says so and ends with its
exit status for bad settings."""
import socket
import sys

from relay_fleet import Fleet

SETTINGS_BAD = 8


def check_port(fleet, name, address, start):
    with socket.create_server(address):
        start()
        code = fleet.processes[name].wait(timeout=10)
    assert code == SETTINGS_BAD, (name, address, code)


fleet = Fleet(sys.argv[1])
try:
    for shift in (2, 3, 4):
        check_port(fleet, "relay-5", ("127.0.0.5", fleet.port + shift),
                   lambda: fleet.relay(5))
    for shift in (0, 1):
        check_port(fleet, "127.0.0.2", ("127.0.0.2", fleet.port + shift),
                   lambda: fleet.control(2, "yes"))
finally:
    fleet.stop_all()
print("ports_in_use ok")
