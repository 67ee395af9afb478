# Tests that a target which says that it is leaving gets no more requests from
# the relays that it told, in touch with control or not.
python3 tests/relay_notice.py "$1" leave
