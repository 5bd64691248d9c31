#!/bin/bash
# Runs one failure case of document acceptance with a platform and three entry
# hosts. Each case is a function below, preceded by the failure that it guards
# against.
# usage: document_cases.sh BIN CASE. Exits with 0 when the case passes; some
# cases print a figure. run_documents.sh runs every case; proof_documents.sh
# runs some with and without the mechanism that they depend on.
set -u
CASE=${2:?name of a case}
. "$(dirname "$0")/lib.sh"
HOSTS=3

# print_document WEIGHT: prints a small document. Versions differ by the weight.
print_document() {
	cat <<-END
	deployment: documents
	latency_weight_percent: $1
	zones: [a]
	services:
	  - name: desk
	    route: /desk/
	    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
	    servers: [{name: d1, address: "127.0.0.1:$servers_port", zone: a, slots: 1, connections: 4}]
	END
}

for weight in 1 2 3 4; do print_document $weight >"$WORK/$weight.yaml"; done

fail() {
	say "$CASE: $*" >&2
	tail -qn 5 "$WORK"/entry*.log >&2
	exit 1
}

# generation_in_force I: prints the generation that host I has in force.
generation_in_force() {
	operator_cli "$1" status --json 2>/dev/null |
		sed -n 's/.*"generation":\([0-9]*\).*/\1/p'
}

# wait_generation N [FIRST-HOST]: waits until every host, from FIRST-HOST on,
# has generation N. Fails after 10 s.
wait_generation() {
	end=$(($(date +%s%N) + 10000000000))
	for i in $(seq "${2:-0}" $((HOSTS - 1))); do
		until test "$(generation_in_force "$i")" = "$1"; do
			test "$(date +%s%N)" -lt $end || return 1
			sleep 0.02
		done
	done
}

# expect_exit CODE COMMAND...: fails unless the command exits with CODE. Its
# output is in $WORK/out.
expect_exit() {
	code=$1
	shift
	"$@" >"$WORK/out" 2>&1
	status=$?
	test $status = "$code" ||
		fail "exit code $status, not $code: $* : $(cat "$WORK/out")"
}

# audit_rows PATTERN: prints how many rows of the audit trail match.
audit_rows() { operator_cli 0 history | grep -c "$1"; }

# start_all: starts all hosts with generation 1 in force. The hosts after the
# first are started once it is accepted and read it as they start.
start_all() {
	start_platform || exit 1
	start_host 0 a $HOSTS
	wait_http "127.0.0.1:$((operators_port))" /health || exit 1
	expect_exit 0 operator_cli 0 apply --author first "$WORK/1.yaml"
	for n in $(seq 1 $((HOSTS - 1))); do
		start_host "$n" a $HOSTS
		wait_http "127.0.0.1:$((operators_port + n))" /health || exit 1
	done
	wait_generation 1 || fail "generation 1 is not in force"
}

# Guards against hosts that miss a change and keep the old document in force.
document_in_force() {
	begin=$(date +%s%N)
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	wait_generation 2 || fail "generation 2 is not in force within 10 s"
	awk "BEGIN { printf \"%.2f s at $HOSTS hosts\\n\",
		($(date +%s%N) - $begin) / 1e9 }"
}

# Guards against two submissions on the same base that are both accepted: the
# later one would undo the change of the earlier one.
conditional_accept() {
	for base in 1 2 3 4 5; do
		print_document $((10 * base)) >"$WORK/a.yaml"
		print_document $((10 * base + 1)) >"$WORK/b.yaml"
		operator_cli 0 apply --base $base --author ann "$WORK/a.yaml" \
			>/dev/null 2>"$WORK/a.err" &
		first=$!
		operator_cli 1 apply --base $base --author ben "$WORK/b.yaml" \
			>/dev/null 2>"$WORK/b.err"
		codes=$?
		wait $first
		codes="$? $codes"
		case $codes in
		"0 4") loser=b winner=0 ;;
		"4 0") loser=a winner=1 ;;
		*) fail "exit codes $codes with base $base" ;;
		esac
		grep -q "latency_weight_percent: .* -> $((10 * base + winner))$" \
			"$WORK/$loser.err" ||
			fail "the conflict message does not show the change: $(cat "$WORK/$loser.err")"
	done
	say "5 races, 1 accepted each"
}

