"""Stand-ins for the review's cases: a client that speaks FastCGI, depots with a parent and an origin behind them, an
event bus, and the doorman as a separate process, started with `run` of the deploy file. Standard library only. All
sockets are on 127.0.0.1, at ports that were free a moment ago.

Each stand-in behaves as the pages describe a sound one; what a case disturbs, it does itself and writes down."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT = 0, 1, 2
MS = 1_000_000


class Cannot(Exception):
    """The case could not be played."""


def now_ms():
    return time.time() * 1000.0


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = now_ms()

    def __call__(self, text):
        self.file.write("%9.1f ms  %s\n" % (now_ms() - self.start, text))


def free_ports(n):
    """Below the ports that the system gives to outgoing connections: none of those takes one before it is listened on."""
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range") as f:
            top = min(int(f.read().split()[0]), 32768)
    except (OSError, ValueError):
        top = 32768
    ports, draw = [], random.SystemRandom()
    for _ in range(1000):
        port = draw.randrange(10000, top) if top > 12000 else 0
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            if s.getsockname()[1] not in ports:
                ports.append(s.getsockname()[1])
        if len(ports) == n:
            return ports
    raise Cannot("there are no free ports")


def body_of(thing, nth, version, size):
    line = ("%s %s v%d " % (thing, nth, version)).encode()
    return (line * (size // len(line) + 1))[:size]


# ---- Depots. A copy is (version, born in Unix ms). The origin has the truth; what it runs is written down.
class Request:
    def __init__(self, depot, ident, fields, body):
        self.depot, self.id, self.fields, self.body = depot, ident, fields, body
        self.at = now_ms()
        self.aborted = False
        self.copy = None  # from which it was answered

    def get(self, name, default=None):
        return self.fields.get(name, default)


class Origin:
    """Makes copies, and runs the requests of classes that are never kept. It drops a repeat of a key that it was
    given in `replay` for `key_ttl_ms` (pages: a keyed class; the ledger drops a repeat)."""

    def __init__(self, record, key_ttl_ms=2000):
        self.record, self.key_ttl_ms = record, key_ttl_ms
        self.versions, self.keys, self.runs = {}, {}, []

    def copy(self, thing):
        return self.versions.setdefault(thing, 1), now_ms()

    def change(self, thing):
        self.versions[thing] = self.versions.get(thing, 1) + 1

    def run(self, request):
        key = request.get("replay")
        seen = self.keys.get(key) if key else None
        what = request.body.decode("latin-1")
        if seen is not None and now_ms() - seen < self.key_ttl_ms:
            self.record("origin drops a repeat of key %s: id=%s body=%s" % (key, request.id, what))
            return
        if key:
            self.keys[key] = now_ms()
        self.runs.append((now_ms(), request.id, what))
        self.record("origin RUNS id=%s via %s body=%s replay=%s" % (request.id, request.depot.name, what, key or "-"))


class Depot:
    """One depot on a listening socket of its own."""

    def __init__(self, site, number, kind="small-box", zone="edge-1"):
        self.site, self.number, self.kind, self.zone = site, number, kind, zone
        self.name = "s-%08x" % number
        self.port = free_ports(1)[0]
        self.state, self.born_ms, self.share = 0, 0, 40
        self.copies = {}
        self.heard = []  # every fetch, in order
        self.answer = None  # of a case: async f(depot, request, say, writer) -> True if it dealt with it
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20, backlog=512)

    async def serve(self, reader, writer):
        open_here = {}
        tasks = set()
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                words = line.decode("latin-1").split()
                if words[0] == "abort":
                    if words[1] in open_here:
                        open_here.pop(words[1]).aborted = True
                    self.site.record("%s hears abort %s" % (self.name, words[1]))
                    continue
                if words[0] in ("alive", "stats"):
                    writer.write(("%s FIT - 0\r\n\r\n" % words[1]).encode())
                    continue
                fields = {} if words[2] == "-" else dict(f.split("=", 1) for f in words[2].split(","))
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                request = Request(self, words[1], fields, body)
                self.heard.append(request)
                open_here[request.id] = request
                if self.site.verbose:
                    self.site.record("%s hears fetch %s %s" % (self.name, request.id, words[2]))
                task = asyncio.ensure_future(self.deal(request, writer, open_here))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for request in open_here.values():
                request.aborted = True
            writer.close()

    async def deal(self, request, writer, open_here):
        def say(word, fields="-", data=b""):
            open_here.pop(request.id, None)
            if request.aborted or writer.is_closing():
                return
            writer.write(("%s %s %s %d\r\n" % (request.id, word, fields, len(data))).encode() + data + b"\r\n")
            if self.site.verbose:
                self.site.record("%s says %s %s %s %d" % (self.name, request.id, word, fields, len(data)))
        if self.answer is not None and await self.answer(self, request, say, writer):
            return
        await self.plain(request, say)

    async def plain(self, request, say):
        """As a sound depot does it."""
        await asyncio.sleep(0.005)
        if request.aborted:
            return say("PAST")
        site, origin = self.site, self.site.origin
        profile, thing, nth = request.get("profile"), request.get("thing"), request.get("nth")
        rules = site.classes.get(profile)
        if rules is None:
            return say("BROKE")
        source = request.get("from")
        if rules["never_kept"]:
            if source is None:
                return say("LACK")
            origin.run(request)
            return say("DONE", "ver=%s,born=%d,remark=filled" % (request.id, now_ms()), b"done " + request.body)
        oldest = float(request.get("oldest") or 0) or rules["fresh_ms"]
        key = (thing, nth)

        def good(copy):
            return copy is not None and (oldest <= 0 or now_ms() - copy[1] <= oldest)
        copy, remark = self.copies.get(key), "hit"
        if not good(copy):
            if source is None:
                return say("LACK")
            parent = site.depot(source)
            copy, remark = parent.copies.get(key) if parent and parent.kind == "parent" else None, "filled"
            if not good(copy):
                if "only-if-cached" in request.get("mode", ""):
                    return say("LACK", "remark=src_lacks")
                await asyncio.sleep(0.02)
                copy, remark = origin.copy(thing), "via_origin"
                if parent and parent.kind == "parent":
                    parent.copies[key] = copy
            if int(request.get("rank", "0")) > 0:
                self.copies[key] = copy
        request.copy = copy
        data = body_of(thing, nth, copy[0], site.size_of(thing))
        say("DONE", "ver=v%d,born=%d,remark=%s" % (copy[0], copy[1], remark), data)


# ---- The event bus: numbered events, told to whoever asks from a number on; an empty frame each second.
class Bus:
    def __init__(self, site):
        self.site, self.port = site, free_ports(1)[0]
        self.frames = []  # (number, bytes)
        self.number = 0
        self.writers, self.server, self.before_first = set(), None, 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        """Down: the listening socket is closed, and so are the open connections."""
        if self.server:
            self.server.close()
            self.server = None
        for w in list(self.writers):
            w.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.site.record("bus: the doorman asks for what follows %d" % last)
            if self.before_first > 0:
                await asyncio.sleep(self.before_first)
            for number, frame in self.frames:
                if number > last:
                    writer.write(frame)
            self.writers.add(writer)
            while not writer.is_closing():
                writer.write(struct.pack(">IQB", 9, 0, 0))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def put(self, kind, payload):
        self.number += 1
        frame = struct.pack(">IQB", 9 + len(payload), self.number, kind) + payload
        self.frames.append((self.number, frame))
        for w in self.writers:
            w.write(frame)
        return self.number

    def change(self, depots):
        payload = b"".join(d_record(self.site, d) for d in depots)
        n = self.put(2, payload)
        self.site.record("bus event %d: %s" % (n, ", ".join(
            "%s %s" % (d.name, ("ready", "drains", "gone")[d.state]) for d in depots)))

    def purge_object(self, thing):
        ts = int(now_ms())
        n = self.put(3, struct.pack(">QQ", int(thing, 16), ts))
        self.site.record("bus event %d: purge of object %s at %d" % (n, thing, ts))
        return ts

    def purge_group(self, group):
        ts = int(now_ms())
        n = self.put(4, struct.pack(">HQ", group, ts))
        self.site.record("bus event %d: purge of group %d at %d" % (n, group, ts))
        return ts


def d_record(site, d):
    return struct.pack(">I4sHBBBHIQ", d.number, socket.inet_aton("127.0.0.1"), d.port, d.state,
                       site.zones.index(d.zone), site.kinds.index(d.kind), 0, d.share * 1000, d.born_ms)


# ---- A client's connection.
class Answer:
    def __init__(self, status, headers, body, end):
        self.status, self.headers, self.body, self.end = status, headers, body, end

    @property
    def kind(self):
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) or self.end == 2 else "failed"

    def __str__(self):
        return "%s (status %s, %d bytes)" % (self.kind, self.status, len(self.body))


class Client:
    """One FastCGI connection. `rate`: bytes a second that it reads at most; 0: as they come."""

    def __init__(self, site, rate=0):
        self.site, self.rate = site, rate
        self.sock, self.loop = None, asyncio.get_running_loop()
        self.open, self.streams, self.buffer, self.why = {}, {}, b"", None
        self.ended = self.loop.create_future()
        self.received = 0

    async def connect(self, port=None):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self.loop.sock_connect(self.sock, ("127.0.0.1", port or self.site.port))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def send(self, number, params, body=b""):
        """A future with the Answer; None: the connection ended without a whole one."""
        def rec(kind, content=b""):
            pad = -len(content) % 8
            return struct.pack(">BBHHBB", 1, kind, number, len(content), pad, 0) + content + b"\0" * pad
        pairs = b""
        for k, v in params.items():
            k, v = k.encode(), str(v).encode()
            pairs += bytes([len(k), len(v)]) + k + v
        data = rec(1, struct.pack(">HB5x", 1, 1)) + rec(4, pairs) + rec(4)
        for i in range(0, len(body), 60000):
            data += rec(5, body[i:i + 60000])
        done = self.loop.create_future()
        self.open[number] = done
        self.streams[number] = b""
        try:
            await self.loop.sock_sendall(self.sock, data + rec(5))
        except OSError as e:
            self.end("write: %s" % e.strerror)
        return done

    async def abort(self, number):
        await self.loop.sock_sendall(self.sock, struct.pack(">BBHHBB", 1, 2, number, 0, 0, 0))

    async def read(self):
        step = max(1024, int(self.rate * 0.02)) if self.rate else 1 << 18
        due = time.monotonic()
        try:
            while True:
                data = await self.loop.sock_recv(self.sock, step)
                if not data:
                    return self.end("end of file")
                self.received += len(data)
                self.buffer += data
                self.take()
                if self.rate:
                    due = max(due + len(data) / self.rate, time.monotonic() - 0.1)
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
        except OSError as e:
            self.end(e.strerror)
        except asyncio.CancelledError:
            pass

    def take(self):
        at, size = 0, len(self.buffer)
        while size - at >= 8:
            _, kind, number, length, pad, _ = struct.unpack_from(">BBHHBB", self.buffer, at)
            if size - at < 8 + length + pad:
                break
            content = self.buffer[at + 8:at + 8 + length]
            at += 8 + length + pad
            if kind == 6 and number in self.streams:
                self.streams[number] += content
            elif kind == 3 and number in self.open:
                self.whole(number, content[4])
        self.buffer = self.buffer[at:]

    def whole(self, number, end):
        out = self.streams.pop(number)
        head, _, body = out.partition(b"\r\n\r\n")
        headers = dict(h.split(": ", 1) for h in head.decode("latin-1").split("\r\n") if ": " in h)
        status = int(headers.get("Status", "0 ").split()[0] or 0)
        done = self.open.pop(number)
        if not done.done():
            done.set_result(Answer(status, headers, body, end))

    def end(self, why):
        if self.why is None:
            self.why = why
        for done in self.open.values():
            if not done.done():
                done.set_result(None)
        self.open.clear()
        if not self.ended.done():
            self.ended.set_result(why)

    def close(self):
        self.task.cancel()
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()


# ---- The doorman.
class Doorman:
    def __init__(self, site, name="doorman", extra_env=None, pass_fds=()):
        self.site, self.name = site, name
        env = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "ANISEWICK_"))}
        env.update({"RELAY_NAME": "n0", "RELAY_CONFIG": site.config_path, "TMPDIR": site.tmp,
                    "RELAY_LISTEN": "127.0.0.1:%d" % site.port, "RELAY_OPS": "127.0.0.1:%d" % site.ops})
        env.update(extra_env or {})
        self.env, self.pass_fds, self.process = env, pass_fds, None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.site.run, cwd=ROOT, env=self.env, pass_fds=self.pass_fds,
            start_new_session=True, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        self.site.doormans.append(self)
        self.site.record("%s started" % self.name)
        self.log = asyncio.ensure_future(self.read_log())

    async def read_log(self):
        while True:
            line = await self.process.stdout.readline()
            if not line:
                break
            self.site.record("%s writes: %s" % (self.name, line.decode("latin-1").rstrip()))
        await self.process.wait()
        self.site.record("%s ended with %s" % (self.name, self.process.returncode))

    @property
    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.alive:
            self.site.record("%s gets %s" % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    async def end(self):
        if not self.alive:
            return
        os.killpg(self.process.pid, signal.SIGKILL)
        await self.process.wait()

    async def call(self, method, path, port=None):
        """At the operators' door: the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.site.ops)
        writer.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % (method, path)).encode())
        line = await asyncio.wait_for(reader.readline(), 3)
        writer.close()
        status = int(line.split()[1])
        self.site.record("operators' call to %s: %s %s -> %d" % (self.name, method, path, status))
        return status


