#!/bin/bash
# Customers of the project's own document at two hosts. Guards against calls that are
# served without a key or with a removed one, against a key that reaches a server, a
# log or the audit trail, and against orders that a caller finds, or runs twice, by
# calling itself otherwise.
set -u
PORT_BASE=${PORT_BASE:-26900}
. "$(dirname "$0")/lib.sh"
KEY=key-of-acme-1 MOVED=key-of-acme-2 OTHER=key-of-beta-1
BEARER="authorization: Bearer"
fail() { say "FAILED: $*"; exit 1; }

# print_servers NAME ADDRESS-INDEX
print_servers() {
	cat <<-END
	  - name: $1
	    route: /$1/
	    longest_deadline_ms: 8000
	    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
	    rules: [{method: GET, path: /$1/, idempotent: true}]
	    servers: [{name: $1-1, address: "127.0.0.1:$((servers_port + $2))", zone: a, slots: 2, connections: 4}]
	END
}
# apply GENERATION TOP-LINES: puts a document with these lines in force at both hosts.
apply() {
	{
		printf 'deployment: customers\nzones: [a]\n%s\nservices:\n' "$2"
		print_servers desk 0
		print_servers open 1
		say "    public: true"
	} >"$WORK/document.yaml"
	apply_document 0 "$WORK/document.yaml" $(($1 - 1)) || fail "generation $1 is refused"
	for i in 0 1; do within 5 in_force "$i" "$1" || fail "generation $1 at host $i"; done
}
in_force() { operator_cli "$1" status --json | grep -q "\"generation\":$2[,}]"; }
# answers STATUS HOST PATH [CURL-OPTIONS]; the headers of the answer are in $WORK/answer.
answers() {
	test "$(curl -s -o /dev/null -D "$WORK/answer" -w '%{http_code}' "${@:4}" \
		"127.0.0.1:$((callers_port + $2))$3")" = "$1"
}
runs() { curl -s "127.0.0.1:$servers_port/stats" | sed 's/.*"runs":\([0-9]*\).*/\1/'; }
# sees HEADER: how often the servers got it.
sees() { curl -s "127.0.0.1:$servers_port/heads" | grep -ic "^$1"; }

start_platform || exit 1
start_servers desks 0 2 2 a 2000 || exit 1
for i in 0 1; do start_host "$i" a 2; done
wait_http "127.0.0.1:$operators_port" /health || exit 1

# Without customers nothing is checked, and the header is the servers' own.
apply 1 ""
wait_document 2 || fail "no document"
check "no customers" answers 200 0 /desk/a -H "$BEARER of-the-server"
check "the servers get their header" test "$(sees "authorization: Bearer of-the-server")" = 1

ACME="{name: acme, keys: [$KEY, $MOVED]}"
apply 2 "customers: [$ACME, {name: beta, keys: [$OTHER], quota: {requests_per_s: 1000}}]"
for i in 0 1; do
	check "no key" answers 401 "$i" /desk/a
	check "unknown key" answers 401 "$i" /desk/a -H "$BEARER ${KEY}x"
	check "digest of a key" answers 401 "$i" /desk/a \
		-H "$BEARER #$(printf %s $KEY | sha256sum | cut -c1-12)"
	check "key" answers 200 "$i" /desk/a -H "$BEARER $KEY" -H "x-customer: forged"
	check "key over HTTP/2" answers 200 "$i" /desk/a -H "$BEARER $KEY" --http2-prior-knowledge
	check "public service" answers 200 "$i" /open/a -H "$BEARER x" -H "x-customer: forged"
done
check "servers see the customer" test "$(sees "x-customer: acme")" = 4
check "servers see no other name" test "$(sees x-customer)" = 4
check "servers see no key" test "$(sees authorization)" = 1

# An order is found again under its customer, whatever the caller calls itself.
order() { # KEY CALLER HOST
	answers 200 "$3" /desk/order -X POST -d one -H "idempotency-key: order-1" \
		-H "$BEARER $1" -H "x-caller: $2"
}
before=$(runs)
check "order" order $KEY shop 0
check "repeated order" order $MOVED market 1
check "the order ran once" test "$(runs)" = $((before + 1))
check "order of another customer" order $OTHER acme 1
check "another customer has orders of its own" test "$(runs)" = $((before + 2))

# Calls that wait as their key is removed, and new ones.
server_control 0 '{"factor": 1000000}'
held=
for i in 1 2 3 4 5; do
	answers 504 0 /desk/held -H "$BEARER $OTHER" -H "x-timeout-ms: 7000" &
	held="$held $!"
done
sleep 0.5
answers 401 0 /desk/waits -H "$BEARER $KEY" -H "x-timeout-ms: 6000" &
waiting=$!
sleep 0.3
apply 3 "customers: [{name: acme}, {name: beta, keys: [$OTHER, $MOVED]}]"
check "a call that waits ends with its key" wait $waiting
server_control 0 '{"factor": 1}'
wait $held # the server is full until these have ended
for i in 0 1; do
	check "removed key" answers 401 "$i" /desk/a -H "$BEARER $KEY"
	check "moved key" answers 200 "$i" /desk/a -H "$BEARER $MOVED"
done
check "servers see the new holder" test "$(sees "x-customer: beta")" -ge 3

operator_cli 0 history >"$WORK/history"
check "the audit trail has the rows" grep -q test "$WORK/history"
for i in 0 1; do curl -s -H "$BEARER $TOKEN" "127.0.0.1:$((operators_port + i))/metrics"; done >"$WORK/metrics"
check "no key in logs, trail and metrics" \
	test -z "$(grep -l 'key-of' "$WORK"/entry?.log "$WORK/history" "$WORK/metrics")"

apply 4 ""
check "without the list, no key is needed" answers 200 1 /desk/a
report_failures
