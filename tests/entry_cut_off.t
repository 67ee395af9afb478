# Tests that an entry that is cut off from control gets no work done that a change forbade.
python3 tests/entry_cut_off.py "$1"