class Site:
    """A small centre: two caches, a parent, the origin, an event bus; one doorman."""
    zones = ["main-hub", "edge-1"]
    kinds = ["small-box", "parent", "origin"]

    def __init__(self, folder, classes=None, limits=None, verbose=True, caches=2, key_ttl_ms=2000):
        self.record, self.verbose = Record(folder), verbose
        self.doormans = []
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            found = re.search(r'^run\s*=\s*"([^"]*)"', f.read(), re.M)
        self.run = found.group(1) if found else ""
        self.record("TROUBLE=%d; run: %s" % (TROUBLE, self.run))
        if not found or not os.access(os.path.join(ROOT, self.run.split()[-1]), os.X_OK):
            raise Cannot("the program of `run` is not built")
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.config_path = os.path.join(self.tmp, "config.json")
        os.makedirs(os.path.join(self.tmp, "t"))
        self.folder, self.tmp = self.tmp, os.path.join(self.tmp, "t")
        self.port, self.ops = free_ports(2)
        self.origin = Origin(self.record, key_ttl_ms)
        self.bus = Bus(self)
        self.limits = limits or {"cores": 1.0, "memory_mb": 128, "sockets": 512}
        self.size = 2000
        self.sizes = {}
        self.depots = [Depot(self, 0x11 + i) for i in range(caches)]
        self.depots.append(Depot(self, 0x51, "parent", "main-hub"))
        self.depots.append(Depot(self, 0x91, "origin", "main-hub"))
        self.client_kb_per_s = 10500.0
        self.set_classes(classes or [video(), page(), booking()])
        self.known_number = 0
        self.known = []

    def set_classes(self, classes):
        self.class_list = classes
        self.classes = {c["name"]: {"fresh_ms": c["_fresh"] / MS, "never_kept": c["_never"]} for c in classes}

    def caches(self):
        return [d for d in self.depots if d.kind == "small-box"]

    def depot(self, name):
        return next((d for d in self.depots if d.name == name), None)

    def size_of(self, thing):
        return self.sizes.get(thing, self.size)

    def config(self):
        cs = self.class_list
        return {
            "name": "n0", "listen": "127.0.0.1:%d" % self.port, "ops": "127.0.0.1:%d" % self.ops,
            "seed": "5b1e07c4d2a98f36", "limits": self.limits, "bus": "127.0.0.1:%d" % self.bus.port,
            "known": {"offset": self.known_number, "batch": self.known},
            "settings": {
                "index": 0, "n_instances": 1, "my_zone": 1, "zones": self.zones, "machine_types": self.kinds,
                "weight_source": "nominal", "tick": 2 * MS, "discovery": "push",
                "categories": [{k: v for k, v in c.items() if not k.startswith("_")} for c in cs],
                "family_info": {
                    "class_fresh": [c["_fresh"] for c in cs], "grace_for": [0 for _ in cs],
                    "never_kept": [c["_never"] for c in cs], "in_parts": [False for _ in cs], "mid_kind": 1,
                    "store_kind": 2, "client_kb_per_s": self.client_kb_per_s, "can_join": True,
                    "notes_given": "all", "zone_hub": [0, 0], "seats_by_zone": [0, 1],
                    "purge_grace": 1000 * MS, "purge_settles": 6000 * MS, "upper_cold_from": 0.061,
                    "upper_cold": 22000 * MS, "parent_fall_multiple": 2.0},
                "rules": {"cold_from": 0.2, "ramp_time": 16000 * MS, "fall_multiple": 3.0, "fall": 1000 * MS,
                          "drain_grace": 250 * MS},
                "limits": {"cancel": True, "max_attempts": 8, "max_retry_after": 1000 * MS, "max_streams": 100,
                           "second_copies": False, "connect_timeout": 400 * MS, "conn_idle": 30000 * MS}}}

    def write_config(self):
        draft = self.config_path + ".new"
        with open(draft, "w") as f:
            json.dump(self.config(), f, indent=1)
        os.rename(draft, self.config_path)

    async def start(self):
        self.known = [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": [
            {"host": d.name, "dial": "127.0.0.1:%d" % d.port, "site": d.zone, "class": d.kind, "block": 0,
             "health": "Ready", "share": d.share, "born_ms": d.born_ms} for d in self.depots]}}]
        self.known_number = 1
        self.bus.put(1, b"".join(d_record(self, d) for d in self.depots))
        for d in self.depots:
            await d.start()
        await self.bus.start()
        self.write_config()

    async def doorman(self, **more):
        d = Doorman(self, **more)
        await d.start()
        return d

    async def ready(self, doorman, port=None, patience=10.0):
        """As the front finds out: /_health at the clients' address."""
        limit = time.monotonic() + patience
        while time.monotonic() < limit and doorman.alive:
            try:
                c = await Client(self).connect(port)
                a = await asyncio.wait_for(await c.send(1, {"SCRIPT_NAME": "/_health"}), 2)
                c.close()
                if a is not None and a.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise Cannot("the doorman does not get ready")

    async def close(self):
        for d in self.doormans:
            await d.end()
        for d in self.doormans:
            await asyncio.wait([d.log], timeout=2)
        shutil.rmtree(self.folder, ignore_errors=True)


