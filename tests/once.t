#!/bin/sh
# At-most-once execution on a fleet of processes: processes are killed or shut
# down, requests crash their target, connections are cut, agents no longer have
# an answer, all control members are killed, and the data centre is taken out while a
# request waits to run alone.
for test in kill crash poison cut forgotten drain cutoff held; do
  python3 tests/once_$test.py "$1" || exit 1
done
