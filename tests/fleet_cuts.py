"""Cuts between the processes of a proxied fleet of relay_fleet.py, by the numbers in
their addresses."""

CONTROL, RELAYS = (2, 3, 4), (5, 6)


def name_of(fleet, n):
    return ("relay-%d" % n if n in fleet.relays
            else "127.0.0.%d" % (fleet.shift + n))


def each_connection(fleet, ours, others):
    """Proxy, name of the client and the way towards @others of the connections
    between @ours and @others, whoever opened them."""
    for n in ours:
        for other in (m for m in others if m != n):
            yield fleet.proxies[n], name_of(fleet, other), "to client"
            yield fleet.proxies[other], name_of(fleet, n), "to server"


def silence(fleet, ours, others, towards=None):
    """Silences the connections between @ours and @others: both ways, or what goes
    "out" to others or comes "in"."""
    flip = {"to client": "to server", "to server": "to client"}
    for proxy, name, way in each_connection(fleet, ours, others):
        proxy.silence(name, {None: None, "out": way, "in": flip[way]}[towards])


def cut(fleet, n, *others):
    """Nothing passes between process @n and @others, now and on new connections,
    until heal()."""
    for other in others:
        fleet.proxies[n].cut(name_of(fleet, other))
        fleet.proxies[other].cut(name_of(fleet, n))


def heal(fleet):
    for proxy in fleet.proxies.values():
        proxy.heal()
