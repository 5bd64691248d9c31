#!/bin/bash
# Guards against bytes on a caller's connection that are no answer to its call, and broken
# answers that look whole, when queues are full and hosts are stopped, continued and
# restarted: callers keep their connections and read every byte.
# usage: run_answer_mix.sh DIRECTORY [SEED [SECONDS]]
set -u
PORT_BASE=${PORT_BASE:-26800}
SEED=${2:-1} SECONDS_LONG=${3:-15}
. "$(dirname "$0")/lib_wire.sh"
SERVERS=8 SLOTS=2 HOSTS=3 CALLERS=32
RANDOM=$SEED

start_answers "$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)"
for i in $(seq $((HOSTS - 1))); do start_follower "$i"; done
for i in $(seq $((HOSTS - 1))); do wait_ready "$i" || fail "host $i is not ready"; done
sleep 1
start_process strict "$BIN/tool_strict" "127.0.0.1:$callers_port" $HOSTS $CALLERS \
	"$SECONDS_LONG" "$SEED"
strict=$pid_strict
# Stops a host for up to 0.4 s, one after the other; restarts the last one now and then.
while kill -0 "$strict" 2>/dev/null; do
	i=$((RANDOM % (HOSTS - 1)))
	eval "host=\$pid_entry$i"
	kill -STOP "$host"
	sleep 0.$((RANDOM % 4 + 1))
	kill -CONT "$host"
	sleep 0.$((RANDOM % 6 + 1))
	if test $((RANDOM % 6)) = 0; then
		last=$((HOSTS - 1))
		stop_host $last
		check "a stopped host ended with status $STATUS" test "$STATUS" = 0
		start_follower $last
	fi
done
wait "$strict"
status=$?
cat "$WORK/strict.out"
check "callers saw faults" test $status = 0
check "no queue was full" grep -q '"result":"queue-full"' "$WORK"/entry*.log
for i in $(seq 0 $((HOSTS - 1))); do
	eval "host=\$pid_entry$i"
	check "host $i is gone" kill -0 "$host"
done
report_failures
