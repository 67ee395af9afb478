# Tests that control members do not crash when they are stopped during changes.
python3 tests/relay_stops.py "$1"
