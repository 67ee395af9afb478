# Tests that a stream goes on only at the version of the targets' software that
# began it.
python3 tests/relay_versions.py "$1" answer &&
  python3 tests/relay_versions.py "$1" tries
