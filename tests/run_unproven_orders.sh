#!/bin/bash
# Without a platform: guards against an order that has run and whose caller is told by the
# status of the server's answer, or of one that was kept for the order's key, that it has
# not. Guards as well against refusals that a server states and that are not passed on.
set -u
PORT_BASE=${PORT_BASE:-29700}
. "$(dirname "$0")/lib.sh"

# ask HOST METHOD NAME [KEY]: prints status, outcome and body.
ask() {
	curl -s -m 5 -D "$WORK/head" -o "$WORK/body" -X "$2" -d x \
		${4:+-H "idempotency-key: $4"} "127.0.0.1:$((callers_port + $1))/raw/$3"
	tr -d '\r' <"$WORK/head" | awk 'NR == 1 { status = $2 }
		tolower($1) == "x-request-outcome:" { outcome = $2 }
		END { printf "%s %s ", status, outcome }'
	sed 's/^{.*/error/' "$WORK/body"
}
# expect WANTED HOST METHOD NAME [KEY]
expect() {
	local came
	came=$(ask "${@:2}")
	check "$*: \"$came\"" test "$came" = "$1"
}

start_platform || exit 1
start_process raw "$BIN/tool_raw" server "127.0.0.1:$servers_port"
JACKDAWWORKS_OFF=answer-table start_host 1 z 2
start_host 0 z 2
cat >"$WORK/document.yaml" <<-END
	deployment: test
	zones: [z]
	services:
	  - name: raw
	    route: /raw/
	    deadline_ms: 2000
	    longest_deadline_ms: 4000
	    retry_percent: 100
	    policy: random
	    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
	    servers:
	      - {name: raw-1, address: "127.0.0.1:$servers_port", zone: z, slots: 200, connections: 200}
END
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 2 || exit 1

for key in "" key; do
	for name in failed-408 failed-421 failed-429 failed-503 mark-0; do
		expect "502 unknown error" 0 POST $name ${key:+$key-$name}
	done
	for name in refused-408 refused-429 refused-503; do
		expect "503 not-run error" 0 POST $name ${key:+$key-$name}
	done
	expect "500 completed failed" 0 POST failed-500 ${key:+$key-failed-500}
done
# The key of an order that may have run stays in use, that of a refused one does not.
expect "502 unknown error" 0 POST failed-503 key-failed-503
expect "422 not-run error" 0 POST failed-500 key-failed-503
expect "503 not-run error" 0 POST refused-503 key-refused-503
for status in 408 421 429 503; do
	expect "$status completed failed" 0 GET failed-$status
done
# An earlier build has kept such an answer for the order's key.
expect "503 completed failed" 1 POST failed-503 earlier
expect "502 unknown error" 0 POST failed-503 earlier
expect "500 completed failed" 1 POST failed-500 earlier-500
expect "500 completed failed" 0 POST failed-500 earlier-500
report_failures
