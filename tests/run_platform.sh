#!/bin/bash
# Hosts that take their routes and servers from the platform's store. Guards
# against changes that some host does not apply within 2 s, also after an outage
# of the store or of the host that reads it for the others; calls that run on
# another server at a reused address; calls lost by a reload or a stop; and
# failed calls that the logs do not explain.
set -u
PORT_BASE=${PORT_BASE:-26000}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=3 WORK_MS=30

# all_hosts_answer PATH STATUS: whether all live hosts answer with that status.
all_hosts_answer() { hosts_answer "$live_hosts" "$@"; }
metric() { # HOST NAME
	curl -s "127.0.0.1:$((metrics_port + $1))/metrics" |
		sed -n "s/^jackdawworks_$2 //p"
}

first=$(print_route first /first/ safe desk)
start_deployment "$first"
live_hosts="0 1 2"
start_followers $live_hosts

# "serve --check" accepts valid settings and reports every invalid one.
"$BIN/jackdawworks" serve --check "$WORK/entry0.yaml" >"$WORK/out" ||
	fail "valid settings are refused"
sed 's/  relay: .*/  fresh_ms: 10/' "$WORK/entry0.yaml" >"$WORK/bad.yaml"
"$BIN/jackdawworks" serve --check "$WORK/bad.yaml" 2>"$WORK/out"
test $? = 3 || fail "invalid settings are accepted"
grep -q relay "$WORK/out" && grep -q fresh_ms "$WORK/out" ||
	fail "an error in the settings has no message"

# A changed settings file is read once on SIGHUP, and not again by the periodic
# check for changes. The result is checked at the end.
sed -i 's/stop_grace_ms: .*/stop_grace_ms: 2900/' "$WORK/entry2.yaml"
kill -HUP "$pid_entry2"
reloaded=$(date +%s)

# Calls are served end to end.
for i in $live_hosts; do
	case $(call_host "$i" /first/a "call-$i") in
	s?\ 200) ;;
	*) fail "host $i does not serve" ;;
	esac
done
all_hosts_answer /none/ 404 ||
	fail "a path without a route is not answered with 404"
say "served by $HOSTS hosts"

# One host reads the store for the others.
sleep 2
before=$(store_stat reads)
sleep 3
reads=$(($(store_stat reads) - before))
test $reads -le 15 || fail "$reads reads of the store in 3 s"
say "$reads reads of the store in 3 s by $HOSTS hosts"

# Changes reach all hosts, also after a host is killed, which may be the one
# that reads the store for the others.
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
	wait_ready $killed || fail "host $killed is not ready after its restart"
	live_hosts="$live_hosts $killed"
done
say "changes are in force after a host is killed"

# While the store does not answer, the last state stays in force. The next
# version is applied once it answers again.
platform_fault '{"silent":true}'
sleep 2.5
all_hosts_answer /first/a 200 ||
	fail "calls fail while the store does not answer"
platform_fault '{"silent":false}'
put_manifest 8 "$first,$second"
within 2 all_hosts_answer /second/a 200 ||
	fail "version 8 is not in force after the store answers again"
# The store refuses every request with status 429.
platform_fault '{"refuse_status":429}'
sleep 1
all_hosts_answer /first/a 200 ||
	fail "calls fail while the store refuses requests"
platform_fault '{"refuse_status":0}'
# The store loses its history together with the row of a server. A row that
# disappears during an outage may have expired only because its server could not
# renew it. Hosts remove the server if the row is still missing 2 s after the
# store answers again, hence the pause.
sleep 2.5
platform_fault '{"forget":true}'
drop_row servers s2
sleep 2
runs=$(curl -s "127.0.0.1:$((servers_port + 2))/runs" | wc -l)
for n in $(seq 30); do
	call_host 0 /first/a "after-$n" -o /dev/null >"$WORK/out"
done
test "$(curl -s "127.0.0.1:$((servers_port + 2))/runs" | wc -l)" = "$runs" ||
	fail "a server whose row is removed got calls"
say "calls are served through outages of the store"

# A leaving server gets no calls after 2 s and can then be killed. Another
# server is started at its address, and the row of the first one becomes ready
# again: calls that expect the first server must not run on the other one.
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
	*) fail "call $n was not answered by server 0" ;;
	esac
done
test -z "$(curl -s "127.0.0.1:$((servers_port + 1))/runs")" ||
	fail "another server at a reused address ran a call"
say "no call runs on another server at a reused address"

# A reload and a stop under load lose no call.
for n in $(seq 200); do
	call_host 0 /first/a "load-$n" >"$WORK/load.$n" &
	test $n = 50 && kill -HUP "$pid_entry0"
	test $n = 150 && kill -TERM "$pid_entry0"
	test $n = 190 && break
	sleep 0.005
done
wait $(jobs -p | grep -vxF "$(printf '%s\n' $PIDS)") 2>/dev/null
answered=$(cat "$WORK"/load.* | grep -o 's0 200' | wc -l)
test "$answered" = 190 || fail "$answered of 190 calls were answered"
for _ in $(seq 100); do
	kill -0 "$pid_entry0" 2>/dev/null || break
	sleep 0.05
done
kill -0 "$pid_entry0" 2>/dev/null && fail "the host does not exit"
grep -q '"event":"reload"' "$WORK/entry0.log" || fail "no reload in the log"
grep -q '"event":"stop"' "$WORK/entry0.log" || fail "no stop in the log"
say "190 of 190 calls answered around a reload and a stop"

# "explain" finds the log lines of a failed call. Counters and histograms are
# served.
kill -9 "$pid_server0"
call_host 1 /first/a lost-call -o /dev/null >"$WORK/out"
sleep 0.3
# A log collector may put a prefix before every line.
sed 's/^/  12.5 host /' "$WORK/entry1.log" >"$WORK/collected.log"
"$BIN/jackdawworks" explain lost-call "$WORK"/entry2.log "$WORK/collected.log" \
	>"$WORK/explanation" || fail "explain does not find the call"
grep -q '^\*.*fail ' "$WORK/explanation" ||
	fail "explain shows no line with the outcome"
"$BIN/jackdawworks" explain no-such-call "$WORK"/entry1.log 2>"$WORK/out" &&
	fail "explain succeeds for an unknown id"
grep -q 'no line of' "$WORK/out" ||
	fail "explain prints no message for an unknown id"
test "$(metric 1 calls_total)" -gt 0 || fail "calls are not counted"
test "$(metric 1 manifest_changes_total)" -gt 0 ||
	fail "changes of the routes are not counted"
curl -s "127.0.0.1:$((metrics_port + 1))/metrics" |
	grep -q 'call_seconds_bucket{service="desk",result="success",le="0.1"}' ||
	fail "the metrics lack the histogram of call times"
say "a failed call is explained"

# Hosts check the settings file for changes every 10 s.
left=$((reloaded + 11 - $(date +%s)))
test $left -le 0 || sleep $left
test "$(grep -c 'settings read again' "$WORK/entry2.log")" = 1 ||
	fail "the changed settings were not read exactly once"
say "changed settings are read once"
