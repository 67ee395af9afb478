# Tests that no number goes back when processes start again with another time of day.
${CC:-cc} -shared -fPIC -o "$1/step_clock.so" tests/step_clock.c -ldl \
  && python3 tests/relay_clock_steps.py "$1"
