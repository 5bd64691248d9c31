#!/bin/bash
# One failure case of document acceptance with a platform and three entry hosts:
# document_cases.sh BIN CASE. Prints a figure; exits with 0 when what must hold
# did hold. run_documents.sh runs every case, proof_documents.sh runs some with
# and without the mechanism that they depend on.
set -u
CASE=${2:?name of a case}
. "$(dirname "$0")/lib.sh"
HOSTS=3

# print_document WEIGHT: a small document; the weight tells versions apart.
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

# generation_in_force I: what host I has in force.
generation_in_force() {
	operator_cli "$1" status --json 2>/dev/null |
		sed -n 's/.*"generation":\([0-9]*\).*/\1/p'
}

# wait_generation N [FIRST-HOST]: until every host has it, 10 s at most.
wait_generation() {
	end=$(($(date +%s%N) + 10000000000))
	for i in $(seq "${2:-0}" $((HOSTS - 1))); do
		until test "$(generation_in_force "$i")" = "$1"; do
			test "$(date +%s%N)" -lt $end || return 1
			sleep 0.02
		done
	done
}

# expect_exit CODE COMMAND...: output goes to $WORK/out.
expect_exit() {
	code=$1
	shift
	"$@" >"$WORK/out" 2>&1
	status=$?
	test $status = "$code" ||
		fail "exit code $status, not $code: $* : $(cat "$WORK/out")"
}

# audit_rows PATTERN: rows of the audit trail that match.
audit_rows() { operator_cli 0 history | grep -c "$1"; }

# start_all: generation 1 in force everywhere. The hosts after the first start
# when it is accepted and read the row as they start.
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

# Hosts that miss a change go on with an old document.
document_in_force() {
	begin=$(date +%s%N)
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	wait_generation 2 || fail "generation 2 is not in force within 10 s"
	awk "BEGIN { printf \"%.2f s at $HOSTS hosts\\n\",
		($(date +%s%N) - $begin) / 1e9 }"
}

# Two operators with one base: the later one would undo the earlier change.
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
			fail "the change is not named: $(cat "$WORK/$loser.err")"
	done
	say "5 races, 1 accepted each"
}

# A lost answer must not be told as a failure, nor be written twice.
read_back() {
	platform_fault '{"lose_txn_answers":1}'
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	rows=$(audit_rows 'accepted .*generation 2 ')
	test "$rows" = 1 || fail "$rows audit rows"
	wait_generation 2 || fail "generation 2 is not in force"
	say "accepted once, 1 audit row"
}

# A row that the platform serves from before the last change.
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

# A body that is not the accepted one, whoever stored it. The host keeps trying.
digest_check() {
	digest=$(operator_cli 0 show --json |
		sed 's/.*"digest":"\([0-9a-f]*\)".*/\1/')
	object=$platform_address/jackdawworks/blob-put/$digest
	curl -s -o "$WORK/out" -T "$WORK/2.yaml" "$object"
	start_host $HOSTS a $HOSTS
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	# The right body may come from a peer, the false one must not be taken.
	# The digest that a host shows is that of the text it has in force.
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

# An outage must neither change what is in force nor block later changes.
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

# An outage right after acceptance must lose nothing.
down_after_accept() {
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	platform_fault '{"down":true}'
	sleep 1
	test "$(generation_in_force 0)" = 2 || fail "host 0 reverted"
	platform_fault '{"down":false}'
	wait_generation 2 || fail "generation 2 is not in force"
}

# Slow answers are waited for; answers after the time limit are an outage.
slow_platform() {
	platform_fault '{"delay_ms":300}'
	expect_exit 0 operator_cli 0 apply --base 1 "$WORK/2.yaml"
	platform_fault '{"delay_ms":4000}'
	expect_exit 5 operator_cli 0 apply --base 2 "$WORK/3.yaml"
	platform_fault '{"delay_ms":0}'
	test "$(generation_in_force 0)" = 2 || fail "host 0 changed"
	expect_exit 0 operator_cli 0 apply --base 2 "$WORK/3.yaml"
}

# Refused submissions that leave no trace cannot be explained later.
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

# A repeated submission must not be written again, at no host.
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

# What "show" prints can be edited and applied; its base is the one shown.
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

# Input that is not a document must neither be taken nor end a host.
# A host that starts during an outage serves once more than half of the seed
# peers have told it their generation, and not before.
fresh_host() {
	platform_fault '{"down": true}'
	start_host $HOSTS a $HOSTS
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	HOSTS=$((HOSTS + 1))
	wait_generation 1 $((HOSTS - 1)) || fail "three peers were not enough"
	kill_process entry1
	kill_process entry2
	write_settings $HOSTS a 3
	start_process "entry$HOSTS" "$BIN/jackdawworks" serve \
		"$WORK/entry$HOSTS.yaml"
	wait_http "127.0.0.1:$((operators_port + HOSTS))" /health || exit 1
	for _ in $(seq 50); do
		test "$(generation_in_force $HOSTS)" = 0 ||
			fail "one of three was enough"
		sleep 0.1
	done
	say "started with 3 of 3 seed peers, not with 1 of 3"
}
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
