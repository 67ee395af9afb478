# Tests that requests are sent again after a loss by entries whose time of day stepped back.
${CC:-cc} -shared -fPIC -o "$1/step_clock.so" tests/step_clock.c -ldl \
  && python3 tests/once_clock_steps.py "$1" check_entries_lose_connections
