# Targets: all, release, proof, test, demo, check, soak, proofs, bench, browser,
# deploy, format, format-check, lint, gen, clean. "make deps" installs the
# Debian packages in PACKAGES.

PACKAGES = build-essential pkg-config clang-format clang-tidy \
	libuv1-dev libh2o-dev libglib2.0-dev libyaml-dev \
	libjansson-dev libssl-dev libtirpc-dev rpcsvc-proto check \
	curl openssl

CC ?= cc
LIBS = libuv libh2o glib-2.0 yaml-0.1 jansson openssl libtirpc
WARN = -Wall -Wextra -Wstrict-prototypes -Wmissing-prototypes -Wvla \
	-Wno-unused-parameter
# -fno-strict-aliasing because pointers to socket addresses are cast between
# types.
BASE_CFLAGS = -std=gnu11 -D_GNU_SOURCE -fno-strict-aliasing $(WARN) -I. -Igen -Ihttp/khash \
	$(shell pkg-config --cflags $(LIBS) | sed 's/-I/-isystem /g')
LDLIBS = $(shell pkg-config --libs $(LIBS)) -lm
CHECK_LIBS = $(shell pkg-config --libs check)

# build/release is the product. build/test has the sanitizers and the switches
# that turn single mechanisms off (base/mechanism.h). build/proof has the switches
# but no sanitizers.
VARIANT ?= release
CFLAGS_release = -O2 -g
CFLAGS_proof = -O2 -g -DME_SWITCHES
CFLAGS_test = -O1 -g -DME_SWITCHES -fno-omit-frame-pointer \
	-fsanitize=address,undefined -fno-sanitize-recover=all
LDFLAGS_test = -fsanitize=address,undefined
OUT = build/$(VARIANT)
ALL_CFLAGS = $(BASE_CFLAGS) $(CFLAGS_$(VARIANT)) $(CFLAGS)

# A folder for each subject; docs/design.md says what each is for.
DIRS = base core http document control orders gateway peer admin platform cli
SRCS = $(wildcard $(DIRS:%=%/*.c))
GEN_SRCS = $(wildcard gen/*.c)
LIB_OBJS = $(SRCS:%.c=$(OUT)/%.o) $(GEN_SRCS:%.c=$(OUT)/%.o)
# Programs in tests/: tool_*.c are test doubles, the load tool and other helpers
# of the scripts; test_*.c are unit tests.
TOOL_SRCS = $(wildcard tests/tool_*.c)
TOOLS = $(TOOL_SRCS:tests/%.c=$(OUT)/%)
TEST_SRCS = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRCS:tests/%.c=$(OUT)/%)
FORMATTED = $(wildcard *.[ch] $(DIRS:%=%/*.[ch]) http/khash/*.h tests/*.[ch])

all: build/jackdawworks

build/jackdawworks: release

# build/jackdawworks is a symbolic link to the program of the release build.
release: link
link:
	@mkdir -p build
	@ln -sfn release/jackdawworks build/jackdawworks

release proof test:
	+@$(MAKE) --no-print-directory VARIANT=$@ variant

variant: $(OUT)/jackdawworks $(TOOLS) $(TESTS)

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $@"
	@$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

$(OUT)/gen/%.o: gen/%.c
	@mkdir -p $(@D)
	@echo "  CC $@"
	@$(CC) $(ALL_CFLAGS) -w -MMD -MP -c -o $@ $<

$(OUT)/libjackdawworks.a: $(LIB_OBJS)
	@rm -f $@
	@ar rcs $@ $^

$(OUT)/jackdawworks: $(OUT)/jackdawworks.o $(OUT)/libjackdawworks.a
	@$(CC) $(LDFLAGS_$(VARIANT)) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/tool_%: $(OUT)/tests/tool_%.o $(OUT)/libjackdawworks.a
	@$(CC) $(LDFLAGS_$(VARIANT)) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(OUT)/test_%: $(OUT)/tests/test_%.o $(OUT)/libjackdawworks.a
	@$(CC) $(LDFLAGS_$(VARIANT)) $(LDFLAGS) -o $@ $^ $(CHECK_LIBS) $(LDLIBS)

.PRECIOUS: $(OUT)/%.o $(OUT)/tests/%.o

deps:
	@missing=; for p in $(PACKAGES); do \
		dpkg -s $$p 2>/dev/null | grep -q '^Status: install ok' || \
		missing="$$missing $$p"; done; \
	if test -n "$$missing"; then \
		apt-get update && \
		DEBIAN_FRONTEND=noninteractive apt-get install -y $$missing; fi

demo: release
	tests/demo.sh build/release

check: test
	tests/check.sh build/test

# The soaks of .ci/run. The first one that fails ends them.
soak: release
	tests/soak.sh build/release 7 10
	tests/soak.sh build/release 2003 15
	tests/soak.sh build/release 3019 20

proofs: proof
	tests/proofs.sh build/proof

bench: release
	tests/bench.sh build/release

# Tests the console in Chromium, which is installed if it is missing.
browser: release
	@dpkg -s chromium chromium-driver >/dev/null 2>&1 || \
		apt-get install -y chromium chromium-driver
	tests/browser.sh build/release

format:
	clang-format -i $(FORMATTED)

format-check:
	clang-format --dry-run --Werror $(FORMATTED)

lint:
	@mkdir -p build
	@printf '%s\n' $(wildcard *.c $(DIRS:%=%/*.c) tests/*.c) | \
		xargs -P 8 -I{} clang-tidy --quiet {} -- $(BASE_CFLAGS) \
		-DME_SWITCHES 2>build/lint.err

gen:
	@mkdir -p gen
	rm -f gen/peer_rpc.h gen/peer_rpc_xdr.c
	cd peer && rpcgen -h -o ../gen/peer_rpc.h peer_rpc.x
	cd peer && rpcgen -c -o ../gen/peer_rpc_xdr.c peer_rpc.x

clean:
	rm -rf build

-include $(wildcard $(OUT)/*.d $(OUT)/*/*.d)

.PHONY: all link release proof test variant deps demo check soak proofs bench browser \
	format format-check lint gen clean

# Builds only the program and installs it in target/, where the users' platform
# expects it.
deploy:
	+@$(MAKE) --no-print-directory VARIANT=release build/release/jackdawworks
	@mkdir -p target
	@install -m 755 build/release/jackdawworks target/jackdawworks

.PHONY: deploy
