#!/bin/bash
# Guards against requests that reach a server EVACUATION_MS after its zone was
# evacuated: by the host that reads the store, one that reads through it, one that
# cannot reach the store, and one that starts meanwhile; when the row gets another
# value; and when the store comes back from a copy without the row. Also against an
# evacuation that ended and comes back with such a copy, calls that wait although
# all zones are evacuated, and servers that stay unused afterwards.
set -u
PORT_BASE=${PORT_BASE:-26200}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 EVACUATION_MS=5000

# runs SERVER FROM-MS: how many calls the server ran since FROM-MS.
runs() {
	awk -v from="$2" '$3 >= from { n++ } END { print n + 0 }' \
		"$WORK/server$1.out"
}
# gets_nothing WHAT: server 0 gets nothing, EVACUATION_MS after now and until
# 3 s later.
gets_nothing() {
	local from count
	from=$(($(now_ms) + EVACUATION_MS))
	sleep $((EVACUATION_MS / 1000 + 3))
	count=$(runs 0 "$from")
	check "server 0 got $count calls ($1)" test "$count" = 0
}
has_runs() { test "$(runs "$1" "$2")" -ge 10; }
# mark_logs: used_by_all tells whether server 0 got calls of all hosts since then.
mark_logs() {
	local i
	for i in $(all_hosts); do
		wc -l <"$WORK/entry$i.log" >"$WORK/logged$i"
	done
}
used_by_all() {
	local i
	for i in $(all_hosts); do
		tail -n +"$(cat "$WORK/logged$i")" "$WORK/entry$i.log" |
			grep -q '"event":"send".*"server":"s0"' || return
	done
}
evacuations() { cat "$WORK"/entry?.log | grep -c 'zone gs-a is evacuated'; }
restore_store() {
	platform_fault '{"down":true}'
	sleep 0.7
	platform_fault '{"down":false,"restore":true}'
}

start_platform || exit 1
start_upstream 0 20
start_upstream 1 20
put_server 0 ready || fail "the store did not take the row of server 0"
server_zone=gs-b put_server 1 ready ||
	fail "the store did not take the row of server 1"
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
proxy_address=127.0.0.1:$((PORT_BASE + 1))
echo pass >"$WORK/store.mode"
start_process proxy "$BIN/tool_soak_proxy" "$proxy_address" \
	"$platform_address" "$WORK/store.mode"
wait_http "$proxy_address" /stats || fail "the proxy does not answer"
processor_share=0.9 start_follower 0
start_follower 1
platform_address=$proxy_address start_follower 2
for i in $(all_hosts); do wait_ready "$i" || fail "host $i is not ready"; done
sleep 1
echo reset >"$WORK/store.mode"
for i in 0 2; do
	call_desk_until_done $i &
	callers="${callers:-} $!"
done
check "server 0 gets no calls before" within 3 has_runs 0 0

put_row op evacuate/gs-a '{}' || fail "the store did not take the row"
put_row op evacuate/nowhere '{}' || fail "the store did not take the row"
gets_nothing "evacuated"
check "server 1 gets no calls" has_runs 1 "$(($(now_ms) - 3000))"
check "$(evacuations) of $HOSTS hosts know of the evacuation" \
	test "$(evacuations)" = $HOSTS

# The value says nothing. A host that starts reads the row through another one.
put_row op evacuate/gs-a 'not {"an":"object"'
platform_fault '{"copy":true}'
kill -9 "$pid_entry1"
first_start=true start_followers 1
call_desk_until_done 1 &
callers="$callers $!"
gets_nothing "another value, a host that has started"

# The copy that comes back lacks the row, which is written again.
drop_row op evacuate/gs-a
within 4 has_runs 0 "$(now_ms)" || fail "server 0 is not used again"
platform_fault '{"copy":true}'
put_row op evacuate/gs-a '{}'
sleep 3
before=$(now_ms)
restore_store
put_row op evacuate/gs-a '{}'
sleep 3
count=$(runs 0 "$before")
check "server 0 got $count calls when a copy without the row came back" \
	test "$count" = 0

# All zones.
put_row op evacuate/gs-b '{}'
sleep 3
for i in $(all_hosts); do
	set -- $(call_host "$i" /desk/a "all-$i" -o /dev/null \
		-w '%{http_code} %{time_total}')
	check "host $i answered $1 after $2 s without any server" \
		test "$1" = 503 -a "${2%.*}${2#*.}" -lt 0200000
done
drop_row op evacuate/gs-b
sleep 2
for i in $(all_hosts); do wc -l <"$WORK/calls$i" >"$WORK/mark$i"; done

# The evacuation ends, and a copy with the row comes back.
platform_fault '{"copy":true}'
mark_logs
drop_row op evacuate/gs-a
check "server 0 is not used again by all hosts" within 4 used_by_all
known=$(evacuations)
restore_store
drop_row op evacuate/gs-a
sleep 3
check "an evacuation came back with a copy of the store" \
	test "$(evacuations)" = "$known"
check "server 0 gets no calls after that" has_runs 0 $(($(now_ms) - 2000))
touch "$WORK/done"
wait $callers 2>/dev/null
for i in $(all_hosts); do
	failed=$(tail -n +$(($(cat "$WORK/mark$i") + 1)) "$WORK/calls$i" |
		grep -cv '^200')
	check "$failed calls of host $i failed" test "$failed" = 0
done
test $failures = 0 || grep -h 'evacuation' "$WORK"/entry?.log | tail -30
report_failures
