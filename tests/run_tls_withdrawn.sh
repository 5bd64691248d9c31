#!/bin/bash
# Guards against a withdrawn certificate or operators' token that stays in use, or is in
# use again after a restart: when its successor's file is older than the key's, when a
# copy of it lies beside, and when the successor cannot be used.
set -u
PORT_BASE=${PORT_BASE:-22000}
. "$(dirname "$0")/lib.sh"

make_key() { openssl genpkey -algorithm RSA -out "$1" 2>/dev/null; }
# make_certificate NAME KEY: makes NAME.pem, a self-signed certificate for the host.
make_certificate() {
	openssl req -x509 -key "$2" -days 2 -subj "/CN=$1" \
		-addext "subjectAltName=IP:127.0.0.1" \
		-out "$WORK/$1.pem" 2>/dev/null
}
# answers NAME: whether the callers' listener answers with that certificate.
answers() {
	test "$(curl -s --cacert "$WORK/$1.pem" -o /dev/null -w '%{http_code}' \
		"https://127.0.0.1:$callers_port/health")" = 503
}
token_status() { # TOKEN
	curl -s -o /dev/null -w '%{http_code}' -H "authorization: Bearer $1" \
		"127.0.0.1:$operators_port/metrics"
}
# check_withdrawn WHEN: only the second certificate is in use.
check_withdrawn() {
	check "$1: the new certificate is not in use" within 10 answers second
	check "$1: the withdrawn certificate is in use" eval '! answers first'
}
start_again() {
	start_process entry0 "$BIN/jackdawworks" serve "$WORK/entry0.yaml"
	wait_http "127.0.0.1:$operators_port" /health
}

make_key "$WORK/host.key"
make_certificate first "$WORK/host.key"
make_certificate second "$WORK/host.key"
cp "$WORK/first.pem" "$WORK/host.pem"
touch -d '2 hours ago' "$WORK/host.pem"
touch -d '1 hour ago' "$WORK/second.pem"
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key"
start_platform || exit 1
start_host 0 gs-a 1
wait_http "127.0.0.1:$operators_port" /health || exit 1
check "the first certificate is not in use" answers first

# Times of files are kept by many ways to install them.
cp "$WORK/host.pem" "$WORK/host.pem.old"
cp -p "$WORK/second.pem" "$WORK/host.pem.new"
mv "$WORK/host.pem.new" "$WORK/host.pem"
check_withdrawn "after the renewal"
kill_process entry0
start_again
check_withdrawn "after a kill"

# The key is withdrawn too, and its successor is not written whole.
head -c 300 "$WORK/host.key" >"$WORK/host.key.new"
cp "$WORK/host.key" "$WORK/good.key"
mv "$WORK/host.key.new" "$WORK/host.key"
stop_host 0
timeout 10 "$BIN/jackdawworks" serve "$WORK/entry0.yaml" >/dev/null 2>&1
check "a host starts with a broken key" test $? != 0
cp "$WORK/good.key" "$WORK/host.key"
sed -i "s/token: $TOKEN/token: another-token-for-tests/" "$WORK/entry0.yaml"
start_again
check_withdrawn "after a planned stop"
check "the withdrawn token is in use" test "$(token_status $TOKEN)" = 401
check "the new token is not in use" \
	test "$(token_status another-token-for-tests)" = 200
kill -HUP "$pid_entry0"
sleep 6
check_withdrawn "after the settings were read again"
check "the withdrawn token is in use again" test "$(token_status $TOKEN)" = 401
report_failures
