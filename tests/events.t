# docs/EVENTS.md is the catalogue that the daemon prints.
"$1"/quetzalgated --events | diff - docs/EVENTS.md
