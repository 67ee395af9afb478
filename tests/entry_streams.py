"""Event streams through an entry and an agent in one process. The target sends
neither a length nor chunks; a stream whose connection ends within an event, or
before the first one, does not reach the caller as complete."""
import http.client
import json
import os
import socket
import sys
import tempfile
import threading
import time

from entry_process import KEY, accept, read_request, start
from free_port import free_port

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


def call(port, name):
    """(status, body, whether the answer is framed as complete)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
    text = json.dumps({"model": "drape-model", "max_tokens": 4, "stream": True,
                       "messages": [{"role": "user", "content": name}]})
    try:
        conn.request("POST", "/v1/chat/completions", text,
                     {"Authorization": "Bearer " + KEY})
        answer = conn.getresponse()
        return answer.status, answer.read(), True
    except http.client.IncompleteRead as error:
        return 200, error.partial, False
    except (OSError, http.client.HTTPException):
        return 0, b"", False
    finally:
        conn.close()


def main(build):
    server = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=accept, args=(server, serve), daemon=True).start()
    listen = free_port()
    with tempfile.TemporaryDirectory(prefix="qg-entry-") as folder:
        process = start(build, folder, server.getsockname()[1], listen)
        try:
            end = time.time() + 20
            while (result := call(listen, "whole"))[0] != 200:
                assert time.time() < end, result
                time.sleep(0.2)
            assert result == (200, WHOLE, True), result
            for name in ("within", "empty"):
                status, body, complete = call(listen, name)
                assert status != 200 or not complete, (name, status, body)
                assert WHOLE.startswith(body) or status != 200, (name, body)
            print("entry_streams ok")
        except BaseException:
            print(open(os.path.join(folder, "log")).read()[-3000:])
            raise
        finally:
            process.kill()
            process.wait()


main(sys.argv[1])
