#!/bin/bash
# Guards against every host reading the store when the store refuses the host
# that reads it for all. The other hosts must agree on another reader, the
# refused host must poll that reader too, and a change must reach all of them
# within 2 s.
set -u
PORT_BASE=${PORT_BASE:-26600}
. "$(dirname "$0")/lib_platform.sh"
HOSTS="0 1 2 3 4 5 6 7" SERVERS=1 WORK_MS=5
# Reads of the store within 4 s. A reader reads two tables every half second;
# the rest allows for the change of the reader.
MAX_READS=60


first=$(print_route first /first/ safe desk)
start_deployment "$first"

# Host 0 comes first in rank because of its larger processor share. It reaches
# the store through a proxy.
real_platform=$platform_address
proxy_address=127.0.0.1:$((PORT_BASE + 1))
echo pass >"$WORK/store.mode"
start_process proxy "$BIN/tool_soak_proxy" "$proxy_address" "$real_platform" \
	"$WORK/store.mode"
processor_share=0.9 platform_address=$proxy_address start_follower 0
for i in ${HOSTS#0 }; do start_follower "$i"; done
for i in $HOSTS; do wait_ready "$i" || fail "host $i is not ready"; done
sleep 2

# The proxy resets the connections of host 0 to the store.
echo reset >"$WORK/store.mode"
before=$(store_stat reads)
sleep 3
put_manifest 2 "$first,$(print_route second /second/ safe desk)"
within 2 hosts_answer "$HOSTS" /second/a ||
	fail "version 2 is not in force everywhere"
sleep 1
reads=$(($(store_stat reads) - before))
test $reads -le $MAX_READS || fail "$reads reads of the store in 4 s"
say "$reads reads in 4 s while the first reader cannot reach the store"

# The store loses its history meanwhile, so host 0 has to get the whole table
# from another host instead of the changes only. It must drop a server whose row
# is gone.
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
within 3 without_server || fail "a server whose row is removed is still in use"
hosts_answer "$HOSTS" /second/a || fail "a route of version 3 is missing"
say "the whole table reaches every host after the store lost its history"

# Host 0 reaches the store again.
echo pass >"$WORK/store.mode"
sleep 2
put_manifest 4 "$first,$(print_route third /third/ safe desk)"
within 2 hosts_answer "$HOSTS" /third/a ||
	fail "version 4 is not in force everywhere"
say "changes are in force with and without the first reader"
