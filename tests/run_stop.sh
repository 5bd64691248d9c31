#!/bin/bash
# Restarts three entry hosts one after the other under load. Guards against lost
# calls, against a stopping host whose health check does not fail at once, and
# against exit statuses other than 0, also under the leak checker.
set -u
. "$(dirname "$0")/lib.sh"

HOSTS=3
RATE=${RATE:-250}
MAX_SECONDS_OF_LOAD=90
MEAN_US=100000
STOP_GRACE_MS=2000

start_small_deployment $HOSTS $MEAN_US || exit 1
start_load load $HOSTS "$RATE" $MAX_SECONDS_OF_LOAD
pid_load=$PID
sleep 1
for i in $(seq 0 $((HOSTS - 1))); do
	address=127.0.0.1:$((callers_port + i))
	eval "kill -TERM \$pid_entry$i"
	sleep 0.1
	curl -s -D "$WORK/head" -o /dev/null "$address/health"
	check "health check of a stopping host fails" \
		grep -q ' 503' "$WORK/head"
	curl -s -D "$WORK/head" -o /dev/null "$address/x"
	check "a stopping host serves calls in its grace time" \
		grep -q ' 200' "$WORK/head"
	check "a stopping host sends connection: close" \
		grep -qi '^connection: close' "$WORK/head"
	eval "wait \$pid_entry$i"
	status=$?
	check "exit status $status of host $i" test $status = 0
	test $status = 0 || cat "$WORK/entry$i.log"
	start_host "$i" z $HOSTS
	wait_http "$address" /health || exit 1
done
sleep 1
check "the load lasts until all hosts are restarted" kill -TERM $pid_load
wait $pid_load || failures=$((failures + 1))
cat "$WORK/load.out"
check "no call is lost" test "$(lost_calls load)" = 0
report_failures
