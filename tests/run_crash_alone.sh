#!/bin/bash
# Guards against a host that reaches the store and the servers but no other host, and
# runs requests that the others blocked after it had started.
set -u
PORT_BASE=${PORT_BASE:-30100}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=12 WORK_MS=30
# In which the block is written, and read by the host that is alone.
READ_S=3

start_deployment "$(print_route desk /desk/ safe desk)"
# Host 2 starts before the others have rows, and its own row then names an address at
# which nobody listens: neither side can tell the other anything.
processor_share=0.9 start_followers 2
sleep 3
put_row hosts entry-2 '{"zone":"gs-a","address":"127.0.0.1:'$((peers_port + 90))'","rank":1}' ||
	fail "the store did not take the row of host 2"
start_followers 0 1
sleep 1
call_in_turn /desk/deadly block 4 0.5 0 1
sleep $READ_S
before=$(live_servers)
call_in_turn /desk/deadly alone 3 0 2
sleep 0.5
check "$((before - $(live_servers))) servers crashed at a host that is alone" \
	test "$(live_servers)" = "$before"
report_failures
