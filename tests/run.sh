#!/bin/sh
# Runs every kind of test; ends with "N passed, N failed" and that verdict.
# Checks listed in KNOWN-RED.txt are run and printed but do not fail the run.
set -u
B=$1
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
pass=0
fail=0

note ()
{
  if [ "$2" -eq 0 ]; then
    pass=$((pass + 1))
  elif grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null; then
    echo "KNOWN RED: $1"
  else
    fail=$((fail + 1))
    echo "FAILED: $1"
  fi
}

"$B/qgtest" --gtest_brief=1 --gtest_output="xml:$out/gtest.xml" \
  >"$out/gtest.log" 2>&1
gtest=$?
grep -vE '^\[==|^Using configuration|^$|^OK, passed' "$out/gtest.log" | tail -n 200
n=$(grep -c '<testcase ' "$out/gtest.xml" 2>/dev/null)
red=$(sed -n 's/^\[  FAILED  \] \([A-Za-z0-9_]*\.[A-Za-z0-9_]*\).*/\1/p' \
  "$out/gtest.log" | sort -u)
if [ "$gtest" -ne 0 ] && [ -z "$red" ]; then
  note qgtest 1
fi
pass=$((pass + ${n:-0} - $(echo "$red" | grep -c .)))
for t in $red; do
  note "$t" 1
done

for f in "$B"/fuzz_*; do
  [ -x "$f" ] || continue
  name=$(basename "$f")
  mkdir -p "$out/$name"
  "$f" -seed=1 -runs="${FUZZ_RUNS:-20000}" -max_len=4096 -rss_limit_mb=1024 \
    -artifact_prefix="$out/$name/" "$out/$name" tests/regress >"$out/$name.log" 2>&1
  rc=$?
  [ $rc -eq 0 ] || tail -n 30 "$out/$name.log"
  note "$name" $rc
done

for t in tests/*.t; do
  [ -f "$t" ] || continue
  sh "$t" "$B" >"$out/t.log" 2>&1
  rc=$?
  [ $rc -eq 0 ] || tail -n 40 "$out/t.log"
  note "$t" $rc
done

echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ]
