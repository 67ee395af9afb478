#!/bin/sh
# Runs every scenario on both sites, and some also with the baseline policy for
# comparison. FOLDER (default: run/bench) gets one JSON file per run and
# report.html.
#   usage: sh bench/all.sh [FOLDER]
set -u
out=${1:-run/bench}
failed=0
mkdir -p "$out"

# Each run is stopped after this time.
timeout_s=90

run_scenario () {
  echo "== $*"
  timeout -k 5 $timeout_s python3 bench/run "$@" --out "$out" 2>"$out/last.err" \
    || { failed=$((failed + 1)); tail -n 5 "$out/last.err"; }
}

for site in swan derwent; do
  for scenario in added steady flood dc cold crash partition config; do
    run_scenario $site $scenario
  done
  for scenario in steady flood dc; do
    run_scenario $site $scenario --policy baseline
  done
done
python3 bench/report "$out"
echo "$failed scenarios failed to complete"
[ $failed -eq 0 ]
