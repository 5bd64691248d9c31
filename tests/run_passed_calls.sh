#!/bin/bash
# Guards against a call that a host passes to another one being read there as a message
# of that host: it would be answered with a success that no server gave, and an order
# would be lost. Each path of a message, in many spellings, with headers that imitate
# those of hosts; also between builds, in both directions, and where something that is no
# host answers at a host's address.
set -u
PORT_BASE=${PORT_BASE:-25100}
. "$(dirname "$0")/lib_platform.sh"
# EARLIER may name the program of an earlier build.
EARLIER=${EARLIER:-}
HOSTS=3 SERVERS=6 WORK_MS=5
KEY=$(printf 'a%.0s' {1..32})
PATHS="/alert /alert?call=1 /alert?block=$KEY&left-ms=60000&from=0&to=9 /alert?blocks=1
	/alert?crash=$KEY&server=7 /quota /quota?x=1 /changes /changes?op=0&servers=0 /hosts
	/x/%2e%2e/alert /x/../quota /%61lert //alert /alert/ /metrics /x/health
	/jackdawworks/readiness"

# start_earlier_follower I: an earlier build reads the path of a request first, and
# passes calls on as they came.
start_earlier_follower() {
	local program=$BIN
	test "$EARLIER" && BIN=$WORK/earlier
	JACKDAWWORKS_OFF=call-message start_follower "$1"
	BIN=$program
}
# restart_host I FUNCTION
restart_host() {
	kill_process "entry$1"
	server_source=$(test "$1" = 0 && echo $CUT_SOURCE)
	"$2" "$1"
	wait_ready "$1" || fail "host $1 is not ready"
}
# send ID METHOD PATH: one call at host 0; prints "ID METHOD PATH STATUS SIGNED".
send() {
	local head method=(-X "$2")
	test "$2" = HEAD && method=(-I)
	test "$2" = POST && method+=(-d "{\"id\":\"$1\"}")
	head=$(curl -s -m 5 --path-as-is -D - -o /dev/null "${method[@]}" \
		-H 'Host: x.example' -H "Attempt-Id: $1" -H 'Deadline-Ms: 2000' \
		-H 'x-entry-answer: server' -H 'x-entry-unable: 1' \
		-H 'x-entry-host: entry-2' -H 'x-entry-waited-ms: 9' \
		-H 'x-call-host: entry-2' -H 'call-method: GET' \
		-H 'call-target: /quota' -H 'c-host: y.example' \
		"127.0.0.1:$callers_port$3" | tr -d '\r')
	say "$1 $2 $3 $(say "$head" | awk 'NR == 1 { print $2 }') $(say "$head" |
		grep -qi '^response-signature:' && echo signed || echo unsigned)"
	say "$head" | grep -i '^x-entry-' >>"$WORK/own-headers"
}
ran() { cat "$WORK"/server*.out | grep -q "^$1 "; }
# send_all NAME: one call for each path and method; writes them to the file NAME.
send_all() {
	local path method n=0
	for path in $PATHS; do
		for method in GET POST PUT HEAD; do
			n=$((n + 1))
			send "$1-$n" $method "$path"
		done
	done >"$WORK/$1"
}
# check_answers NAME [MAY-REFUSE]: each success is a server's and ran there; each other
# answer is a refusal of a call that did not run, and comes only with MAY-REFUSE, for
# the paths that an earlier build takes for its own.
check_answers() {
	local id method path status signed wrong=0 refused=0
	while read -r id method path status signed; do
		case $status in
		200) test $signed = signed && ran "$id" && continue ;;
		503)
			refused=$((refused + 1))
			test $signed = unsigned && ! ran "$id" &&
				test "${2:-}" && [[ $path =~ lert|quota ]] && continue
			;;
		esac
		say "wrong: $id $method $path $status $signed"
		wrong=$((wrong + 1))
	done <"$WORK/$1"
	say "$1: $(wc -l <"$WORK/$1") calls, $refused refused"
	check "$1: $wrong answers are not those of servers" test $wrong = 0
	test "${2:-}" && check "$1: earlier builds got none of the paths in doubt" \
		test $refused -gt 0
}

mkdir "$WORK/earlier"
test "$EARLIER" && ln -s "$EARLIER" "$WORK/earlier/jackdawworks"
start_stranded_hosts "$(print_route all / safe desk)" 1
send_all before
check_answers before
cut_source $CUT_SOURCE hang
check "host 0 passes no call on" within 6 passes_on 0 /x/a
send_all new
check_answers new
check "callers see headers of hosts: $(head -1 "$WORK/own-headers" 2>/dev/null)" \
	test ! -s "$WORK/own-headers"
check "a call blocked others" test -z "$(grep -l crashes-servers "$WORK"/entry?.log)"
grep -h '"event":"forward"' "$WORK/entry0.log" | tail -1

# One other host is of the earlier build, then both are.
restart_host 1 start_earlier_follower
send_all one-earlier
check_answers one-earlier
check "host 0 does not see the earlier build" \
	within 3 grep -q 'is of an earlier build' "$WORK/entry0.log"
restart_host 2 start_earlier_follower
send_all two-earlier
check_answers two-earlier may-refuse
# The host that passes calls on is of the earlier build, the others are not.
heal_source
for host in 1 2; do restart_host $host start_follower; done
restart_host 0 start_earlier_follower
cut_source $CUT_SOURCE hang
check "the earlier build passes no call on" within 6 passes_on 0 /x/a
send_all by-earlier
check_answers by-earlier

# The list names addresses at which something else answers every path with 200: the
# health checks and the metrics of hosts 1 and 2.
for port in $operators_port $metrics_port; do
	for host in 1 2; do
		put_row hosts "other-$port-$host" '{"zone":"gs-a","rank":1,
			"address":"127.0.0.1:'$((port + host))'"}' ||
			fail "the store did not take the row"
	done
done
heal_source
restart_host 0 start_follower
cut_source $CUT_SOURCE hang
check "host 0 passes no call on" within 6 passes_on 0 /x/a
send_all strangers
check "a stranger's answer was passed on" \
	test -z "$(awk '$4 < 300 && $5 != "signed"' "$WORK/strangers")"
check "host 0 does not see strangers" \
	grep -q 'neither a host nor a server' "$WORK/entry0.log"
report_failures
