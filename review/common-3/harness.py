"""Stand-ins and helpers that the cases of this review share.

A case runs the entry hosts as separate processes on loopback addresses. The
platform's store, the servers and the requesters are stand-ins in the process
of the case; they speak what PROTOCOL.md says. Only the standard library is
used.
"""
import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The command of the deploy file; the settings lie in a temporary folder.
HOST_COMMAND = [os.path.join(ROOT, "target", "jackdawworks"), "serve"]
HEARTBEAT_S = 1.5
HOST_NAME = "ficu95.example"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case could not be set up."""


def trouble():
    """Whether the disruption is wanted (TROUBLE=0: it is not)."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.begin

    def say(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), text))
            self.file.flush()

    def close(self):
        self.file.close()


class Listener:
    """A small HTTP/1.1 listener: one thread for each connection."""

    def __init__(self, port=0):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.open = True
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while self.open:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        try:
            reader = conn.makefile("rb")
            while self.one(conn, reader):
                pass
        except (OSError, ValueError):
            pass
        finally:
            conn.close()

    def one(self, conn, reader):
        line = reader.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = reader.readline()
            if not line:
                return False
            if not line.strip():
                break
            name, value = line.decode("latin-1").split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        return self.handle(conn, method, target, headers, body)

    def reply(self, conn, status, headers, body):
        head = "HTTP/1.1 %s\r\n" % status
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        conn.sendall(head.encode("latin-1") + body)
        return True