def video(**more):
    return dict({"name": "guide-video", "aim": 400 * MS, "aim_stretch": 1.6, "deadline": 5000 * MS, "credit": 2.0,
                 "late_worth": 0.15, "repeat": "free", "_fresh": 0, "_never": False}, **more)


def page(**more):
    return dict({"name": "slot-page", "aim": 400 * MS, "aim_stretch": 2.0, "deadline": 2500 * MS, "credit": 1.0,
                 "late_worth": 0.2, "repeat": "free", "_fresh": 8000 * MS, "_never": False}, **more)


def booking(**more):
    return dict({"name": "book-slot", "aim": 600 * MS, "deadline": 3000 * MS, "credit": 3.0,
                 "repeat": "single_shot", "_fresh": 0, "_never": True}, **more)


def payment(**more):
    return dict({"name": "payment-post", "aim": 600 * MS, "deadline": 3000 * MS, "credit": 3.0, "repeat": "guarded",
                 "key_scope": "all", "key_ttl": 2000 * MS, "_fresh": 0, "_never": True}, **more)


class Ids:
    def __init__(self, start=0x1000):
        self.n = start

    def __call__(self):
        self.n += 1
        return "%016x" % (0xa5a5000000000000 + self.n)


def thing(n):
    return "%016x" % (0x7f3a9c2100000000 + n)


