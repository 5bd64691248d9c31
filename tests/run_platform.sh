#!/bin/bash
# Hosts that follow the routes and servers in the platform's store: what changes
# there is applied within 2 s by all of them, whatever happens to the store or to
# the host that reads it for the others; a reused address runs no stranger's
# call; a stop and a reload lose no call; a failed call can be explained.
set -u
PORT_BASE=${PORT_BASE:-26000}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3

host_answers() { # HOST PATH WANTED-STATUS
	test "$(call_host "$1" "$2" "id-$RANDOM$RANDOM" -o /dev/null)" = " $3"
}
all_hosts_answer() { # PATH WANTED-STATUS
	for i in $live_hosts; do host_answers "$i" "$1" "$2" || return 1; done
}
metric() { # HOST NAME
	curl -s "127.0.0.1:$((operators_port + 20 + $1))/metrics" |
		sed -n "s/^jackdawworks_$2 //p"
}
store_reads() {
	curl -s "$platform_address/stats" | sed 's/.*"reads": *\([0-9]*\).*/\1/'
}

start_platform || exit 1
for i in 0 1 2; do
	start_upstream $i 30
	put_server $i ready || fail "entry of server $i"
done
first=$(print_route first /first/ safe desk)
put_manifest 1 "$first" || fail "manifest"
live_hosts="0 1 2"
for i in $live_hosts; do start_follower "$i"; done
for i in $live_hosts; do wait_ready "$i" || fail "host $i is not ready"; done

# Settings are checked before anything runs.
"$BIN/jackdawworks" serve --check "$WORK/entry0.yaml" >"$WORK/out" ||
	fail "good settings are refused"
sed 's/  relay: .*/  fresh_ms: 10/' "$WORK/entry0.yaml" >"$WORK/bad.yaml"
"$BIN/jackdawworks" serve --check "$WORK/bad.yaml" 2>"$WORK/out"
test $? = 3 || fail "bad settings are taken"
grep -q relay "$WORK/out" && grep -q fresh_ms "$WORK/out" ||
	fail "an error in the settings has no message"

# A changed file is taken once, not by the signal and again by the look at it.
sed -i 's/stop_grace_ms: .*/stop_grace_ms: 2900/' "$WORK/entry2.yaml"
kill -HUP "$pid_entry2"
reloaded=$(date +%s)

# The whole path.
for i in $live_hosts; do
	case $(call_host "$i" /first/a "call-$i") in
	s?\ 200) ;;
	*) fail "host $i does not serve" ;;
	esac
done
all_hosts_answer /none/ 404 || fail "a route that does not exist"
say "served by $HOSTS hosts"

# One host reads the store for the others.
sleep 2
before=$(store_reads)
sleep 3
calls=$(($(store_reads) - before))
test $calls -le 15 || fail "$calls reads in 3 s"
say "$calls reads in 3 s by $HOSTS hosts"

# A change, also when the reader is gone: whoever is killed, the rest follow.
second=$(print_route second /second/ safe desk)
put_manifest 2 "$first,$second"
within 2 all_hosts_answer /second/a 200 || fail "version 2 is not in force"
version=3
for killed in 0 1; do
	kill -9 "$(eval "echo \$pid_entry$killed")"
	live_hosts=$(printf '%s' "$live_hosts" | tr -d "$killed")
	put_manifest $version "$first,$(print_route r$version /r$version/ safe desk)"
	within 2 all_hosts_answer /r$version/a 200 ||
		fail "version $version is not in force without host $killed"
	version=$((version + 1))
	start_follower $killed
	wait_ready $killed || fail "host $killed does not come back"
	live_hosts="$live_hosts $killed"
done
say "changes are in force without the reader"

