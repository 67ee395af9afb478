# Tests that a request whose type forbids repeats runs once, whatever options its route
# has. Where it had stream_resume, it ran again when its answer was lost.
python3 tests/relay_run_once.py "$1"
