#!/bin/bash
# Guards against every host reading the store when it turns away the host that
# reads for all: the others must agree on another reader, the one that is turned
# away must ask it too, and a change must reach all of them within 2 s.
set -u
PORT_BASE=${PORT_BASE:-26600}
. "$(dirname "$0")/lib_platform.sh"
HOSTS="0 1 2 3 4 5 6 7"
# Readers: two tables each half a second; the rest is for changing over.
MAX_READS=60

host_answers() { # HOST PATH
	test "$(call_host "$1" "$2" "id-$RANDOM$RANDOM" -o /dev/null)" = " 200"
}
all_hosts_answer() { # PATH
	for i in $HOSTS; do host_answers "$i" "$1" || return 1; done
}
store_reads() {
	curl -s "$platform_address/stats" | sed 's/.*"reads": *\([0-9]*\).*/\1/'
}

start_platform || exit 1
start_upstream 0 5
put_server 0 ready || fail "entry of the server"
first=$(print_route first /first/ safe desk)
put_manifest 1 "$first" || fail "manifest"

# Host 0 comes first in rank and reaches the store through a proxy.
real_platform=$platform_address
proxy_address=127.0.0.1:$((PORT_BASE + 1))
echo pass >"$WORK/store.mode"
start_process proxy "$BIN/tool_soak_proxy" "$proxy_address" "$real_platform" \
	"$WORK/store.mode"
processor_share=0.9 platform_address=$proxy_address start_follower 0
for i in ${HOSTS#0 }; do start_follower "$i"; done
for i in $HOSTS; do wait_ready "$i" || fail "host $i is not ready"; done
sleep 2

# The store turns host 0 away.
echo reset >"$WORK/store.mode"
before=$(store_reads)
sleep 3
put_manifest 2 "$first,$(print_route second /second/ safe desk)"
within 2 all_hosts_answer /second/a ||
	fail "version 2 is not in force everywhere"
sleep 1
calls=$(($(store_reads) - before))
test $calls -le $MAX_READS || fail "$calls reads of the store in 4 s"
say "$calls reads in 4 s while the first reader is turned away"

# The store forgets its history meanwhile, so that host 0 cannot be told only
# what changed, and a server that left must not stay with it.
put_server 1 ready other
put_server 0 ready
sleep 1
platform_fault '{"forget":true}'
drop_row servers s1
put_manifest 3 "$first,$(print_route other /other/ safe other),
	$(print_route second /second/ safe desk)"
without_server() {
	for i in $HOSTS; do
		case $(call_host "$i" /other/a "other-$RANDOM" -o /dev/null) in
		*503) ;;
		*) return 1 ;;
		esac
	done
}
within 3 without_server || fail "a server that left is still known"
all_hosts_answer /second/a || fail "version 3 has lost a route"
say "the whole table is passed on after a loss of history"

# Host 0 is served again.
echo pass >"$WORK/store.mode"
sleep 2
put_manifest 4 "$first,$(print_route third /third/ safe desk)"
within 2 all_hosts_answer /third/a ||
	fail "version 4 is not in force everywhere"
say "changes are in force with and without the first reader"
