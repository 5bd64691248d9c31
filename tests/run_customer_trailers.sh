#!/bin/bash
# Guards against a key that is taken from a trailer: only a header holds one.
set -u
PORT_BASE=${PORT_BASE:-26900}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=1 WORK_MS=5

customers='[{"name":"acme","api-keys":["key-1"]}]' \
	start_deployment "$(print_route desk /desk/ safe desk)"
start_followers 0
printf '%s\n' "key /desk/a 2000 all key-1" \
	"trailer /desk/a 2000 all - authorization Bearer key-1" |
	"$BIN/tool_streams" "127.0.0.1:$callers_port" 3 >"$WORK/streams.out"
check "a key in a header: $(cat "$WORK/streams.out")" grep -q '^key 200 ' "$WORK/streams.out"
check "a key in a trailer: $(cat "$WORK/streams.out")" \
	grep -q '^trailer 401 ' "$WORK/streams.out"
report_failures
