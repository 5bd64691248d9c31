"""Orders that servers ran and answered 503 to, without Not-Executed."""
import random
import sys
import threading
import time

from harness import main, manifest, route, trouble

# As srv_grey on bluemahoe-gw: share 0.14 of the servers, x 0.45 of their requests.
SERVERS = 15
FAILING = 2
FAILED_SHARE = 0.45
LENGTH_S = 6.0
CALLERS = 16
PAUSE_S = 0.01
PROMISES = (408, 421, 429, 503)


def fail_some(server, attempt, method):
    """The order has run; the server fails after that. Nothing says that it has not run."""
    if random.random() >= FAILED_SHARE:
        return None
    return ("503 Service Unavailable", [("Response-Signature", "sig.%s.%s" % (server.name, attempt))],
            b"recorded, but the confirmation could not be made")


def place_orders(host, caller, stop, answers):
    """As requesters do: an order is sent once more after a promise that it has not run."""
    number = 0
    while not stop.is_set():
        number += 1
        target = "/orders/%d-%d" % (caller, number)
        for attempt_number in (1, 2):
            attempt = "%d-%d.%d" % (caller, number, attempt_number)
            _, (status, _, _) = host.call("POST", target, attempt, body=b"two rolls")
            answers.append((attempt, target, status))
            if status not in PROMISES:
                break
        time.sleep(PAUSE_S)


def play(case):
    random.seed(11)
    case.put_manifest(manifest(1, [route("order-place", "/orders/", "unsafe", "yard-desk")],
                               ["yard-desk"]))
    for i in range(SERVERS):
        case.server("i-%d" % i, "yard-desk", work_s=0.06, slots=3)
    host = case.host("front-kgn-a-1")
    host.wait_ready()
    time.sleep(1)
    if trouble():
        for server in case.servers[:FAILING]:
            server.fail = fail_some
            case.record.say("%s fails part of its requests from now on, health good" % server.name)
    stop, answers = threading.Event(), []
    callers = [threading.Thread(target=place_orders, args=(host, i, stop, answers))
               for i in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(LENGTH_S)
    stop.set()
    for caller in callers:
        caller.join()
    runs = {}
    for server in case.servers:
        for _, attempt, _, target in server.runs:
            runs.setdefault(attempt, []).append(server.name)
    case.record.say("%d requests, %d ran" % (len(answers), len(runs)))
    return ["%s (%s) ran at %s and was answered %d" % (attempt, target, runs[attempt][0], status)
            for attempt, target, status in answers if status in PROMISES and attempt in runs]


sys.exit(main(sys.path[0], play))