class Store(Listener):
    """The platform's metadata store: rows with parts, a feed, eras."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key): (version, value or None)
        self.ver = 0
        self.era = 1
        self.away = False  # every call gets 503
        self.start = time.monotonic()
        super().__init__()

    # What the operator, the servers and others write.

    def put(self, table, key, value, part=""):
        if isinstance(value, dict):
            value = json.dumps(value, separators=(",", ":")).encode()
        with self.lock:
            self.ver += 1
            self.rows[table, part, key] = (self.ver, base64.b64encode(value).decode())
            self.lock.notify_all()
            return self.ver

    def remove(self, table, key, part=""):
        with self.lock:
            self.ver += 1
            self.rows[table, part, key] = (self.ver, None)
            self.lock.notify_all()

    def copy(self):
        with self.lock:
            return dict(self.rows), self.ver

    def restore(self, copy):
        """Comes back from a copy: versions go back, the era rises by one."""
        with self.lock:
            self.rows, self.ver = dict(copy[0]), copy[1]
            self.era += 1
            self.lock.notify_all()

    # Calls.

    def handle(self, conn, method, target, headers, body):
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query, True).items()}
        if self.away:
            return self.answer(conn, "503 Service Unavailable", {})
        if path.endswith("/rows-tx") and method == "POST":
            return self.transact(conn, json.loads(body))
        if path.endswith("/rows-get"):
            return self.get(conn, args)
        if path.endswith("/rows-feed"):
            return self.feed(conn, args)
        return self.answer(conn, "404 Not Found", {})

    def answer(self, conn, status, value):
        value = dict(value, **{"ver": self.ver, "now-s": round(time.monotonic() - self.start, 3)})
        return self.reply(conn, status, [("Content-Type", "application/json"),
                                         ("Store-Era", str(self.era))],
                          json.dumps(value).encode())

    @staticmethod
    def row(name, held):
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": held[0]}
        if held[1] is None:
            row["deleted"] = True
        else:
            row["value"] = held[1]
        return row

    def transact(self, conn, call):
        with self.lock:
            entries = call.get("put", []) + call.get("remove", [])
            if any(e["table"] in ("op", "servers") for e in entries):
                return self.answer(conn, "403 Forbidden", {})
            for want in call.get("precondition", []):
                held = self.rows.get((want["table"], want["part"], want["key"]), (0, None))
                if (held[0] if held[1] is not None else 0) != want["ver"]:
                    return self.answer(conn, "412 Precondition Failed", {"rows": []})
            self.ver += 1
            for e in call.get("put", []):
                self.rows[e["table"], e["part"], e["key"]] = (self.ver, e["value"])
            for e in call.get("remove", []):
                self.rows[e["table"], e["part"], e["key"]] = (self.ver, None)
            self.lock.notify_all()
            return self.answer(conn, "200 OK", {})

    def get(self, conn, args):
        with self.lock:
            names = sorted((n for n, held in self.rows.items()
                            if n[0] == args["table"] and n[1] == args.get("part", "") and
                            held[1] is not None and n[2] >= args.get("from", "") and
                            ("target" not in args or n[2] < args["target"])),
                           key=lambda n: n[2].encode())
            limit = min(int(args.get("limit", 500)), 500)
            return self.answer(conn, "200 OK", {
                "rows": [self.row(n, self.rows[n]) for n in names[:limit]],
                "has-more": len(names) > limit})

    def feed(self, conn, args):
        after = int(args["after"])
        until = time.monotonic() + min(int(args.get("wait-ms", 0)), 30000) / 1000
        with self.lock:
            if after > self.ver:
                return self.answer(conn, "410 Gone", {})
            while True:
                names = [n for n, held in self.rows.items()
                         if n[0] == args["table"] and held[0] > after]
                left = until - time.monotonic()
                if names or left <= 0:
                    break
                self.lock.wait(left)
            names.sort(key=lambda n: self.rows[n][0])
            return self.answer(conn, "200 OK",
                               {"rows": [self.row(n, self.rows[n]) for n in names]})


class Server(Listener):
    """A sound server. FAIL, if set, may answer a request that it has run."""

    def __init__(self, record, store, name, service, work_s=0.005, slots=6):
        self.record, self.store = record, store
        self.name, self.service = name, service
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, attempt id, method, target)
        self.fail = None
        self.lock = threading.Lock()
        super().__init__()
        self.heartbeat()
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def heartbeat(self):
        self.sequence += 1
        self.store.put("servers", self.name, self.entry())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "kgn-a",
                "version": "v1", "slots": self.slots, "state": "ready",
                "warmup-left-s": 0, "sequence": self.sequence, "born": self.born}

    def heartbeats(self):
        while self.open:
            time.sleep(HEARTBEAT_S)
            if not self.store.away:
                self.heartbeat()

    def load(self):
        return [("Instance-Id", self.name),
                ("Server-Load", "%d,0,%d,100" % (self.running, self.slots))]

    def handle(self, conn, method, target, headers, body):
        attempt = headers.get("attempt-id", "")
        if target == "/health":
            return self.reply(conn, "200 OK", self.load(), b"")
        echo = [("Attempt-Id", attempt)]
        if headers.get("expect-instance", self.name) != self.name:
            return self.reply(conn, "421 Misdirected Request",
                              self.load() + echo + [("Not-Executed", "1")], b"")
        with self.lock:
            self.running += 1
            self.runs.append((self.record.now(), attempt, method, target))
        self.record.say("run    %s at %s (%s): %s %s" %
                        (attempt, self.name, self.service, method, target))
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        failure = self.fail and self.fail(self, attempt, method)
        if failure:
            status, more, text = failure
            self.record.say("failed %s at %s: %s" % (attempt, self.name, status))
            return self.reply(conn, status, self.load() + echo + more, text)
        return self.reply(conn, "200 OK", self.load() + echo + [
            ("Response-Signature", "sig.%s.%s" % (self.name, attempt))], self.name.encode())


def route(name, prefix, kind, service, timeout_s=1.0, attempts=2):
    return {"name": name, "host": HOST_NAME, "prefix": prefix, "route-kind": kind,
            "timeout-s": timeout_s, "target-latency-s": 0.3, "priority": 1,
            "max-attempts": attempts, "service": service}


def manifest(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health-check-path": "/health", "max-connections": 240}
                         for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                       "header-timeout-s": 5, "idle-timeout-s": 15}}


class Host:
    """An entry host: the project's program with settings as the deploy file fills them in."""

    def __init__(self, case, name, first_start):
        self.case, self.name = case, name
        self.front, self.readiness = free_port(), free_port()
        self.metrics, self.relay = free_port(), free_port()
        self.process = None
        self.boots = 0
        self.start(first_start)

    def settings(self, first_start):
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as f:
            text = f.read()
        values = {
            "node-name": self.name, "zone": "kgn-a", "bounds.grace-s": "6",
            "listen.front": "127.0.0.1:%d" % self.front,
            "listen.readiness": "127.0.0.1:%d" % self.readiness,
            "ip": "127.0.0.1", "internal-ports.0": str(self.metrics),
            "internal-ports.1": str(self.relay),
            "platform.address": self.case.store.address,
            "bounds.retry-budget-slack": "60", "limits.cpu-share": "0.2",
            "limits.memory-mb": "260", "bounds.config-apply-s": "2", "bounds.drain-s": "2",
        }
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, value)
        out, skip = [], None
        for line in text.split("\n"):
            word = line.strip()
            if word.startswith("{{#"):
                skip = not (word == "{{#bootstrap}}" and first_start)
            elif word.startswith("{{/"):
                skip = None
            elif not skip:
                out.append(line)
        text = "\n".join(out)
        if "{{" in text:
            raise CouldNotRun("settings: a field is not filled in")
        return text

    def start(self, first_start=False):
        path = os.path.join(self.case.work, "%s.yaml" % self.name)
        with open(path, "w") as f:
            f.write(self.settings(first_start))
        self.boots += 1
        log = open(os.path.join(self.case.work, "%s.%d.log" % (self.name, self.boots)), "w")
        self.process = subprocess.Popen(HOST_COMMAND + [path], cwd=ROOT, stdout=log,
                                        stderr=subprocess.STDOUT)
        self.case.record.say("start  %s, boot %d" % (self.name, self.boots))

    def log(self):
        with open(os.path.join(self.case.work, "%s.%d.log" % (self.name, self.boots))) as f:
            return f.read()

    def ready(self):
        try:
            url = "http://127.0.0.1:%d/jackdawworks/readiness" % self.readiness
            return urllib.request.urlopen(url, timeout=1).status == 200
        except OSError:
            return False

    def wait_ready(self, within_s=15):
        until = time.monotonic() + within_s
        while not self.ready():
            if self.process.poll() is not None or time.monotonic() > until:
                raise CouldNotRun("%s is not ready" % self.name)
            time.sleep(0.05)

    def stop(self, grace_s=6):
        """SIGTERM, and SIGKILL after the grace, as the platform stops a process."""
        self.process.terminate()
        self.case.record.say("SIGTERM to %s" % self.name)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.case.record.say("%s has ended: %d" % (self.name, self.process.returncode))

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.case.record.say("killed %s" % self.name)

    def call(self, method, target, attempt, deadline_ms=1000, body=None, headers=None):
        """Sends one request on a new connection. Returns status, headers, body; status 0:
        none came."""
        sent = self.case.record.now()
        all_headers = {"Host": HOST_NAME, "Attempt-Id": attempt,
                       "Deadline-Ms": str(deadline_ms)}
        all_headers.update(headers or {})
        conn = http.client.HTTPConnection("127.0.0.1", self.front, timeout=deadline_ms / 1000 + 1)
        try:
            conn.request(method, target, body=body, headers=all_headers)
            answer = conn.getresponse()
            result = (answer.status, answer.headers, answer.read())
        except (OSError, http.client.HTTPException):
            result = (0, {}, b"")
        finally:
            conn.close()
        self.case.record.say("answer %s from %s: %s %s, sent at %.3f: %d %s" % (
            attempt, self.name, method, target, sent, result[0], result[2][:40]))
        return sent, result