# Guards against an acceptance that is reported as a failure or written twice
# because the platform's answer to the write was lost.
read_back() {
	platform_fault '{"lose_txn_answers":1}'
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	rows=$(audit_rows 'accepted .*generation 2 ')
	test "$rows" = 1 || fail "$rows audit rows"
	wait_generation 2 || fail "generation 2 is not in force"
	say "accepted once, 1 audit row"
}

# Guards against hosts that go back to an older generation when the platform
# serves an outdated row.
generation_order() {
	digest=$(operator_cli 0 show --json |
		sed 's/.*"digest":"\([0-9a-f]*\)".*/\1/')
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	wait_generation 2 || fail "generation 2 is not in force"
	value=$(printf '{"generation":1,"digest":"%s"}' "$digest" | base64 -w0)
	curl -s -o "$WORK/out" "$platform_address/jackdawworks/rows-tx" \
		-d '{"precondition":[],"remove":[],"put":[{"table":"document",
		"part":"","key":"current","value":"'"$value"'"}]}'
	for _ in $(seq 20); do
		for i in $(seq 0 $((HOSTS - 1))); do
			test "$(generation_in_force "$i")" = 2 ||
				fail "host $i reverted"
		done
		sleep 0.1
	done
	say "0 of $HOSTS hosts reverted"
}

# Guards against a stored body that does not match the digest of the accepted
# document. The host must refuse it and go on fetching until it gets the right
# one.
digest_check() {
	digest=$(operator_cli 0 show --json |
		sed 's/.*"digest":"\([0-9a-f]*\)".*/\1/')
	object=$platform_address/jackdawworks/blob-put/$digest
	curl -s -o "$WORK/out" -T "$WORK/2.yaml" "$object"
	start_host $HOSTS a $HOSTS
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	# The host may get the right body from a peer, but must not use the
	# wrong one. The digest that "show" prints is computed from the text in
	# force.
	for _ in $(seq 10); do
		shown=$(operator_cli $HOSTS show --json 2>"$WORK/out" |
			sed 's/.*"digest":"\([0-9a-f]*\)".*/\1/')
		case $shown in
		*not-found* | "" | "$digest") ;;
		*) fail "took a false body" ;;
		esac
		sleep 0.1
	done
	grep -q "body does not match digest" "$WORK/entry$HOSTS.log" ||
		fail "the false body was not fetched"
	curl -s -o "$WORK/out" -T "$WORK/1.yaml" "$object"
	HOSTS=$((HOSTS + 1))
	wait_generation 1 $((HOSTS - 1)) || fail "the right body is not fetched"
	say "false body refused, right body taken"
}

# Guards against a platform outage that changes the document in force or blocks
# later changes.
platform_down() {
	platform_fault '{"down":true}'
	expect_exit 5 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	grep -q 'not accepted' "$WORK/out" || fail "$(cat "$WORK/out")"
	for i in $(seq 0 $((HOSTS - 1))); do
		test "$(generation_in_force "$i")" = 1 || fail "host $i changed"
	done
	platform_fault '{"down":false}'
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	wait_generation 2 || fail "generation 2 is not in force"
}

# Guards against the loss of a document when the platform goes down right after
# its acceptance.
down_after_accept() {
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	platform_fault '{"down":true}'
	sleep 1
	test "$(generation_in_force 0)" = 2 || fail "host 0 reverted"
	platform_fault '{"down":false}'
	wait_generation 2 || fail "generation 2 is not in force"
}

