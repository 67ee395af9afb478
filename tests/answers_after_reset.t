# Tests that answers are not lost, nor late, when connections between entries and agents
# are reset at one end or go silent, and that nothing starts late after dc out when
# connections to control do.
sh tests/each_check.sh tests/entry_silent.py "$1" \
  "check_bookings_beside_reset_at_the_agent check_reads_beside_reset_at_the_agent
   check_bookings_beside_silence check_reads_beside_silence" \
  "check_bookings_beside_silence_of_entries check_bookings_beside_silence_of_agents
   check_reads_beside_silence_of_entries check_reads_beside_silence_of_agents" \
  "check_service_after_silence_everywhere check_dc_out_beside_silence_of_control
   check_dc_out_beside_silence_to_control check_dc_out_beside_silence_everywhere"