# A silent store leaves everything as it was; after it the next version counts.
platform_fault '{"silent":true}'
sleep 2.5
all_hosts_answer /first/a 200 || fail "no service while the store is silent"
platform_fault '{"silent":false}'
put_manifest 8 "$first,$second"
within 2 all_hosts_answer /second/a 200 || fail "not in force after the silence"
# The store turns everybody away.
platform_fault '{"refuse_status":429}'
sleep 1
all_hosts_answer /first/a 200 || fail "no service while the store refuses"
platform_fault '{"refuse_status":0}'
# Its history is lost together with the entry of a server. Entries that are
# missing within 2 s of an outage may only have lapsed and count later.
sleep 2.5
platform_fault '{"forget":true}'
drop_row servers s2
sleep 2
runs=$(curl -s "127.0.0.1:$((servers_port + 2))/runs" | wc -l)
for n in $(seq 30); do
	call_host 0 /first/a "after-$n" -o /dev/null >"$WORK/out"
done
test "$(curl -s "127.0.0.1:$((servers_port + 2))/runs" | wc -l)" = "$runs" ||
	fail "a server that left got calls"
say "store outages are survived"

# A leaving server gets nothing within 2 s; a stranger at its address neither.
put_server 1 draining
sleep 2
kill -9 "$pid_server1"
start_process server1b "$BIN/tool_upstream" \
	"127.0.0.1:$((servers_port + 1))" other 30
wait_http "127.0.0.1:$((servers_port + 1))" /health
put_server 1 ready
for n in $(seq 40); do
	case $(call_host 0 /first/a "reuse-$n") in
	s0\ 200) ;;
	*) fail "call $n went elsewhere or failed" ;;
	esac
done
test -z "$(curl -s "127.0.0.1:$((servers_port + 1))/runs")" ||
	fail "a stranger ran a call"
say "a reused address runs nothing"

# A reload and a stop under load lose no call.
for n in $(seq 200); do
	call_host 0 /first/a "load-$n" >"$WORK/load.$n" &
	test $n = 50 && kill -HUP "$pid_entry0"
	test $n = 150 && kill -TERM "$pid_entry0"
	test $n = 190 && break
	sleep 0.005
done
wait $(jobs -p | grep -vxF "$(printf '%s\n' $PIDS)") 2>/dev/null
good=$(cat "$WORK"/load.* | grep -o 's0 200' | wc -l)
test "$good" = 190 || fail "$good of 190 calls were answered"
for _ in $(seq 100); do
	kill -0 "$pid_entry0" 2>/dev/null || break
	sleep 0.05
done
kill -0 "$pid_entry0" 2>/dev/null && fail "the host does not end"
grep -q '"event":"reload"' "$WORK/entry0.log" || fail "no reload"
grep -q '"event":"stop"' "$WORK/entry0.log" || fail "no stop in the log"
say "190 of 190 calls answered around a reload and a stop"

# A call that failed can be explained; counters and histograms are served.
kill -9 "$pid_server0"
call_host 1 /first/a lost-call -o /dev/null >"$WORK/out"
sleep 0.3
# A log collector may put a prefix before every line.
sed 's/^/  12.5 host /' "$WORK/entry1.log" >"$WORK/collected.log"
"$BIN/jackdawworks" explain lost-call "$WORK"/entry2.log "$WORK/collected.log" \
	>"$WORK/explanation" || fail "the call is not found"
grep -q '^\*.*fail ' "$WORK/explanation" || fail "no line says how it ended"
"$BIN/jackdawworks" explain no-such-call "$WORK"/entry1.log 2>"$WORK/out" &&
	fail "a call that does not exist is explained"
grep -q 'no line of' "$WORK/out" || fail "no message for an unknown id"
test "$(metric 1 calls_total)" -gt 0 || fail "no counter"
test "$(metric 1 manifest_changes_total)" -gt 0 ||
	fail "changes of the routes are not counted"
curl -s "127.0.0.1:$((operators_port + 21))/metrics" |
	grep -q 'call_seconds_bucket{service="desk",result="success",le="0.1"}' ||
	fail "no histogram"
say "a failed call is explained"

# The file is looked at every 10 s.
left=$((reloaded + 11 - $(date +%s)))
test $left -le 0 || sleep $left
test "$(grep -c 'settings read again' "$WORK/entry2.log")" = 1 ||
	fail "the settings were not read once"
say "changed settings are read once"
