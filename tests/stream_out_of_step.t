# Tests that streams which callers take up at a relay that is out of step with the
# fleet do not hold events of two versions of the targets' software, or of two
# services.
sh tests/each_check.sh tests/relay_out_of_step.py "$1" \
  "release-cut-off release-cut-off-long" \
  "release-cut-from-control release-cut-from-control-long" \
  "release-hears-no-control release-hears-nothing release-stands-still" \
  "move-cut-off move-cut-off-long" \
  "move-cut-from-control split-cut-off split-cut-off-long" \
  "split-cut-from-control move-stands-still" \
  "misses-equal-requests equal-requests"
