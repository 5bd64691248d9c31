#!/bin/bash
# Guards against a host that ends because callers come over TLS and other hosts do not:
# the library reads the two with different functions, and one that was kept for all
# connections is wrong for the other kind.
set -u
PORT_BASE=${PORT_BASE:-23400}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=1 WORK_MS=5
ROUNDS=3

openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=host" \
	-addext "subjectAltName=IP:127.0.0.1" \
	-keyout "$WORK/host.key" -out "$WORK/host.pem" 2>/dev/null
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key"
start_deployment "$(print_route desk /desk/ safe desk)"
start_followers 0

# call_tls: prints the status of a call over TLS.
call_tls() {
	curl -s -m 5 --cacert "$WORK/host.pem" -o /dev/null -w '%{http_code}' \
		-H 'Host: x.example' -H "Attempt-Id: t$RANDOM" \
		-H 'Deadline-Ms: 2000' "https://127.0.0.1:$callers_port/desk/a"
}
# message_status: the status of a message of another host, on the connection that it
# keeps as descriptor 3.
message_status() {
	local line status length=0
	printf 'GET /alert HTTP/1.1\r\nhost: x\r\n\r\n' >&3
	IFS=' ' read -r -t 5 _ status _ <&3 || return
	while IFS= read -r -t 5 line <&3 && test "${line%$'\r'}"; do
		case $line in [Cc]ontent-[Ll]ength:*) length=$(echo "$line" | tr -dc 0-9) ;; esac
	done
	read -r -t 5 -N "$length" line <&3
	echo "$status"
}
exec 3<>"/dev/tcp/127.0.0.1/$peers_port"
for n in $(seq $ROUNDS); do
	check "message $n of another host" test "$(message_status)" = 200
	check "call $n over TLS" test "$(call_tls)" = 200
done
check "the host runs" kill -0 "$pid_entry0"
report_failures