def params(profile, ident, obj, patience_ms, kb=40.0, group=17, **more):
    p = {"SCRIPT_NAME": "/invoke/" + profile, "HTTP_X_CALL_ID": ident, "HTTP_X_ENTITY": obj, "HTTP_X_NTH": "0",
         "HTTP_X_BATCH": str(group), "HTTP_X_HEAP_KB": "%.1f" % kb, "HTTP_X_PATIENCE_MS": str(patience_ms)}
    p.update(more)
    return p


def play(case, limit_s=110, **site_args):
    """Runs `async case(site) -> list of breaks` and ends the process: 0 held, 1 broken, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def go():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        site = Site(folder, **site_args)
        try:
            return site, await asyncio.wait_for(case(site), limit_s)
        except (Cannot, OSError, asyncio.TimeoutError) as e:
            raise Cannot("%s %s" % (type(e).__name__, e))
        finally:
            await site.close()
    try:
        site, breaks = asyncio.run(go())
    except (Cannot, asyncio.CancelledError) as e:
        print("could not run: %s" % (e or "told to end"))
        sys.exit(CANNOT)
    except Exception:  # a fault of the case itself is no verdict
        traceback.print_exc()
        sys.exit(CANNOT)
    for b in breaks:
        site.record("BROKEN: " + b)
        print("BROKEN: " + b)
    if not breaks:
        site.record("held")
        print("held")
    sys.exit(BROKEN if breaks else HELD)
