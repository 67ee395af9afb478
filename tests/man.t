# The manual pages pass mandoc -T lint, and quetzalgate(1) documents every
# command and option.
rc=0
for page in man/*; do
  mandoc -T lint -W warning "$page" || rc=1
done
for command in $("$1"/quetzalgate --help | sed -n 's/^  \([a-z]*\) .*/\1/p'); do
  grep -q "^.Cm $command\|^.It Cm $command" man/quetzalgate.1 \
    || { echo "man/quetzalgate.1: command $command is missing"; rc=1; }
  for option in $("$1"/quetzalgate "$command" --help \
    | sed -n 's/^  --\([a-z-]*\) .*/\1/p'); do
    grep -q -- "Fl -$option" man/quetzalgate.1 \
      || { echo "man/quetzalgate.1: option --$option is missing"; rc=1; }
  done
done
exit $rc
