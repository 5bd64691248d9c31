#!/bin/bash
# Guards against hosts that never follow the store again when more has changed while
# they were frozen than fits into one answer, and against hosts that depend on
# such an answer of another host.
set -u
PORT_BASE=${PORT_BASE:-29800}
. "$(dirname "$0")/lib_platform.sh"
HOSTS="0 1" SERVERS=1 WORK_MS=5
ROWS=230 # of 60 KB, as the store allows; some 18 MB in its answers
# For the whole table by pages; without them a host never gets to its end.
MAX_READ_S=8

serves() { test "$(call_host "$1" "$2" "c$BASHPID-$RANDOM")" = "s0 200"; }
all_serve() {
	local i
	for i in $HOSTS; do serves "$i" "$1" || return; done
}

first=$(print_route first /first/ safe desk)
start_deployment "$first"
start_followers $HOSTS
sleep 2
# Frozen, they miss all that changes.
kill -STOP "$pid_entry0" "$pid_entry1"
value=$(head -c 61440 /dev/zero | base64 -w0)
for n in $(seq $ROWS); do
	printf '%s' '{"precondition":[],"remove":[],"put":[{"table":"servers","part":"","key":"large'"$n"'","value":"'"$value"'"}]}' >"$WORK/put"
	test "$(store_request rows-tx "@$WORK/put")" = 200 ||
		fail "the store did not take row $n"
done
put_manifest 2 "$first,$(print_route second /second/ safe desk)"
kill -CONT "$pid_entry0" "$pid_entry1"
check "version 2 is not in force everywhere" within 6 all_serve /second/a
start_upstream 1 5
put_server 1 ready other
put_manifest 3 "$first,$(print_route third /third/ safe other)"
third() {
	local i
	for i in $HOSTS; do
		test "$(call_host "$i" /third/a "c$BASHPID-$RANDOM")" = "s1 200" ||
			return
	done
}
check "a server that came later is not used" within $MAX_READ_S third
report_failures