# Guards against a host that treats a slow answer of the platform as an outage,
# or that does not treat an answer after the time limit as one.
slow_platform() {
	platform_fault '{"delay_ms":300}'
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	platform_fault '{"delay_ms":4000}'
	expect_exit 5 operator_cli 0 apply --base 2 "$WORK/3.yaml"
	platform_fault '{"delay_ms":0}'
	test "$(generation_in_force 0)" = 2 || fail "host 0 changed"
	expect_exit 0 operator_cli 0 apply --base 2 "$WORK/3.yaml"
}

# Guards against refused submissions without a row in the audit trail, which
# could not be explained later.
refused_rows() {
	sed 's/slots: 1/slots: 9/' "$WORK/2.yaml" >"$WORK/bad.yaml"
	expect_exit 3 operator_cli 0 apply --base 1 --author ann \
		"$WORK/bad.yaml"
	grep -q 'line 8: connections' "$WORK/out" || fail "$(cat "$WORK/out")"
	expect_exit 4 operator_cli 0 apply --base 7 --author ben "$WORK/2.yaml"
	expect_exit 4 operator_cli 0 apply "$WORK/2.yaml"
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/1.yaml"
	grep -q 'unchanged as generation 1' "$WORK/out" ||
		fail "$(cat "$WORK/out")"
	expect_exit 0 operator_cli 0 history
	for row in 'invalid .*base 1  ann' 'conflict .*base 7  ben' \
		'cannot fill 9 slots' 'unchanged .*generation 1'; do
		grep -q "$row" "$WORK/out" || fail "no row $row"
	done
}

# Guards against a repeated submission that is written again, by the same or
# another host.
repeated_submission() {
	id=00001700000000000000-test-1
	expect_exit 0 operator_cli 0 apply --base 1 --submission $id \
		"$WORK/2.yaml"
	expect_exit 0 operator_cli 0 apply --base 2 "$WORK/3.yaml"
	expect_exit 0 operator_cli 1 apply --base 1 --submission $id \
		"$WORK/2.yaml"
	grep -q 'accepted as generation 2' "$WORK/out" ||
		fail "$(cat "$WORK/out")"
	expect_exit 1 operator_cli 1 apply --base 3 --submission $id \
		"$WORK/4.yaml"
	wait_generation 3 || fail "generation 3 is not in force"
	test "$(audit_rows $id)" = 1 || fail "more than one audit row"
}

# Guards against output of "show" that cannot be edited and applied, or that is
# applied on another base than the generation shown.
show_and_apply() {
	operator_cli 0 show >"$WORK/shown.yaml"
	expect_exit 0 operator_cli 0 apply "$WORK/shown.yaml"
	sed -i 's/percent: 1/percent: 9/' "$WORK/shown.yaml"
	expect_exit 0 operator_cli 0 diff "$WORK/shown.yaml"
	grep -q 'latency_weight_percent: 1 -> 9' "$WORK/out" ||
		fail "$(cat "$WORK/out")"
	cp "$WORK/shown.yaml" "$WORK/late.yaml"
	expect_exit 0 operator_cli 0 apply "$WORK/shown.yaml"
	sed -i 's/percent: 9/percent: 8/' "$WORK/late.yaml"
	expect_exit 4 operator_cli 0 apply "$WORK/late.yaml"
	expect_exit 0 operator_cli 0 apply --force-base "$WORK/late.yaml"
	expect_exit 0 operator_cli 0 show --generation 2
	grep -q 'percent: 9' "$WORK/out" || fail "$(cat "$WORK/out")"
}

# Guards against a host that starts during an outage of the platform and does
# not get a document from its peers, or takes one before more than half of the
# seed peers have reported their generation.
fresh_host() {
	platform_fault '{"down": true}'
	start_host $HOSTS a $HOSTS
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	HOSTS=$((HOSTS + 1))
	wait_generation 1 $((HOSTS - 1)) ||
		fail "the host has no document with 3 of 3 seed peers"
	kill_process entry1
	kill_process entry2
	write_settings $HOSTS a 3
	start_process "entry$HOSTS" "$BIN/jackdawworks" serve \
		"$WORK/entry$HOSTS.yaml"
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	for _ in $(seq 50); do
		test "$(generation_in_force $HOSTS)" = 0 ||
			fail "the host has a document with 1 of 3 seed peers"
		sleep 0.1
	done
	say "started with 3 of 3 seed peers, not with 1 of 3"
}

