#!/bin/bash
# Guards against a host that reaches the store and the servers but no other host, and
# runs requests that the others blocked after it had started.
set -u
PORT_BASE=${PORT_BASE:-30100}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=12 WORK_MS=30
# In which the block is written, and read by the host that is alone.
READ_S=3

start_platform || exit 1
start_upstreams
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
# Host 2 starts before the others have rows, and its own row then names an address at
# which nobody listens: neither side can tell the other anything.
processor_share=0.9 start_follower 2
wait_ready 2 || fail "host 2 is not ready"
sleep 3
put_row hosts entry-2 '{"zone":"gs-a","address":"127.0.0.1:'$((peers_port + 90))'","rank":1}' ||
	fail "the store did not take the row of host 2"
for i in 0 1; do start_follower $i; done
for i in 0 1; do wait_ready $i || fail "host $i is not ready"; done
sleep 1
for n in 1 2 3 4; do
	call_host $((n % 2)) /desk/deadly "block-$n" -o /dev/null >/dev/null
	sleep 0.5
done
sleep $READ_S
before=$(live_servers)
for n in 1 2 3; do
	call_host 2 /desk/deadly "alone-$n" -o /dev/null >/dev/null
done
sleep 0.5
check "$((before - $(live_servers))) servers crashed at a host that is alone" \
	test "$(live_servers)" = "$before"
say "failures: $failures"
test $failures = 0
