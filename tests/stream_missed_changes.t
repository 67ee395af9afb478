# Tests the same at a relay that is in step again, or has just started, and has
# missed a version or the services of a route.
sh tests/each_check.sh tests/relay_out_of_step.py "$1" \
  misses-move misses-release starts-after-move starts-beside-new-leader \
  "late-narrower-route late-removed-route"
