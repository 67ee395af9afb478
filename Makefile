# Targets for people: demo, check, bench, soak, lint, format, install-deps, clean.
# Every .c file of a folder joins that folder's program; see docs/ARCHITECTURE.md.

CC       ?= cc
CXX      ?= c++
B        ?= build
SAN      ?=
PKGS     := glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-glib-1.0 libprotobuf-c
PKG_C    := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_L    := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
WARN     := -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
            -Wno-unused-parameter -Wno-missing-field-initializers
CFLAGS   ?= -O2 -g
CXXFLAGS ?= -O1 -g
INC      := -I. -Ilib
ALL_C    := -std=gnu11 $(CFLAGS) $(WARN) $(INC) $(PKG_C) $(SAN)
ALL_CXX  := -std=gnu++17 $(CXXFLAGS) -Wall $(INC) $(PKG_C) $(SAN)

LIB_O    := $(patsubst %.c,$(B)/%.o,$(wildcard lib/*.c proto/*.pb-c.c))
DAEMON_O := $(patsubst %.c,$(B)/%.o,$(wildcard daemon/*.c platform/*.c))
SHELL_O  := $(filter-out $(B)/daemon/main.o,$(DAEMON_O))
CLI_O    := $(patsubst %.c,$(B)/%.o,$(wildcard cli/*.c))
TEST_O   := $(patsubst %.cc,$(B)/%.o,$(wildcard tests/*.cc))
BENCH    := $(patsubst bench/%.c,$(B)/%,$(filter-out bench/engine.c, \
            $(wildcard bench/*.c)))
FUZZ     := $(patsubst tests/%.c,$(B)/%,$(wildcard tests/fuzz_*.c))
SOURCES  := $(wildcard lib/*.[ch] daemon/*.[ch] platform/*.[ch] cli/*.[ch] \
            bench/*.[ch] tests/*.c tests/*.cc tests/*.h)
DEBS     := build-essential pkg-config clang clang-format clang-tidy cppcheck \
            libglib2.0-dev libsoup-3.0-dev libprotobuf-c-dev protobuf-c-compiler \
            libjson-glib-dev libhttp-parser-dev libgtest-dev librapidcheck-dev libclang-rt-14-dev \
            glib-networking mandoc python3 curl gnuplot-nox

.PHONY: events all demo check bench soak lint format format-check tidy cppcheck proto \
        install-deps deps clean

all: $(B)/quetzalgated $(B)/quetzalgate $(BENCH)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"
	@$(CC) $(ALL_C) -MMD -MP -c $< -o $@

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"
	@$(CXX) $(ALL_CXX) -MMD -MP -c $< -o $@

$(B)/libquetzalgate.a: $(LIB_O)
	@rm -f $@
	@ar rcs $@ $^

$(B)/quetzalgated: $(DAEMON_O) $(B)/libquetzalgate.a
	@$(CC) $(SAN) -o $@ $(DAEMON_O) $(B)/libquetzalgate.a $(PKG_L) -lhttp_parser -lm

# The tool reads manifests as control does.
CLI_O    += $(B)/platform/manifest.o

$(B)/quetzalgate: $(CLI_O) $(B)/libquetzalgate.a
	@$(CC) $(SAN) -o $@ $(CLI_O) $(B)/libquetzalgate.a $(PKG_L) -lhttp_parser -lm

$(BENCH): $(B)/%: $(B)/bench/%.o $(B)/libquetzalgate.a
	@$(CC) $(SAN) -o $@ $(filter %.o,$^) $(B)/libquetzalgate.a $(PKG_L) -lhttp_parser -lm

$(B)/standin: $(B)/bench/engine.o
$(B)/slope_control $(B)/slope_manifest: $(SHELL_O)

$(B)/qgtest: $(TEST_O) $(SHELL_O) $(B)/libquetzalgate.a
	@$(CXX) $(SAN) -o $@ $(TEST_O) $(SHELL_O) $(B)/libquetzalgate.a $(PKG_L) \
	  -lhttp_parser -lrapidcheck -lgtest -lgtest_main -lpthread -lm

# Fuzz targets are built whole with the sanitizers, apart from the other objects.
$(B)/fuzz_%: tests/fuzz_%.c $(wildcard lib/*.c lib/*.h proto/*.c proto/*.h)
	@mkdir -p $(@D)
	@echo "  FUZZ $<"
	@clang -std=gnu11 -O1 -g -fsanitize=fuzzer,address,undefined \
	  -fno-sanitize-recover=undefined $(INC) $(PKG_C) -o $@ $< \
	  $(wildcard lib/*.c proto/*.pb-c.c) $(PKG_L) -lhttp_parser -lm

proto:
	protoc-c --c_out=. proto/*.proto

# docs/EVENTS.md is the catalogue that the daemon prints; make check compares.
events: $(B)/quetzalgated
	$(B)/quetzalgated --events >docs/EVENTS.md

install-deps:
	apt-get update -q
	DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
	  --no-install-recommends $(DEBS)

# Installs only when something is missing, so that both commands do all set-up.
deps:
	@pkg-config --exists $(PKGS) && test -f /usr/include/rapidcheck.h \
	  && (for t in clang clang-format clang-tidy cppcheck python3 mandoc curl \
	    gnuplot; do command -v $$t >/dev/null || exit 1; done) \
	  || $(MAKE) install-deps

# PORT_OFFSET is added to the ports of the example settings.
PORT_OFFSET ?= 0
demo: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@sh bench/demo.sh $(B) $(PORT_OFFSET)

check: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all $(B)/qgtest $(FUZZ)
	@sh tests/run.sh $(B)

bench: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@sh bench/all.sh

# Faults on a fleet of processes, from fresh seeds; SOAKS=N runs.
SOAKS ?= 3
soak: deps
	@$(MAKE) --no-print-directory -j$$(nproc) $(B)/quetzalgated
	@for i in $$(seq $(SOAKS)); do python3 tests/soak.py $(B) || exit 1; done

lint: deps
	@$(MAKE) --no-print-directory -j$$(nproc) format-check tidy cppcheck

format:
	clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run -Werror $(SOURCES)

TIDY := $(patsubst %.c,$(B)/tidy/%.ok,$(wildcard lib/*.c daemon/*.c \
          platform/*.c cli/*.c))
tidy: $(TIDY)

$(B)/tidy/%.ok: %.c .clang-tidy $(wildcard lib/*.h daemon/*.h \
          platform/*.h)
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 $(INC) $(PKG_C) 2>/dev/null
	@touch $@

cppcheck:
	@cppcheck --quiet --error-exitcode=1 --inline-suppr \
	  --enable=warning,portability --library=gtk \
	  --suppress=missingIncludeSystem --suppress=unknownMacro \
	  --suppress=normalCheckLevelMaxBranches -I. -Ilib -j 4 lib daemon \
	  platform cli

clean:
	rm -rf $(B)

-include $(wildcard $(B)/*/*.d)
