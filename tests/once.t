#!/bin/sh
# At-most-once execution on a fleet of processes: processes are killed or shut
# down, requests crash their target, connections are cut, agents no longer have
# an answer, and all control members are killed.
for test in kill crash poison cut forgotten drain cutoff; do
  python3 tests/once_$test.py "$1" || exit 1
done
