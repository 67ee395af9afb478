# Runs checks of a test program at the same time, each on a fleet of its own. CHECK is
# a list of arguments in one word.
#
#   sh tests/each_check.sh PROGRAM BUILD CHECK...
program=$1
build=$2
shift 2
pids=
for check; do
  python3 "$program" "$build" $check &
  pids="$pids $!"
done
status=0
for pid in $pids; do
  wait "$pid" || status=1
done
exit $status
