# The manual pages are clean, and quetzalgate(1) names every command and option.
rc=0
for page in man/*; do
  mandoc -T lint -W warning "$page" || rc=1
done
for command in $("$1"/quetzalgate --help | sed -n 's/^  \([a-z]*\) .*/\1/p'); do
  grep -q "^.Cm $command\|^.It Cm $command" man/quetzalgate.1 \
    || { echo "no command $command"; rc=1; }
  for option in $("$1"/quetzalgate "$command" --help \
    | sed -n 's/^  --\([a-z-]*\) .*/\1/p'); do
    grep -q -- "Fl -$option" man/quetzalgate.1 \
      || { echo "no option --$option"; rc=1; }
  done
done
exit $rc
