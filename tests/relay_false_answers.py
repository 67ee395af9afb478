"""Answers of faulty targets that are not what they seem: refusals that are written
twice, refusals that do not say whether the request ran, errors in the place of
the rest of a stream, and heads that end early."""
import sys
import threading
import time

from relay_fleet import Target, run_checks


def events(first, last):
    return b"".join(b"id: %d\ndata: p%d\n\n" % (n, n)
                    for n in range(first, last + 1))


def check_refusal_copies(fleet):
    """A second copy of a refusal is not taken for the answer to the next request:
    no request that ran is said not to have run, and none runs twice."""
    for how in ("named", "bare", "named-late", "bare-late"):
        for n in range(12):
            refused = "%s-%d-a" % (how, n)
            status, _, _ = fleet.call("unsafe", "refuse-" + how,
                                      attempt=refused)
            # Without an id, it may be a copy of an earlier one.
            assert status == 503 or ("bare" in how and status == 502), (
                how, status)
            assert refused not in Target.runs
            attempt = "%s-%d-b" % (how, n)
            status, body, _ = fleet.call("unsafe", attempt=attempt)
            runs = len(Target.runs.get(attempt, []))
            assert runs <= 1, (how, runs)
            assert status == 200 or (status == 502 and runs == 1), (
                how, status, runs)


def check_refusals_of_requests_that_may_have_run(fleet):
    """A target's refusal that does not say that the request did not run must not
    tell the caller so."""
    for code in ("408", "429", "503"):
        attempt = "bare-" + code
        status, _, headers = fleet.call("unsafe", "bare-" + code,
                                        attempt=attempt)
        assert len(Target.runs[attempt]) == 1
        assert status in (0, 502, 504), (code, status)
        assert "X-Quetzalgate-Response-Seal" not in headers, headers
        status, _, _ = fleet.call("streaming", "bare-" + code,
                                  attempt=attempt + "-s")
        assert status in (0, 502, 504), (code, status)


def check_errors_within_streams(fleet):
    """The answer of the next target to a broken stream, if it does not go on with
    the stream, does not reach the caller, and the stream is not complete."""
    for how in ("error", "missing", "moved", "refusal", "page", "unsealed",
                "head", "bytes"):
        attempt = "then-" + how
        status, body, _ = fleet.call("resume", "then-" + how, attempt=attempt)
        assert len(Target.runs[attempt]) >= 2, (how, Target.runs[attempt])
        assert status == 0, (how, status, body)
        assert events(1, 3).startswith(body), (how, body)


def check_heads_that_end_early(fleet):
    """A head that ends early is no answer, wherever it ends."""
    for route in ("unsafe", "streaming", "resume", "safe"):
        threads, results = [], {}

        def one(size, route=route, results=results):
            results[size] = fleet.call(route, "head-%d" % size,
                                       attempt="head-%s-%d" % (route, size))

        for size in (0, 1, 8, 12, 15, 16, 17, 18, 40, 70, 100, 140, 160, 999):
            threads.append(threading.Thread(target=one, args=(size,)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        for size, (status, body, _) in results.items():
            assert status == 502, (route, size, status, body)
        time.sleep(3.2)  # the targets are avoided for a while


# The streams come first: the resends of the other checks use up the budget.
run_checks(sys.argv[1], [check_errors_within_streams, check_refusal_copies,
                         check_refusals_of_requests_that_may_have_run,
                         check_heads_that_end_early])