# Guards against keys in what operators read about a change, and against warnings that
# refuse a document.
customer_documents() {
	for keys in "" key-1 "key-1, key-2"; do
		{
			say "customers: [{name: acme, keys: [$keys]}]"
			print_document 1
		} >"$WORK/customers-${#keys}"
	done
	none=$WORK/customers-0 one=$WORK/customers-5 two=$WORK/customers-12
	expect_exit 0 "$BIN/jackdawworks" check "$none"
	grep -q 'line 1: keys: customer "acme" has no key' "$WORK/out" ||
		fail "no warning: $(cat "$WORK/out")"
	expect_exit 0 "$BIN/jackdawworks" check --json "$none"
	grep -q '"warnings":\[{"line":1,"field":"keys"' "$WORK/out" ||
		fail "no warning: $(cat "$WORK/out")"
	expect_exit 0 operator_cli 0 apply --base 1 "$one"
	wait_generation 2 || fail "generation 2 is not in force"
	expect_exit 4 operator_cli 1 apply --base 1 "$two"
	grep -q 'customer acme: added (keys 1)' "$WORK/out" || fail "$(cat "$WORK/out")"
	cp "$WORK/out" "$WORK/conflict"
	expect_exit 0 operator_cli 1 diff "$two"
	grep -q 'customer acme: keys: 1 -> 2, 1 added: #' "$WORK/out" ||
		fail "$(cat "$WORK/out")"
	operator_cli 0 history >"$WORK/history"
	grep -l 'key-[12]' "$WORK/out" "$WORK/conflict" "$WORK/history" \
		"$WORK"/entry?.log && fail "a key is shown"
	operator_cli 1 show | grep -q 'keys: \[key-1\]' || fail "the key is lost"
}

# Guards against malformed input that is accepted as a document or ends the
# process of a host.
bad_input() {
	head -c 5000000 /dev/zero | tr '\0' '#' >"$WORK/large"
	head -c 4000 /dev/urandom >"$WORK/binary"
	printf 'deployment: caf\351\n' >"$WORK/latin"
	check="$BIN/jackdawworks check"
	expect_exit 3 $check "$WORK/large"
	expect_exit 3 $check "$WORK/binary"
	expect_exit 3 $check "$WORK/latin"
	grep -q 'line 1: not valid UTF-8' "$WORK/out" || fail "$(cat "$WORK/out")"
	expect_exit 1 $check "$WORK"
	expect_exit 1 $check "$WORK/none"
	expect_exit 3 operator_cli 0 apply --base 1 "$WORK/binary"
	url=127.0.0.1:$operators_port/v1/document
	for query in 'base=x' 'base=-1' 'base=99999999999999999999' \
		'base=1&author=%ff%fe' 'base=1&author=%1b[2J' \
		"base=1&author=$(printf 'a%.0s' $(seq 65))" \
		'base=1&submission=../x' 'generation=x'; do
		for data in "$WORK/2.yaml" "$WORK/binary"; do
			code=$(curl -s -g -o /dev/null -w '%{http_code}' \
				-H "authorization: Bearer $TOKEN" \
				--data-binary "@$data" "$url?$query")
			test "$code" = 400 || test "$query" = generation=x ||
				fail "status $code for $query"
		done
	done
	code=$(curl -s -o /dev/null -w '%{http_code}' \
		-H "authorization: Bearer $TOKEN" \
		--data-binary "@$WORK/large" "$url?base=1")
	test "$code" = 413 || fail "status $code for a large body"
	test "$(generation_in_force 0)" = 1 || fail "host 0 changed or ended"
}

start_all
$CASE
