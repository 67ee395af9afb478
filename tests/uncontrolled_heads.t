# Tests that heads of requests that stop short of their end do not make a process
# exceed its memory, at each listener that libsoup reads.
python3 tests/uncontrolled_heads.py "$1"
