# Tests that control members whose disks refused writes serve again without a
# restart, and acknowledge nothing meanwhile.
${CC:-cc} -shared -fPIC -o "$1/failing_disk.so" tests/failing_disk.c -ldl \
  && python3 tests/relay_disks.py "$1"
