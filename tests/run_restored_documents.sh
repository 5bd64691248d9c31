#!/bin/bash
# Guards against hosts that accept no document any more after the platform's store
# came back from a copy that lacks the last one. The document in force must stay in
# force meanwhile, and the next one must come into force everywhere.
set -u
. "$(dirname "$0")/lib.sh"
HOSTS=2 ZONES=za
# The store is away only for a moment; operators have to be served soon after.
MAX_ACCEPT_S=10

# write_generation N: writes a document that differs from the others.
write_generation() {
	write_document "$(DEADLINE_MS=100$1 print_service api / 0 1 5 50 za random \
		"      - {method: GET, path: /, idempotent: true}")"
}
# generation I: prints the generation that is in force at host I.
generation() {
	curl -s -H "authorization: Bearer $TOKEN" \
		"127.0.0.1:$((operators_port + $1))/v1/status" |
		sed 's/.*"generation":\([0-9]*\).*/\1/'
}
# accepted_again: submits a document as the successor of the one in force, and of
# the one that the copy has.
accepted_again() {
	apply_document 0 "$WORK/document.yaml" 2 ||
		apply_document 0 "$WORK/document.yaml" 1
}

within_accept_time() {
	local until=$((SECONDS + MAX_ACCEPT_S))
	until accepted_again; do
		test $SECONDS -lt $until || return 1
		sleep 0.5
	done
}

start_platform || exit 1
for i in 0 1; do start_host $i za $HOSTS; done
wait_http "127.0.0.1:$operators_port" /health || exit 1
for g in 1 2; do
	write_generation $g
	apply_document 0 "$WORK/document.yaml" $((g - 1)) || exit 1
	test $g = 1 && wait_document $HOSTS && platform_fault '{"copy":true}'
done
sleep 1
platform_fault '{"restore":true}'
sleep 2
for i in 0 1; do
	check "host $i went back to generation $(generation $i)" \
		test "$(generation $i)" = 2
done
write_generation 3
check "no document is accepted after a restore" within_accept_time
sleep 3
for i in 0 1; do
	check "host $i has generation $(generation $i) in force" \
		test "$(generation $i)" = 3
done
report_failures