class Case:
    """Owns the folder, the record and every process of a case."""

    def __init__(self, folder):
        self.folder = folder
        self.work = tempfile.mkdtemp(prefix="case-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.record.say("TROUBLE=%d" % trouble())
        self.store = Store(self.record)
        self.hosts, self.servers = [], []

    def server(self, name, service, **kw):
        self.servers.append(Server(self.record, self.store, name, service, **kw))
        return self.servers[-1]

    def host(self, name, first_start=True):
        self.hosts.append(Host(self, name, first_start))
        return self.hosts[-1]

    def put_manifest(self, value):
        self.store.put("op", "config", value)
        self.record.say("ack    manifest version %d" % value["version"])
        return self.record.now()

    def finish(self):
        for host in self.hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        self.record.close()
        if os.environ.get("KEEP_WORK"):
            print(self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def main(folder, play):
    """Runs PLAY(case), which returns a list of what broke the rule."""
    if not os.access(HOST_COMMAND[0], os.X_OK):
        print("target/jackdawworks is not built")
        return COULD_NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    case = Case(folder)
    try:
        broken = play(case)
    except CouldNotRun as problem:
        case.record.say("could not run: %s" % problem)
        print("could not run: %s" % problem)
        return COULD_NOT_RUN
    finally:
        if sys.exc_info()[0] not in (None, CouldNotRun):
            case.record.say("ended early")
        verdict = locals().get("broken")
        if verdict is not None:
            case.record.say("verdict: %s" % ("the rule is broken, %d times" % len(verdict)
                                             if verdict else "the rule held"))
            for line in verdict[:5]:
                case.record.say("  " + line)
        case.finish()
    for line in broken[:5]:
        print(line)
    print("the rule is broken, %d times" % len(broken) if broken else "the rule held")
    return BROKEN if broken else HELD
