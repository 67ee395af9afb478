# Tests that a relay which gets no processor time for up to 1.2 s, again and again,
# breaks no whole answer off.
sh tests/each_check.sh tests/relay_starved.py "$1" "--seed 2 --seconds 15" \
  "--seed 4 --seconds 15"
