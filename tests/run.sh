#!/bin/sh
# Runs all tests: qgtest, the fuzzers and tests/*.t. The last line is "N passed,
# N failed"; the exit status is 0 if none failed.
# Checks listed in KNOWN-RED.txt are run and printed but do not fail the run.
# tests/*.t are played in STREAMS streams at once.
set -u
B=$1
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
STREAMS="${STREAMS:-4}"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0
failed=0

record () # NAME EXIT-CODE
{
  if [ "$2" -eq 0 ]; then
    passed=$((passed + 1))
  elif grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null; then
    echo "KNOWN RED: $1"
  else
    failed=$((failed + 1))
    echo "FAILED: $1"
  fi
}

"$B/qgtest" --gtest_brief=1 --gtest_output="xml:$out/gtest.xml" \
  >"$out/gtest.log" 2>&1
gtest=$?
grep -vE '^\[==|^Using configuration|^$|^OK, passed' "$out/gtest.log" | tail -n 200
n=$(grep -c '<testcase ' "$out/gtest.xml" 2>/dev/null)
failures=$(sed -n 's/^\[  FAILED  \] \([A-Za-z0-9_]*\.[A-Za-z0-9_]*\).*/\1/p' \
  "$out/gtest.log" | sort -u)
# With failures the exit status is 1; any other tells of a crash, behind which
# tests were not run.
if [ "$gtest" -gt 1 ] || { [ "$gtest" -ne 0 ] && [ -z "$failures" ]; }; then
  record qgtest 1
fi
passed=$((passed + ${n:-0} - $(echo "$failures" | grep -c .)))
for t in $failures; do
  record "$t" 1
done

for f in "$B"/fuzz_*; do
  [ -x "$f" ] || continue
  name=$(basename "$f")
  mkdir -p "$out/$name"
  "$f" -seed=1 -runs="${FUZZ_RUNS:-20000}" -max_len=4096 -rss_limit_mb=1024 \
    -artifact_prefix="$out/$name/" "$out/$name" tests/regress >"$out/$name.log" 2>&1
  rc=$?
  [ $rc -eq 0 ] || tail -n 30 "$out/$name.log"
  record "$name" $rc
done

# Plays tests that no other stream has taken, with output, seconds and exit code
# of each in a folder of its own.
play () # STREAM TEST...
{
  export TEST_STREAM="$1"
  shift
  for t; do
    own="$out/$(basename "$t")"
    mkdir "$own" 2>/dev/null || continue
    began=$(date +%s)
    sh "$t" "$B" >"$own/log" 2>&1
    rc=$?
    echo "$(($(date +%s) - began))" >"$own/seconds"
    echo "$rc" >"$own/rc"
  done
}

# Tests that need the machine to themselves, each with its reason.
alone=""

shared=
for t in tests/*.t; do
  case " $alone " in *" $t "*) ;; *) shared="$shared $t" ;; esac
done
stream=0
while [ "$stream" -lt "$STREAMS" ]; do
  play "$stream" $shared &
  stream=$((stream + 1))
done
wait
play 0 $alone
for t in tests/*.t; do
  own="$out/$(basename "$t")"
  rc=$(cat "$own/rc")
  [ "$rc" -eq 0 ] || tail -n 40 "$own/log"
  echo "$t: $(cat "$own/seconds") s"
  record "$t" "$rc"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
