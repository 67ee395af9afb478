# Tests that a key that was answered does not run again when control's clocks step.
${CC:-cc} -shared -fPIC -o "$1/step_clock.so" tests/step_clock.c -ldl \
  && python3 tests/once_clock_steps.py "$1" check_keys_are_kept
