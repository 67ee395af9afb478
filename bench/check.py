"""Computes the results of a run from the journals of the targets, the log of the
load generator and the metrics of the daemons."""
import collections
import glob
import hashlib
import os
import time

from fleet import LARGE_WORKSPACES, MODEL_SLOTS, WORKSPACES

STEP_US = 100000           # interval of the "served" and "busy" lines in the journals
WARM_UP_S = 8              # of load on cold targets; not in utilisation and short_wait_p95_ms
REPORT_INTERVAL_S = 0.5    # of the fair-share reports, docs/design/fair-share.md
SPILL_SLACK_TOKENS = 8192  # docs/design/fair-share.md


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def record_costs(results, first, last):
    """Records control traffic, CPU, memory and traffic between regions from the first
    sample to the last."""
    seconds = last[0] - first[0]
    control, cpu, rss = [0], [0], [0]
    for name, now in last[1].items():
        before = first[1].get(name, {})
        for key, value in now.items():
            grown = (value - before.get(key, 0)) / seconds
            if key.startswith("peer_bytes_total") and 'kind="control"' in key:
                if not name.startswith("control"):
                    control.append(grown)
            elif key == "cpu_microseconds_total" and name.startswith("control"):
                cpu.append(grown / 1e6)
            elif key == "resident_bytes":
                rss.append(value / 2**20)
    results["control_bytes_per_s_max"] = round(max(control))
    results["control_core_max"] = round(max(cpu), 4)
    results["rss_mib_max"] = round(max(rss), 1)
    results["inter_region_bytes_per_s"] = round((last[2] - first[2]) / seconds)


def seconds_until_in_force(fleet, began):
    """Waits until every running entry and agent has the newest revision. Returns the
    seconds since began, or None if that takes more than 10 s."""
    newest = fleet.status().get("revision", 0)
    pending = [name for name in fleet.admin if name in fleet.procs and name[:7] != "control"]
    while pending and time.monotonic() < began + 10:
        rows = fleet.metrics(pending[-1])
        if any(key.startswith("revision") and value >= newest for key, value in rows.items()):
            pending.pop()
        else:
            time.sleep(0.01)
    return None if pending else round(time.monotonic() - began, 3)


class JournalHistory:
    """What the targets did, read from their journals."""

    def __init__(self, folder):
        self.first_start, self.started = {}, set()  # started: (id, attempt)
        self.served = collections.defaultdict(collections.Counter)  # ws -> step -> tokens
        self.busy = collections.defaultdict(collections.Counter)    # target -> step -> us
        self.key_starts, self.excess, self.starts, self.spans = collections.Counter(), 0, [], []
        for path in glob.glob(os.path.join(folder, "*.journal")):
            self.read(path, os.path.basename(path).split(".")[0])

    def read(self, path, target):
        model, open_spans = target.startswith("model"), {}
        for line in open(path):
            words = line.split()
            t, step = int(words[0]), int(words[0]) // STEP_US
            if words[1] == "start":
                self.starts.append((t, target, words[4]))
                self.first_start.setdefault(words[4], t)
                self.started.add((words[4], int(words[9])))
                if words[5] != "-":
                    self.key_starts[words[3], words[5]] += 1
                open_spans[words[2], words[4]] = (t, int(words[6]))
            elif words[1] == "end" and model:
                began, prompt = open_spans.pop((words[2], words[4]), (t, 0))
                self.spans.append((began, t, prompt + int(words[6]), words[3]))
            elif words[1] == "served" and model:
                self.served[words[2]][step] += int(words[3])
            elif words[1] == "busy" and model:
                self.busy[target][step] += int(words[2])
            elif words[1] == "excess":
                self.excess += 1

    def max_tokens_in_flight(self):
        """ws -> the highest number of tokens that its requests had in flight at once."""
        most, now = collections.Counter(), collections.Counter()
        for _, cost, ws in sorted([(t, cost, ws) for t, _, cost, ws in self.spans]
                                  + [(t, -cost, ws) for _, t, cost, ws in self.spans]):
            now[ws] += cost
            most[ws] = max(most[ws], now[ws])
        return most


def read_load_log(path):
    """Yields the rows of the load generator's log; docs/BENCH.md lists the columns."""
    names = "begun id ws service kind tokens outcome detail first took attempt".split()
    for line in open(path):
        row = dict(zip(names, line.split()))
        for key in ("begun", "tokens", "first", "took", "attempt"):
            row[key] = int(row[key])
        yield row


