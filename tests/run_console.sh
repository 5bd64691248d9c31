#!/bin/bash
# The web console over HTTP. Guards against access without a session, forged
# forms, errors that are not shown beside their field, loss of typed input, and
# acceptance of a form whose base generation is out of date.
set -u
PORT_BASE=${PORT_BASE:-27000}
. "$(dirname "$0")/lib.sh"

url=127.0.0.1:$operators_port/console
jar=$WORK/jar
page=$WORK/page
fail() { say "FAILED: $*"; exit 1; }
# fetch EXPECTED-STATUS CURL-ARGUMENTS...: fails unless the request is answered
# with that status. The body is in $page.
fetch() {
	want=$1
	shift
	got=$(curl -s -b "$jar" -c "$jar" -o "$page" -w '%{http_code}' "$@")
	test "$got" = "$want" || fail "status $got instead of $want: $*"
}
# page_has TEXT: fails unless the last page contains TEXT.
page_has() { grep -qF -- "$1" "$page" || fail "page lacks: $1"; }
# form_token: prints the form token of the last page.
form_token() { sed -n 's/.*name="form_token" value="\([0-9a-f]*\)".*/\1/p' "$page"; }

start_platform || exit 1
start_host 0 gs-a 1
wait_http "127.0.0.1:$operators_port" /health || exit 1

# Without a session no page is shown, and a wrong token does not open a session.
fetch 401 "$url"
fetch 401 -d token=wrong "$url/login"
fetch 401 "$url/history"
fetch 303 --data-urlencode "token=$TOKEN" "$url/login"
fetch 200 "$url"
page_has 'name="deployment"'

form=$(form_token)
post_form() { # EXPECTED-STATUS ACTION FIELD=VALUE...
	want=$1
	action=$2
	shift 2
	args=()
	for field in "$@"; do args+=(--data-urlencode "$field"); done
	fetch "$want" --data-urlencode "form_token=$form" \
		--data-urlencode "action=$action" "${args[@]}" "$url/document"
}
fields=(author=nia base=0 deployment=tri-parish zones=gs-a services.0._=
	services.0.name=ordering services.0.route=/ordering/
	services.0.measuring.requests_per_s=10
	services.0.measuring.bytes_per_s=1000
	services.0.measuring.cross_zone_bytes_per_s=100
	services.0.servers.0._= services.0.servers.0.name=ord-1
	services.0.servers.0.address=127.0.0.1:9 services.0.servers.0.zone=gs-a
	services.0.servers.0.slots=6 services.0.servers.0.connections=260)

# A form without the session's token must be rejected as forged.
form=0000
post_form 401 accept "${fields[@]}"
form=$(fetch 200 "$url"; form_token)
test -n "$form" || fail "no form token"

# An error is shown beside its field, the input is kept, and markup in it is
# escaped.
post_form 422 accept "${fields[@]}" 'services.0.servers.0.zone=gs-x"><b>'
page_has 'value="gs-x&quot;&gt;&lt;b&gt;"><span class="error">zone'
page_has 'value="127.0.0.1:9"'
post_form 422 accept "${fields[@]}" services.0.servers.0.slots=many
page_has 'value="many" inputmode="numeric"><span class="error">&quot;many&quot; is not'
post_form 422 accept "${fields[@]}" services.0.servers.0.address=
page_has '<span class="error">missing</span>'

# Rows of a list can be added and removed without losing typed input.
post_form 200 add:services.0.servers "${fields[@]}"
page_has 'name="services.0.servers.1.name"'
page_has 'value="ord-1"'
post_form 200 remove:services.0.servers.0 "${fields[@]}"
grep -q 'value="ord-1"' "$page" && fail "removed row is still shown"

post_form 200 check "${fields[@]}"
page_has 'The document is valid.'
post_form 200 accept "${fields[@]}"
page_has 'Accepted as generation 1.'

# Another operator has changed the document meanwhile: the input is kept and can
# be submitted on the new generation.
post_form 422 accept "${fields[@]}" deployment=tri-parish-2
page_has 'Not accepted'
page_has 'Continue on generation 1'
page_has 'value="tri-parish-2"'
post_form 200 rebase "${fields[@]}" deployment=tri-parish-2
page_has 'name="base" value="1"'
post_form 200 accept "${fields[@]}" deployment=tri-parish-2 base=1
page_has 'Accepted as generation 2.'

fetch 200 "$url/status"
page_has 'generation 2 in force'
page_has '<td>ordering</td>'
fetch 200 "$url/history"
page_has 'nia'
grep -q "$TOKEN" "$page" "$WORK/entry0.log" &&
	fail "the operators' token is in a page or in the log"

# A key is stored but never shown, and a form that shows its digest keeps it.
fields+=(author=nia base=2 customers.0._= customers.0.name=acme
	customers.0.quota.requests_per_s=2.5)
post_form 422 check "${fields[@]}" customers.0.keys=key-acme,key-acme
page_has 'value="key-acme,key-acme"><span class="error">a key is listed twice'
post_form 200 accept "${fields[@]}" customers.0.keys=key-acme
page_has 'Accepted as generation 3.'
fetch 200 "$url"
page_has 'name="customers.0.quota.requests_per_s" value="2.5"'
hidden=$(sed -n 's/.*name="customers.0.keys" value="\(#[0-9a-f]*\)".*/\1/p' "$page")
test ${#hidden} = 13 || fail "the key has no digest: $hidden"
grep -q key-acme "$page" && fail "the key is shown"
post_form 200 check "${fields[@]}" "customers.0.keys=$hidden, key-2" base=3
page_has 'keys: 1 -&gt; 2, 1 added: #'
grep -q key-acme "$page" && fail "the key is shown after a check"
post_form 200 accept "${fields[@]}" "customers.0.keys=$hidden, key-2" base=3
operator_cli 0 show | grep -q 'keys: \[key-acme, key-2\]' || fail "the key is lost"
post_form 422 check "${fields[@]}" "customers.0.keys=#0123456789ab"
page_has 'value="#0123456789ab"><span class="error">a key may only'
fetch 200 "$url/history"
grep -qE 'key-(acme|2)' "$page" "$WORK/entry0.log" &&
	fail "a key is in the audit trail or in the log"

# Malformed input must not end the process.
fetch 400 -d 'a=%zz' "$url/document"
head -c 200000 /dev/urandom >"$WORK/random"
curl -s -o /dev/null -b "$jar" --data-binary "@$WORK/random" "$url/document"
fetch 200 "$url"
say passed
