#!/bin/bash
# Guards against an interim answer to a caller over HTTP/1.0 that sends "expect:
# 100-continue". HTTP/1.0 has none: such a caller may take it for its answer, and the answer
# for a body. RFC 9110, 10.1.1: a server must ignore the header there.
set -u
PORT_BASE=${PORT_BASE:-31300}
. "$(dirname "$0")/lib_wire.sh"

start_answers "$(print_route order /order/ unsafe desk)"
check_expecting 1.0 "200 body end=eof "
report_failures
