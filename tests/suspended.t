# Tests that a VM that was suspended does not act on leases that ended meanwhile.
${CC:-cc} -shared -fPIC -o "$1/suspend_clock.so" tests/suspend_clock.c -ldl \
  && python3 tests/relay_suspended.py "$1"
