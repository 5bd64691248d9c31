#!/bin/bash
# A request under which every server that runs it crashes; its callers send it
# again under new ids and through other hosts. Guards against hosts that hand it
# from server to server, that do not tell each other, or that forget it when they
# start anew, and against sound requests that are refused for it: those that ran
# beside it, or whose servers crash for another reason.
set -u
PORT_BASE=${PORT_BASE:-26700}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=4 SERVERS=14 WORK_MS=30
# A server for each crash that is needed, and one for a try that was on its way.
MAX_CRASHES=4

# send HOST PATH ID [CURL-OPTIONS]: prints the status of the answer.
send() {
	call_host "$1" "$2" "$3" -o /dev/null -w '%{http_code}\n' "${@:4}"
}
# run_caller HOST PATH: sends calls to the host, one after the other, each to a
# path of its own if PATH ends with "/".
run_caller() {
	local n=0 path=$2
	while test ! -e "$WORK/done"; do
		n=$((n + 1))
		case $2 in */) path=$2$n ;; esac
		send "$1" "$path" "c$BASHPID-$n" >>"$WORK/calls$1"
	done 2>/dev/null
}
# is_refused HOST PATH ID [CURL-OPTIONS]: the host says for how long it will not
# run the request.
is_refused() {
	call_host "$1" "$2" "$3" -o /dev/null -D "$WORK/refusal" "${@:4}" \
		>/dev/null
	grep -q '^HTTP/1.1 503' "$WORK/refusal" || return
	tr -d '\r' <"$WORK/refusal" | awk 'tolower($1) == "retry-after:" &&
		$2 > 10 && $2 <= 60 { found = 1 } END { exit !found }'
}
blocks() { cat "$WORK"/entry*.log | grep -c '"event":"block"'; }

start_deployment "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)"
start_followers $(all_hosts)
for i in $(all_hosts); do
	run_caller "$i" /desk/ &
	callers="${callers:-} $!"
	run_caller "$i" /desk/same &
	callers="$callers $!"
done
sleep 2

# Servers crash under sound requests, some of which many callers send.
for s in 10 11 12 13; do
	kill_process "server$s"
	sleep 0.5
done
check "sound requests were blocked" test "$(blocks)" = 0

# One try after the other, each by another host.
before=$(live_servers)
for n in $(seq 8); do
	send $((n % HOSTS)) /desk/deadly "deadly-$n" >>"$WORK/deadly"
	sleep 0.3
done
crashed=$((before - $(live_servers)))
check "a request crashed $crashed servers, allowed $MAX_CRASHES" \
	test $crashed -le $MAX_CRASHES
for i in $(all_hosts); do
	check "host $i does not refuse the request" \
		is_refused "$i" /desk/deadly "refused-$i"
done

# The same of a kind that may run only once, told apart by its body.
before=$(live_servers)
for n in $(seq 8); do
	send $((n % HOSTS)) /order/deadly "order-$n" -d "same" >>"$WORK/orders"
	sleep 0.3
done
crashed=$((before - $(live_servers)))
check "an order crashed $crashed servers, allowed $MAX_CRASHES" \
	test $crashed -le $MAX_CRASHES
check "an order that may have run was refused as not run" \
	test "$(head -3 "$WORK/orders" | grep -c 502)" = 3
check "the order is not refused" is_refused 0 /order/deadly last -d "same"
check "another order is refused" \
	test "$(send 0 /order/other other -d "same")" = 200

# A host that starts anew learns of both from another one.
kill -9 "$pid_entry3"
start_followers 3
sleep 1
before=$(live_servers)
check "a new host does not refuse the request" \
	is_refused 3 /desk/deadly after-start
check "a new host let servers crash" test "$(live_servers)" = "$before"

# All hosts end at once and start anew.
for i in $(all_hosts); do kill_process "entry$i"; done
cat "$WORK"/entry*.log >"$WORK/entry.before.log"
start_followers $(all_hosts)
sleep 0.2
for i in $(all_hosts); do
	check "host $i runs the request again after all hosts ended" \
		is_refused "$i" /desk/deadly "after-all-$i"
done
check "servers crashed after all hosts ended" \
	test "$(live_servers)" = "$before"

"$BIN/jackdawworks" explain last "$WORK"/entry*.log >"$WORK/explained"
check "explain does not name the reason" \
	grep -q crashes-servers "$WORK/explained"
touch "$WORK/done"
wait $callers 2>/dev/null
# Calls that were on a server when it crashed may fail; the others must not.
refused=$(cat "$WORK"/entry*.log | grep '"result":"crashes-servers"' |
	grep -cvE '"id":"(deadly|order|refused|after|last)')
check "$refused sound calls were refused" test "$refused" = 0
report_failures
