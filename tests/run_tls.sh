#!/bin/bash
# TLS of the listeners: callers and operators are served over TLS, plaintext is
# refused away from loopback, and a renewed certificate is used without a
# restart while a broken one is not.
set -u
PORT_BASE=${PORT_BASE:-29000}
. "$(dirname "$0")/lib.sh"

fail() { say "FAILED: $*"; exit 1; }
make_certificate() { # NAME
	openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj "/CN=$1" \
		-addext "subjectAltName=IP:127.0.0.1" \
		-keyout "$WORK/new.key" -out "$WORK/new.pem" 2>/dev/null
	cp "$WORK/new.pem" "$WORK/$1.ca"
	mv "$WORK/new.key" "$WORK/host.key"
	mv "$WORK/new.pem" "$WORK/host.pem"
}
# tls_status CA ADDRESS PATH: status of a request that trusts only CA.
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
test "$(tls_status first "$operators" /health)" = 200 || fail "operators"
test "$(tls_status first "$callers" /health)" = 503 || fail "callers"
curl -s -o /dev/null "http://$callers/health" && fail "plaintext was answered"

# The platform is reached over TLS: a document can be accepted.
{
	say "deployment: tls"
	say "zones: [gs-a]"
	say "services:"
	print_service ordering /ordering/ 0 1 6 260 gs-a shares \
		"      - {method: GET, path: /ordering/, idempotent: true}"
} >"$WORK/document.yaml"
operator_cli 0 apply --ca "$WORK/first.ca" --author test "$WORK/document.yaml" ||
	fail "not accepted"
operator_cli 0 show --ca "$WORK/none" 2>/dev/null && fail "no authorities"
JACKDAWWORKS_TOKEN=$TOKEN "$BIN/jackdawworks" show --host 192.0.2.1:9 \
	2>"$WORK/refused" && fail "plaintext away from loopback"
grep -q 'needed' "$WORK/refused" || fail "no clear error"
test "$(tls_status first "$callers" /health)" = 200 || fail "not in force"

make_certificate second
for _ in $(seq 300); do
	test "$(tls_status second "$callers" /health)" = 200 && break
	sleep 0.05
done
test "$(tls_status second "$callers" /health)" = 200 || fail "not renewed"
test "$(tls_status first "$callers" /health)" = 000 || fail "old one still used"

# A platform with a certificate of another authority is not trusted.
PLATFORM_TLS="ca: $WORK/second.ca"
start_host 2 gs-a 1
counter() { sed -n "s/^jackdawworks_$1 //p" "$WORK/metrics"; }
# One answered request would make the two counters differ for good; a request
# on its way makes them differ for a moment.
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

# A key that does not match must not replace the certificate in use.
cp "$WORK/host.key" "$WORK/good.key"
sleep 0.1
say broken >"$WORK/host.key"
for _ in $(seq 300); do
	grep -q '"event":"tls".*host.key' "$WORK/entry0.log" && break
	sleep 0.05
done
grep -q '"event":"tls".*host.key' "$WORK/entry0.log" || fail "not noticed"
test "$(tls_status second "$callers" /health)" = 200 || fail "broken key in use"

write_settings 1 gs-a 1
sed -i "s/address: \"127.0.0.1:$((callers_port + 1))\"/address: \"192.0.2.1:80\"/
	s/certificate: [^,]*, key: [^}]*/plaintext: true/" "$WORK/entry1.yaml"
timeout 10 "$BIN/jackdawworks" serve "$WORK/entry1.yaml" 2>"$WORK/refused"
status=$?; test $status = 3 || { cat "$WORK/entry1.yaml" "$WORK/refused"; fail "plaintext on an outside address was accepted ($status)"; }
grep -q 'plaintext: only a loopback' "$WORK/refused" || fail "no clear error"
say passed
