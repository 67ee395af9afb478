"""Event streams through an entry and an agent in one process. The target sends
neither a length nor chunks; a stream whose connection ends within an event, or
before the first one, does not reach the caller as complete."""
import sys

from entry_process import call, read_request, run_check

WHOLE = b"data: {\"n\": 1}\n\ndata: [DONE]\n\n"
BODIES = {"whole": WHOLE, "within": WHOLE[:-9], "empty": b""}


def serve(conn):
    with conn:
        request = read_request(conn)
        for name, body in BODIES.items():
            if name.encode() in request:
                conn.sendall(b"HTTP/1.1 200 OK\r\n"
                             b"Content-Type: text/event-stream\r\n\r\n" + body)
                return
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def check(port):
    result = call(port, "whole", stream=True)
    assert result == (200, WHOLE, True), result
    for name in ("within", "empty"):
        status, body, complete = call(port, name, stream=True)
        assert status != 200 or not complete, (name, status, body)
        assert WHOLE.startswith(body) or status != 200, (name, body)
    print("entry_streams ok")


run_check(sys.argv[1], serve, "whole", check)
