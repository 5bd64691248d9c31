#!/bin/bash
# Guards against a broken answer that looks whole, against one that takes other streams
# with it, and against a host that ends under an answer, for callers over HTTP/2 with several streams on one connection, and
# for callers over TLS.
set -u
PORT_BASE=${PORT_BASE:-26200}
. "$(dirname "$0")/lib_wire.sh"
WHOLE="length-whole length-pieces length-latehalf length-twice chunks-whole
	chunks-pieces chunks-latehalf chunks-twice close-whole close-pieces
	201-chunks-whole 404-close-whole 500-chunks-latehalf"
BROKEN="length-fin length-rst length-stall chunks-fin chunks-rst chunks-bad chunks-stall
	close-rst close-stall 201-chunks-fin 404-close-rst 500-chunks-stall"

# print_calls URL PREFIX NAMES...: lines for curl. Each call has its body, and its exit
# status, status and local port, in files named PREFIX-NAME.
print_calls() {
	local name url=$1 prefix=$2
	shift 2
	for name in "$@"; do
		cat <<-END
			url = "$url/order/$name"
			output = "$WORK/$prefix-$name"
			header = "Host: x.example"
			header = "Attempt-Id: $prefix-$name"
			header = "Deadline-Ms: $DEADLINE_MS"
			data = "abc"
			raw
			max-time = 5
			write-out = "$name %{exitcode} %{http_code} %{local_port}\n"
			next
		END
	done | sed '$d'
}
status_of() { # NAME: the one in the name, or 200
	case $1 in [1-5]??-*) say "${1%%-*}" ;; *) say 200 ;; esac
}
# check_calls PREFIX WHOLE-BODY BROKEN-BODY EXIT...: EXIT are the right exit statuses for
# broken answers. Bodies of whole answers in chunks are compared without their frames.
check_calls() {
	local prefix=$1 name code status port body
	while read -r name code status port; do
		body=$(tr -d '\r' <"$WORK/$prefix-$name" | tr '\n' ' ')
		check "$prefix $name: status $status" test "$status" = "$(status_of "$name")"
		if [[ " "$(echo $WHOLE)" " == *" $name "* ]]; then
			check "$prefix $name: exit status $code, \"$body\"" \
				test "$code" = 0
			check "$prefix $name: \"$body\"" is_wanted "$body" "$2"
		else
			check "$prefix $name: exit status $code, \"$body\"" \
				is_wanted "$code" "$4"
			check "$prefix $name: \"$body\"" is_wanted "$body" "$3"
		fi
	done <"$WORK/$prefix.out"
	check "$prefix: answers are missing" \
		test "$(wc -l <"$WORK/$prefix.out")" = "$(echo $WHOLE $BROKEN | wc -w)"
}
# ask_streams PREFIX URL: asks for all on one HTTP/2 connection; sets PORTS to the number
# of connections.
ask_streams() {
	print_calls "$2" "$1" $WHOLE $BROKEN >"$WORK/$1.conf"
	curl -s --no-progress-meter -Z --parallel-max 50 ${3:-} --config "$WORK/$1.conf" >"$WORK/$1.out"
	PORTS=$(cut -d' ' -f4 "$WORK/$1.out" | sort -u | wc -l)
}
# ask_apart PREFIX URL OPTION: asks for all at once, on connections of their own.
ask_apart() {
	local name pids=
	for name in $WHOLE $BROKEN; do
		print_calls "$2" "$1" "$name" >"$WORK/$1-$name.conf"
		curl -s --cacert "$WORK/ca.pem" $3 --config "$WORK/$1-$name.conf" \
			>"$WORK/$1-$name.line" &
		pids="$pids $!"
	done
	wait $pids
	cat "$WORK/$1"-*.line >"$WORK/$1.out"
}

start_answers "$(print_route order /order/ unsafe desk)"
ask_streams http2 "http://127.0.0.1:$callers_port" --http2-prior-knowledge
# 92: the stream ended with an error.
check_calls http2 1234567890 12345 92
check "http2: $PORTS connections" test "$PORTS" = 1

openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-addext "subjectAltName=IP:127.0.0.1" -keyout "$WORK/host.key" \
	-out "$WORK/ca.pem" 2>/dev/null
cp "$WORK/ca.pem" "$WORK/host.pem"
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key"
start_follower 1
wait_ready 1 || fail "host 1 is not ready"
sleep 1
url=https://127.0.0.1:$((callers_port + 1))
# 18: the answer is not whole. 56: the connection ended with an error.
ask_apart tls11 "$url" --http1.1
check_calls tls11 "1234567890|5 12345 5 67890 0  |a 1234567890 0  " "12345|5 12345 " "18|56"
ask_apart tls10 "$url" --http1.0
check_calls tls10 1234567890 12345 "18|56"

report_failures
