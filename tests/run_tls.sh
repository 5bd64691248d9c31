#!/bin/bash
# TLS of the listeners and towards the platform. Guards against plaintext
# outside loopback, a renewed certificate that is used only after a restart, a
# broken certificate that replaces a good one, a connection that was opened before
# the renewal and begins TLS after it, and a platform whose certificate is not
# verified.
set -u
PORT_BASE=${PORT_BASE:-29000}
. "$(dirname "$0")/lib.sh"

fail() {
	say "FAILED: $*"
	tail -100 "$WORK/entry0.log"
	exit 1
}
# make_certificate NAME: makes a key and a self-signed certificate for the host.
# A side that verifies it must trust NAME.ca.
make_certificate() {
	openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$1" \
		-addext "subjectAltName=IP:127.0.0.1" \
		-keyout "$WORK/new.key" -out "$WORK/new.pem" 2>/dev/null
	cp "$WORK/new.pem" "$WORK/$1.ca"
	mv "$WORK/new.key" "$WORK/host.key"
	mv "$WORK/new.pem" "$WORK/host.pem"
}
# tls_status CA ADDRESS PATH: prints the status of a request that trusts only
# CA.
tls_status() {
	curl -s --cacert "$WORK/$1.ca" -o /dev/null -w '%{http_code}' \
		"https://$2$3"
}

make_certificate first
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key"
OPERATORS_TLS="certificate: $WORK/host.pem
  key: $WORK/host.key"
cp "$WORK/host.pem" "$WORK/platform.pem"
cp "$WORK/host.key" "$WORK/platform.key"
PLATFORM_TLS="ca: $WORK/first.ca"
start_process platform "$BIN/tool_platform" "$platform_address" \
	"$WORK/platform.pem" "$WORK/platform.key"
start_host 0 gs-a 1
callers=127.0.0.1:$callers_port
operators=127.0.0.1:$operators_port
for _ in $(seq 100); do
	test "$(tls_status first "$operators" /health)" = 200 && break
	sleep 0.05
done
test "$(tls_status first "$operators" /health)" = 200 ||
	fail "the operators' listener does not answer over TLS"
test "$(tls_status first "$callers" /health)" = 503 ||
	fail "the callers' listener does not answer over TLS"
curl -s -o /dev/null "http://$callers/health" && fail "plaintext was answered"

# A document can be accepted, for which the host reaches the platform over TLS.
{
	say "deployment: tls"
	say "zones: [gs-a]"
	say "services:"
	print_service ordering /ordering/ 0 1 6 260 gs-a shares \
		"      - {method: GET, path: /ordering/, idempotent: true}"
} >"$WORK/document.yaml"
operator_cli 0 apply --ca "$WORK/first.ca" --author test "$WORK/document.yaml" ||
	fail "the document was not accepted"
operator_cli 0 show --ca "$WORK/none" 2>/dev/null &&
	fail "a command succeeds without its file of authorities"
JACKDAWWORKS_TOKEN=$TOKEN "$BIN/jackdawworks" show --host 192.0.2.1:9 \
	2>"$WORK/refused" &&
	fail "a command uses plaintext outside loopback"
grep -q 'needed' "$WORK/refused" || fail "the error does not say what is needed"
test "$(tls_status first "$callers" /health)" = 200 ||
	fail "the document is not in force"

exec 3<>"/dev/tcp/127.0.0.1/$callers_port"
make_certificate second
for _ in $(seq 300); do
	test "$(tls_status second "$callers" /health)" = 200 && break
	sleep 0.05
done
test "$(tls_status second "$callers" /health)" = 200 ||
	fail "the renewed certificate is not in use"
test "$(tls_status first "$callers" /health)" = 000 ||
	fail "the old certificate is still in use"
# The first bytes of a TLS record, on the connection that has sent none so far.
printf '\x16\x03\x01\x00\x05hello' >&3
sleep 0.2
exec 3>&-
test "$(tls_status second "$callers" /health)" = 200 ||
	fail "a connection older than the certificate has ended the host"

# A host must not use a platform whose certificate is from another authority.
PLATFORM_TLS="ca: $WORK/second.ca"
start_host 2 gs-a 1
counter() { sed -n "s/^jackdawworks_$1 //p" "$WORK/metrics"; }
# Every read must fail, so reads and errors must be equal. A single read that is
# answered makes the counters differ for good, a read in flight for a moment
# only.
for _ in $(seq 100); do
	curl -s --cacert "$WORK/second.ca" -H "authorization: Bearer $TOKEN" \
		"https://127.0.0.1:$((operators_port + 2))/metrics" \
		>"$WORK/metrics"
	failed=$(counter platform_errors_total)
	test "${failed:-0}" -gt 1 &&
		test "$failed" = "$(counter platform_reads_total)" && break
	failed=
	sleep 0.05
done
test -n "$failed" || fail "an untrusted platform was used"

# A broken key file must not replace the key and certificate in use.
cp "$WORK/host.key" "$WORK/good.key"
sleep 0.1
say broken >"$WORK/host.key"
for _ in $(seq 300); do
	grep -q '"event":"tls".*host.key' "$WORK/entry0.log" && break
	sleep 0.05
done
grep -q '"event":"tls".*host.key' "$WORK/entry0.log" ||
	fail "the broken key is not logged"
test "$(tls_status second "$callers" /health)" = 200 ||
	fail "the certificate in use was replaced by the broken one"

write_settings 1 gs-a 1
sed -i "s/address: \"127.0.0.1:$((callers_port + 1))\"/address: \"192.0.2.1:80\"/
	s/certificate: [^,]*, key: [^}]*/plaintext: true/" "$WORK/entry1.yaml"
timeout 10 "$BIN/jackdawworks" serve "$WORK/entry1.yaml" 2>"$WORK/refused"
status=$?; test $status = 3 || { cat "$WORK/entry1.yaml" "$WORK/refused"; fail "plaintext on an outside address was accepted ($status)"; }
grep -q 'plaintext: only a loopback' "$WORK/refused" ||
	fail "the error does not say that plaintext needs a loopback address"
say passed
