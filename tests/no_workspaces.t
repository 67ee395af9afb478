# Tests under the undefined-behaviour sanitizer that the shares of no workspace
# are computed without touching a list that does not exist.
${CC:-cc} -fsanitize=undefined -fno-sanitize-recover -g -I. -Ilib \
  $(pkg-config --cflags glib-2.0 libprotobuf-c) -o "$1/no_workspaces" \
  tests/no_workspaces.c lib/share.c "$1/libquetzalgate.a" \
  $(pkg-config --libs glib-2.0 libprotobuf-c) -lm \
  && "$1/no_workspaces"
