# docs/EVENTS.md equals the list of events that the daemon prints.
"$1"/quetzalgated --events | diff - docs/EVENTS.md
