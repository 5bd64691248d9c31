#!/bin/bash
# Servers crash while they run a sound request, for another reason. Guards against a host
# that has just started, knows no good answer of that request, and blocks it for what other
# hosts tell, which do know some.
set -u
PORT_BASE=${PORT_BASE:-20400}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=16 WORK_MS=20 PATHS=4

# run_long HOST PATH N: N calls that servers run until they end.
run_long() {
	local n
	for n in $(seq "$3"); do
		call_host "$1" "$2" "long-$1-$RANDOM-$n" -o /dev/null -H 'X-Work: 1800' &
		calls="${calls:-} $!"
	done >/dev/null 2>&1
}
blocks() { cat "$WORK"/entry*.log | grep -c '"event":"block"'; }

start_deployment "$(print_route desk /desk/ safe desk)"
start_followers 0 1 2
sleep 2.5
kill_process entry2
start_followers 2
sleep 1
# Hosts 0 and 1 know the requests to be sound.
for p in $(seq $PATHS); do
	for i in 0 1; do
		call_host $i "/desk/sound$p" "first-$i-$p" -o /dev/null >/dev/null
	done
done
for p in $(seq $PATHS); do
	for i in 0 1; do run_long $i "/desk/sound$p" 6; done
done
sleep 0.5
for s in 0 1 2 3; do kill_process "server$s"; done
sleep 0.7
cat "$WORK"/entry[01].log | grep -q '"event":"crash"' || fail "no crash was seen"
check "sound requests were blocked" test "$(blocks)" = 0
for p in $(seq $PATHS); do
	status=$(call_host 2 "/desk/sound$p" "new-$p" -o /dev/null | tr -d ' ')
	check "sound request $p got $status at the host that had just started" \
		test "$status" = 200
done
wait $calls
report_failures
