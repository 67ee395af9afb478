"""A relay gets no processor time for a while, again and again, while sound targets
send answers without a length: none is broken off.
usage: relay_starved.py BUILD [--seed N] [--seconds S]"""
import argparse
import collections
import random
import re
import signal
import threading
import time

from relay_fleet import Target, event_of, run_checks

N_EVENTS = 14
BODY = b"b" * 2000
CALLERS = 10
MIN_WHOLE = 50  # a run with fewer shows nothing

answer_others = Target.answer_out_of_order


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    if behavior not in ("events", "plain"):
        return answer_others(self, conn, seal, echo, behavior, start, first)
    kind = "Content-Type: text/event-stream\r\n" if behavior == "events" else ""
    conn.sendall(("HTTP/1.1 200 OK\r\n%s%s\r\n" % (seal, kind)).encode())
    if behavior == "plain":
        time.sleep(0.05)
        conn.sendall(BODY)
        return False
    for n in range(1, N_EVENTS + 1):
        conn.sendall(event_of(n))
        time.sleep(0.02)
    return False


Target.answer_out_of_order = answer_until_close


def starve(fleet, stopped, seed):
    draw = random.Random(seed)
    process = fleet.processes["relay-5"]
    while not stopped.wait(draw.uniform(0.1, 0.6)):
        process.send_signal(signal.SIGSTOP)
        time.sleep(draw.uniform(0.2, 1.2))
        process.send_signal(signal.SIGCONT)


def run(options):
    whole = {"events": b"".join(event_of(n) for n in range(1, N_EVENTS + 1)),
             "plain": BODY}
    seen, broken = collections.Counter(), []

    def check_starved_relay(fleet):
        stopped = threading.Event()

        def caller(number):
            n = 0
            while not stopped.is_set():
                n += 1
                kind = "events" if (n + number) % 2 else "plain"
                route = "streaming" if kind == "events" else "unsafe"
                attempt = "s%d-%d" % (number, n)
                began = time.time()
                status, body, _ = fleet.call(route, kind, attempt, body=attempt,
                                             timeout_ms=7000)
                if status == 200:
                    assert body == whole[kind], (attempt, body)
                    seen[kind] += 1
                elif body:
                    broken.append((attempt, kind, len(body), len(whole[kind]),
                                   round(time.time() - began, 2)))
                else:
                    seen["other"] += 1

        threads = [threading.Thread(target=caller, args=(n,))
                   for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        starver = threading.Thread(target=starve,
                                   args=(fleet, stopped, options.seed))
        starver.start()
        time.sleep(options.seconds)
        stopped.set()
        for thread in threads + [starver]:
            thread.join()
        with open("%s/relay-5.log" % fleet.dir) as log:
            text = log.read()
        verdicts = collections.Counter(re.findall(r"verdict=(\w+)", text))
        print("  seed", options.seed, dict(seen), "broken", len(broken),
              dict(verdicts))
        for found in broken[:20]:
            print("  ", found, re.findall(
                r"id=%s target=\S+ (verdict=[^\"]*)" % found[0], text))
        assert not broken, len(broken)
        assert seen["events"] + seen["plain"] >= MIN_WHOLE, seen

    run_checks(options.build, [check_starved_relay], n_targets=6)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=time.time_ns() % 10**6)
    parser.add_argument("--seconds", type=float, default=20)
    run(parser.parse_args())
