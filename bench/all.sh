#!/bin/sh
# Every scenario for both sites, then the baseline policy where it compares;
# results go to run/bench, one JSON line each, and into run/bench/report.html.
#   usage: sh bench/all.sh [FOLDER]
set -u
out=${1:-run/bench}
failed=0
mkdir -p "$out"

# A run that takes longer than this is ended.
limit=90

one () {
  echo "== $*"
  timeout -k 5 $limit python3 bench/run "$@" --out "$out" 2>"$out/last.err" \
    || { failed=$((failed + 1)); tail -n 5 "$out/last.err"; }
}

for site in swan derwent; do
  for scenario in added steady flood dc cold crash partition config; do
    one $site $scenario
  done
  for scenario in steady flood dc; do
    one $site $scenario --policy baseline
  done
done
python3 bench/report "$out"
echo "$failed scenarios did not run to their end"
[ $failed -eq 0 ]