def waiting_steps(rows, history):
    """ws -> steps during all of which one of its requests waited."""
    waiting = collections.defaultdict(collections.Counter)
    for row in rows:
        if row["kind"].startswith("chat") and not row["outcome"].startswith("resend"):
            until = history.first_start.get(row["id"], row["begun"] + row["took"])
            for step in range(row["begun"] // STEP_US + 1, until // STEP_US):
                waiting[row["ws"]][step] += 1
    return waiting


def fairness_gap(history, waiting, slack_tokens):
    """Returns (gap, bound) of the pair of workspaces that comes nearest to its bound.
    The gap is the largest difference in service over any span in which both have
    requests waiting all the time. The bound is 5 (C(w) + C(u)) + slack_tokens, with
    C(w) the most tokens of w in flight. See docs/design/fair-share.md."""
    committed, worst = history.max_tokens_in_flight(), (0, slack_tokens)
    names = [ws for ws in WORKSPACES if len(waiting[ws]) > 10]
    for i, a in enumerate(names):
        for b in names[:i]:
            both = sorted(set(waiting[a]) & set(waiting[b]))
            low = high = ahead = gap = 0
            for at, step in enumerate(both):
                if at > 0 and step != both[at - 1] + 1:
                    low = high = ahead = 0
                ahead += history.served[a][step] - history.served[b][step]
                low, high = min(low, ahead), max(high, ahead)
                gap = max(gap, high - low)
            bound = 5 * (committed[a] + committed[b]) + slack_tokens
            worst = max(worst, (gap, bound), key=lambda pair: pair[0] / pair[1])
    return worst


def utilisation(history, waiting, start_time):
    """Share of the model slots that were busy while work waited, after the warm-up."""
    steps = {step for ws in LARGE_WORKSPACES for step in waiting[ws]
             if step > (start_time + WARM_UP_S) * 10}
    busy = sum(count for target in history.busy.values()
               for step, count in target.items() if step in steps)
    slots = len(history.busy) * MODEL_SLOTS * STEP_US * len(steps)
    return round(busy / slots, 4) if steps and slots else None


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))] if values else None


def record_dc_times(run, history):
    """Records how long the data centre still started work after it was taken out of
    service, and how long it took to reach full service after its return."""
    if "in" not in run.notes:
        return
    dc_targets = {name for name, (dc, _) in run.fleet.targets.items() if dc == run.notes["dc"]}
    out, back = run.notes["out"] * 1e6, run.notes["in"] * 1e6
    late_starts = [t - out for t, target, _ in history.starts
                   if target in dc_targets and out < t < back]
    run.results["dc_out_last_new_work_s"] = round(max(late_starts, default=0) / 1e6, 3)
    models = [name for name in dc_targets if name.startswith("model")]

    def busy(step):
        return sum(history.busy[name][step + i] for name in models for i in range(5))
    usual = percentile([busy(step) for step in range(int(out) // STEP_US - 30,
                                                     int(out) // STEP_US - 5)], 0.5)
    for step in range(int(back) // STEP_US, int(back) // STEP_US + 300):
        if busy(step) >= 0.95 * usual:
            run.results["dc_in_full_service_s"] = round((step + 5 - back / STEP_US) / 10, 2)
            return


def count_false_refusals(rows, history):
    """Requests refused as not-run that a target had started. The load generator sends
    a request again under the same id when its connection broke: a refusal then speaks of
    the new sending, except for a booking, whose key stands for all of them."""
    return sum(1 for row in rows if row["detail"].endswith("/not-run") and (
        row["id"] in history.first_start if row["kind"] == "post"
        else (row["id"], row["attempt"]) in history.started))


def record_results(run, token_ms):
    """Records the results that come from the journals and the load generator's log."""
    results, journals = run.results, JournalHistory(run.fleet.folder)
    log = "through.log" if run.scenario == "added" else "load.log"
    rows = list(read_load_log(run.fleet.path(log)))
    counts = collections.Counter(row["outcome"] for row in rows)
    load = run.notes["load"]
    results["requests"] = load["requests"]
    results["wrong_answers"] = counts["wrong"]
    results["lost_answers"] = counts["lost"] + load["unfinished"]
    results["cut_requests"] = counts["cut"] + (0 if run.scenario in ("crash", "cold")
                                               else counts["resend-cut"])
    results["false_refusals"] = count_false_refusals(rows, journals)
    results["double_runs"] = sum(1 for n in journals.key_starts.values() if n > 1)
    results["cold_excess"] = journals.excess
    bad_exits = {name: code for name, code in run.fleet.exit_codes.items()
                 if code != 0 and name in run.fleet.admin}
    run.notes["bad_exits"] = bad_exits
    results["errors"] = len(bad_exits) + len(run.notes["faults"])
    if run.scenario == "added":
        return
    waiting = waiting_steps(rows, journals)
    rate = MODEL_SLOTS * len(journals.busy) * 1000 / token_ms
    delay = 2 * (REPORT_INTERVAL_S + 0.008)
    gap, bound = fairness_gap(journals, waiting, 2 * (rate * delay + SPILL_SLACK_TOKENS))
    results["fairness_gap_tokens"], results["fairness_bound_tokens"] = gap, round(bound)
    if run.scenario in ("steady", "flood"):
        results["utilisation"] = utilisation(journals, waiting, run.start_time)
    heavy = LARGE_WORKSPACES + run.notes.get("flooders", [])
    short = [row["first"] / 1000 for row in rows if row["kind"] == "chat"
             and row["outcome"] == "answered" and row["ws"] not in heavy
             and row["begun"] > (run.start_time + WARM_UP_S) * 1e6]
    results["short_wait_p95_ms"] = percentile(short, 0.95)
    waits = run.notes.get("waits")
    if waits:
        results["config_everywhere_s"] = None if None in waits else max(waits)
    record_dc_times(run, journals)
