"""Stand-ins for databases, platform, operator, clients and links, after PROTOCOL.md and DEPLOY.md.

Everything listens on loopback addresses only. The programs under test run as processes of their own.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BEAT_S = 1.2
DRAIN_MS = 7000
GRACE_S = 6
CONFIG_APPLY_MS = 3000
TX_IDLE_MS = 3000
PROMOTE_S = 0.3
LAG_S = 0.02


class Record:
    """What was sent, answered and run; times are seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Net:
    """Addresses of one run: hosts of 127.x.y.0/24, with the same ports on every host."""

    def __init__(self):
        for _ in range(50):
            self.net = f"127.{random.randint(11, 250)}.{random.randint(1, 250)}"
            base = random.randint(20000, 28000)
            self.peer, self.control, self.front, self.ready, self.db, self.metrics, self.relay = (base + i for i in range(7))
            if all(self.free(host) for host in (1, 2, 3, *range(11, 23), *range(31, 43), *range(101, 112), *range(151, 162), 200)):
                return
        print("no free ports")
        sys.exit(2)

    def free(self, host):
        for port in (self.peer, self.control, self.front, self.ready, self.db, self.metrics, self.relay):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((f"{self.net}.{host}", port))
                except OSError:
                    return False
        return True

    def host(self, number):
        return f"{self.net}.{number}"


# -- plain HTTP ---------------------------------------------------------------------------------------------------------


async def read_http(reader):
    """The first line, the headers and the body of a message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for each in lines[1:]:
        if ":" in each:
            key, value = each.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call_http(host, port, method, path, body=b"", timeout=1.0):
    """(status, body), or (None, reason)."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n".encode() + body
            )
            line, _, answer = await read_http(reader)
            return int(line.split()[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return None, repr(error).encode()


# -- databases ----------------------------------------------------------------------------------------------------------


class Service:
    """The databases of one service and what they replicate to each other."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.databases = []
        # (time, database, term) at which a promotion took effect
        self.promotions = []

    def add(self, number, host, zone, role):
        database = Database(self, number, host, zone, role)
        self.databases.append(database)
        return database

    def named(self, name):
        return next((each for each in self.databases if each.id == name), None)

    def leader(self):
        return max((each for each in self.databases if each.role == "primary"), key=lambda each: each.term, default=None)

    async def replicate(self, source, entry):
        """A commit goes to every replica that the primary reaches, a little later and in order."""
        count = len(source.log)
        await asyncio.sleep(LAG_S)
        for each in self.databases:
            if each is source or each.cut_replicas or source.cut_replicas or each.role != "replica" or each.dark:
                continue
            if each.term > source.term or len(each.log) >= count:
                continue
            each.log = source.log[:count]

    def promote(self, name):
        chosen = self.named(name)
        if chosen is None or chosen.dark:
            return 409
        if chosen.role == "primary" and chosen is self.leader():
            return 200
        asyncio.ensure_future(self.take_over(chosen))
        return 200

    async def take_over(self, chosen):
        await asyncio.sleep(PROMOTE_S)
        if chosen.role == "primary":
            return
        chosen.term = max(each.term for each in self.databases) + 1
        chosen.role = "primary"
        self.promotions.append((self.world.record.now(), chosen.id, chosen.term))
        self.world.record.line(f"promotion takes effect: {chosen.id} leads term {chosen.term} of {self.name}")
        chosen.changed.set()
        for each in self.databases:
            if each is not chosen:
                asyncio.ensure_future(self.follow(each, chosen))

    async def follow(self, each, leader):
        """A replica follows at once; an old primary one second after it can reach the new one."""
        while each.cut_replicas or leader.cut_replicas or each.dark:
            await asyncio.sleep(0.02)
        if each.role == "primary" and each.term < leader.term:
            await asyncio.sleep(1.0)
        if each.term < leader.term:
            was = each.role
            each.role = "replica"
            each.term = leader.term
            each.log = list(leader.log)
            each.changed.set()
            if was == "primary":
                self.world.record.line(f"{each.id} has reached the new primary and is a replica")


class Database:
    def __init__(self, service, number, host, zone, role):
        self.service = service
        self.world = service.world
        self.id = f"i-{service.name}-{number}"
        self.host = host
        self.zone = zone
        self.role = role
        self.term = 2
        self.log = []
        self.base = 100
        self.condition = "in_service"
        self.calls = 0
        self.dark = False
        self.cut_core = False
        self.cut_replicas = False
        self.beats_to = None
        self.changed = asyncio.Event()
        self.acked_quiescing = None
        self.work_s = 0.011
        self.rows = lambda thing: ["0"]
        self.connections = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.world.net.db, limit=1 << 21)
        asyncio.ensure_future(self.beat())

    def place(self):
        last = self.log[-1] if self.log else {"term": self.term, "number": self.base}
        return f"{last['term']}.{last['number']}"

    def covers(self, place):
        term, number = (int(part) for part in place.split("."))
        last = self.log[-1] if self.log else {"term": 2, "number": self.base}
        return (last["term"], last["number"]) >= (term, number)

    async def beat(self):
        targets = self.world.core_hosts()
        turn = random.randrange(len(targets))
        while True:
            if not self.dark and not self.cut_core:
                self.calls += 1
                told = self.condition
                body = json.dumps(
                    {
                        "targetService": self.service.name,
                        "address": f"{self.host}:{self.world.net.db}",
                        "zone": self.zone,
                        "revision": "v1",
                        "capacity": 10,
                        "condition": told,
                        "coldLeftMs": 0,
                        "dbRole": self.role,
                        "callCount": self.calls,
                    }
                ).encode()
                status, _ = await call_http(
                    targets[turn % len(targets)], self.world.net.control, "POST", f"/api/Instances.Heartbeat/{self.id}", body
                )
                if status is None or not 200 <= status < 300:
                    turn += 1
                    await asyncio.sleep(0.1)
                    continue
                if told == "quiescing" and self.acked_quiescing is None:
                    self.acked_quiescing = self.world.record.now()
                    self.world.record.line(f"{self.id}: quiescing is acknowledged")
            try:
                await asyncio.wait_for(self.changed.wait(), BEAT_S)
            except asyncio.TimeoutError:
                pass
            self.changed.clear()

    def leave(self):
        self.condition = "quiescing"
        self.changed.set()
        self.world.record.line(f"{self.id} says quiescing")

    async def end(self):
        """The end after a planned leave: Detach, then nothing answers any more."""
        for host in self.world.core_hosts():
            status, _ = await call_http(host, self.world.net.control, "POST", f"/api/Instances.Detach/{self.id}")
            if status is not None and 200 <= status < 300:
                break
        self.dark = True
        self.server.close()
        for each in list(self.writers):
            each.close()
        if self in self.service.databases:
            self.service.databases.remove(self)
        self.world.record.line(f"{self.id} has detached and ended")

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        try:
            await Conversation(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    def row(self):
        return f"ROW {self.role} {self.term} {self.place()} 0 0 0 {self.connections}"


class Conversation:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}
        self.caller = "?"

    async def line(self):
        raw = await self.reader.readuntil(b"\r\n")
        return raw[:-2].decode()

    def cut(self):
        """A call of the control plane to a database that is cut off from it gets no answer."""
        return self.database.dark or (self.database.cut_core and self.caller != "pooler")

    async def say(self, *lines):
        while self.cut():
            await asyncio.sleep(0.05)
        self.writer.write("".join(each + "\r\n" for each in lines).encode())
        await self.writer.drain()

    def idle(self):
        return f"IDLE {self.state} {self.database.place()}"

    async def run(self):
        database = self.database
        words = (await self.line()).split(" ")
        if words[0] != "SETUP" or len(words) < 3:
            return
        self.caller = words[2]
        if words[1] != database.service.name or (len(words) > 3 and words[3] != database.id):
            await self.say(f"ERROR MISROUTED {database.id}")
            return
        await asyncio.sleep(0.012)
        await self.say(self.idle())
        while True:
            words = (await self.line()).split(" ", 2)
            if words[0] == "RELEASE":
                return
            if words[0] != "QUERY" or len(words) < 3:
                return
            await self.query(words[1], words[2])

    async def query(self, id, text):
        database = self.database
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        words = text.split(" ")
        verb = words[0]
        if verb in ("STATUS", "DEMOTE", "SUSPEND", "RESUME"):
            while self.cut():
                await asyncio.sleep(0.05)
            if verb == "DEMOTE" and database.role == "primary" and database.term < int(words[1]):
                database.role = "replica"
                database.changed.set()
                database.world.record.line(f"{database.id}: DEMOTE {words[1]}, is a replica")
                leader = database.service.leader()
                if leader:
                    asyncio.ensure_future(database.service.follow(database, leader))
            return await self.say(database.row(), "COMPLETE -", self.idle())
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return await self.say("COMPLETE -", self.idle())
        if self.state == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return await self.say("ERROR MALFORMED the transaction failed", self.idle())
        if verb == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return await self.say("COMPLETE -", self.idle())
        if verb == "PREPARE":
            self.prepared[words[1]] = (words[2], " ".join(words[3:]))
            return await self.say("COMPLETE -", self.idle())
        if verb == "DISCARD":
            known = self.prepared.pop(words[1], None)
            return await self.say("COMPLETE -" if known else "ERROR UNKNOWN no such name", self.idle())
        if after and not database.covers(after):
            return await self.say(f"ERROR LAGGING {database.id}", self.idle())
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return await self.say("COMPLETE -", self.idle())
        if verb == "EXECUTE":
            if words[1] not in self.prepared:
                self.state = "E" if self.state == "T" else self.state
                return await self.say("ERROR UNKNOWN no such name", self.idle())
            kind = self.prepared[words[1]][0]
            words = [kind] + words[2:]
            verb = kind
        lost = database.role != "primary"
        refuses = lost and (
            verb == "WRITE"
            or (verb == "BEGIN" and len(words) == 1)
            or (self.state == "T" and not self.read_only and not (verb == "COMMIT" and not self.writes))
        )
        if refuses:
            if self.state == "T":
                self.state = "E"
            return await self.say(f"ERROR READONLY {database.id}", self.idle())
        if verb == "BEGIN":
            self.state, self.read_only, self.writes = "T", len(words) > 1, []
            return await self.say("COMPLETE -", self.idle())
        await asyncio.sleep(database.work_s)
        stamp = f"{database.term}.{id}.{random.getrandbits(48):x}"
        if verb == "READ":
            rows = database.rows(words[1])
            database.world.reads[id] = {"database": database.id, "role": database.role, "held": {entry["id"] for entry in database.log}}
            self.note(id, text)
            return await self.say(*[f"ROW {each}" for each in rows], f"COMPLETE {stamp}", self.idle())
        if verb == "WRITE":
            self.writes.append(words[1:])
            if self.state == "I":
                self.commit(id)
            self.note(id, text)
            return await self.say(f"COMPLETE {stamp}", self.idle())
        if verb == "COMMIT":
            failed = self.state == "E"
            self.state = "I"
            if failed:
                self.writes = []
                return await self.say("ERROR ABORTED the transaction failed", self.idle())
            if self.writes:
                self.commit(id)
            self.note(id, text)
            return await self.say(f"COMPLETE {stamp}", self.idle())
        await self.say("ERROR MALFORMED not a statement", self.idle())

    def note(self, id, text):
        self.database.world.record.line(f"{self.database.id} ran {id} {text[:60]}")

    def commit(self, id):
        database = self.database
        last = database.log[-1]["number"] if database.log else database.base
        entry = {
            "term": database.term,
            "number": last + 1,
            "id": id,
            "writes": self.writes,
            "at": database.world.record.now(),
            "database": database.id,
        }
        self.writes = []
        database.log.append(entry)
        database.world.commits.append(entry)
        asyncio.ensure_future(database.service.replicate(database, entry))


# -- links --------------------------------------------------------------------------------------------------------------


class Relay:
    """A link from one machine to an address of another. While it is cut it says nothing; what it holds up then is lost."""

    def __init__(self, host, port, to_host, to_port):
        self.host, self.port, self.to = host, port, (to_host, to_port)
        self.is_cut = False
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        pair = (writer, None)
        try:
            while self.is_cut:
                await asyncio.sleep(0.01)
                if reader.at_eof():
                    return
            out_reader, out_writer = await asyncio.open_connection(*self.to)
            pair = (writer, out_writer)
            self.open.add(pair)
            await asyncio.gather(self.pump(reader, out_writer), self.pump(out_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(pair)
            for each in pair:
                if each:
                    each.close()

    async def pump(self, reader, writer):
        while True:
            piece = await reader.read(65536)
            held = self.is_cut
            while self.is_cut:
                await asyncio.sleep(0.01)
            if held or not piece:
                writer.close()
                return
            writer.write(piece)
            await writer.drain()


# -- the deployment -----------------------------------------------------------------------------------------------------


class World:
    """Three core machines, some access machines, the databases of one service, the platform and the operator."""

    def __init__(self, folder, access_zones=("z1", "z2"), cut_access=()):
        self.folder = folder
        self.record = Record(folder)
        self.net = Net()
        self.temporary = tempfile.mkdtemp(prefix="review-case-")
        self.processes = {}
        # all that were started, those too that another of the same name has followed
        self.started = []
        self.commits = []
        # of each read: where it ran, and the commits that the log held then
        self.reads = {}
        self.services = {}
        self.relays = {}
        self.access_zones = access_zones
        self.cut_access = set(cut_access)
        self.promotion_calls = []
        self.revision = 0

    def core_hosts(self):
        return [self.net.host(each) for each in (1, 2, 3)]

    def access_host(self, index):
        return self.net.host(11 + index)

    def service(self, name):
        self.services[name] = Service(self, name)
        return self.services[name]

    def settings(self, name, lines):
        path = os.path.join(self.temporary, name + ".conf")
        with open(path, "w") as file:
            file.write("".join(each + "\n" for each in lines))
        return path

    def seeds(self):
        return ",".join(f"{each}:{self.net.control}" for each in self.core_hosts())

    def start_core(self, index, first=True):
        host, net = self.net.host(1 + index), self.net
        detours = ",".join(
            f"{self.access_host(each)}:{net.peer}={self.net.host(101 + each)}:{net.relay + index}" for each in sorted(self.cut_access)
        )
        lines = [
            f"node=core-{index + 1}",
            f"address={host}:{net.peer}",
            f"control={host}:{net.control}",
            f"zone=z{index + 1}",
            f"seeds={self.seeds()}",
            f"peer-port={net.peer}",
            f"data={self.temporary}/core-{index + 1}",
            f"first-start={'true' if first else 'false'}",
            "losses=1",
            "rations=true",
            f"platform={net.host(200)}:{net.control}",
            f"database-heartbeat={int(BEAT_S * 1000)}",
            f"plan-followed={CONFIG_APPLY_MS}",
            f"detach={DRAIN_MS}",
            f"stop={GRACE_S}",
            f"metrics={host}:{net.metrics}",
        ]
        if detours:
            lines.append(f"detours={detours}")
        self.launch(f"core-{index + 1}", "target/platform-core", self.settings(f"core-{index + 1}", lines))

    def start_access(self, index):
        host, net = self.access_host(index), self.net
        lines = [
            f"address={host}:{net.peer}",
            f"front={host}:{net.front}",
            f"readiness={host}:{net.ready}",
            f"zone={self.access_zones[index]}",
            f"seeds={self.seeds()}",
            f"peer-port={net.peer}",
            f"plan-followed={CONFIG_APPLY_MS}",
            f"detach={DRAIN_MS}",
            f"stop={GRACE_S}",
            f"metrics={host}:{net.metrics}",
        ]
        if index in self.cut_access:
            lines.append(
                "detours="
                + ",".join(f"{core}:{net.peer}={net.host(151 + index)}:{net.relay + i}" for i, core in enumerate(self.core_hosts()))
            )
        self.launch(f"access-{index + 1}", "target/platform-access", self.settings(f"access-{index + 1}", lines))

    def launch(self, name, program, settings):
        log = open(os.path.join(self.temporary, name + ".log"), "a")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TAMARINDSHIFT_BOOT"] = settings
        path = os.path.join(ROOT, program)
        if not os.access(path, os.X_OK):
            print(f"{program} is not built")
            sys.exit(2)
        self.processes[name] = subprocess.Popen([path], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.started.append(self.processes[name])
        self.record.line(f"started {name}")

    async def start(self, access=None):
        for index in sorted(self.cut_access):
            self.relays[index] = []
            for i, core in enumerate(self.core_hosts()):
                self.relays[index].append(Relay(self.net.host(151 + index), self.net.relay + i, core, self.net.peer))
                self.relays[index].append(Relay(self.net.host(101 + index), self.net.relay + i, self.access_host(index), self.net.peer))
            for each in self.relays[index]:
                await each.start()
        self.platform = await asyncio.start_server(self.promotion, self.net.host(200), self.net.control)
        for service in self.services.values():
            for database in service.databases:
                await database.start()
        for index in range(3):
            self.start_core(index)
        for index in access if access is not None else range(len(self.access_zones)):
            self.start_access(index)

    async def promotion(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_http(reader)
                asked = json.loads(body)
                holder, fence = headers.get("tamarindshift-duty-holder"), headers.get("tamarindshift-fence-number")
                status = self.services[asked["targetService"]].promote(asked["id"])
                self.promotion_calls.append((self.record.now(), asked["id"], holder, fence, status))
                self.record.line(f"platform: promotion of {asked['id']} by {holder}, fence {fence}: {status}")
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{{}}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def configuration(self, routes):
        self.revision += 1
        services = [
            {"name": name, "healthPath": "/health", "trunkLimit": 120, "protocol": "h1", "tls": False, "syncReplicas": 0}
            for name in self.services
        ]
        limits = {
            "headerBytes": 16384,
            "bodyBytes": 262144,
            "headerGuardMs": 3000,
            "idleGuardMs": 15000,
            "txIdleMs": TX_IDLE_MS,
        }
        return {"revision": self.revision, "routeTable": routes, "serviceTable": services, "limits": limits}

    async def configure(self, routes, patience=15.0):
        body = json.dumps(self.configuration(routes)).encode()
        until = time.monotonic() + patience
        turn = 0
        while time.monotonic() < until:
            host = self.core_hosts()[turn % 3]
            turn += 1
            status, answer = await call_http(host, self.net.control, "POST", "/api/Configuration.Replace", body, 1.5)
            if status == 200:
                self.record.line(f"configuration {self.revision} acknowledged")
                return True
            await asyncio.sleep(0.2)
        self.record.line(f"configuration {self.revision} not acknowledged: {status} {answer[:80]!r}")
        return False

    async def ready(self, patience=20.0, only=None):
        until = time.monotonic() + patience
        for index in only if only is not None else range(len(self.access_zones)):
            while True:
                status, _ = await call_http(self.access_host(index), self.net.ready, "GET", "/api/readiness")
                if status == 200:
                    break
                if time.monotonic() > until:
                    self.record.line(f"access-{index + 1} does not become ready")
                    return False
                await asyncio.sleep(0.1)
        self.record.line("the access machines are ready")
        return True

    def cut(self, index, is_cut):
        for each in self.relays[index]:
            each.is_cut = is_cut
        self.record.line(f"access-{index + 1} is {'cut off from' if is_cut else 'connected again with'} the core machines")

    def signal(self, name, which):
        self.processes[name].send_signal(which)
        self.record.line(f"{signal.Signals(which).name} to {name}")

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


class Client:
    """A session with an access machine."""

    def __init__(self, world, index, host, name):
        self.world, self.index, self.host, self.name = world, index, host, name
        self.count = 0

    async def open(self, **options):
        self.reader, self.writer = await asyncio.open_connection(
            self.world.access_host(self.index), self.world.net.front, limit=1 << 21, **options
        )
        self.writer.write(f"SETUP {self.host} {self.name}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 3)).decode().strip()
        return line.startswith("IDLE")

    def fresh_id(self):
        self.count += 1
        return f"{random.getrandbits(40):010x}{self.count:04x}"

    async def ask(self, text, patience=5.0, quiet=False):
        """(answer line, state, id); the answer is None if the connection ended without a complete one."""
        id = self.fresh_id()
        sent = self.world.record.now()
        try:
            self.writer.write(f"QUERY {id} {text}\r\n".encode())
            rows, answer = 0, None
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), patience)).decode().rstrip("\r\n")
                word = line.split(" ", 1)[0]
                if word == "ROW":
                    rows += 1
                elif word in ("COMPLETE", "ERROR"):
                    answer = line
                elif word == "IDLE":
                    if not quiet:
                        self.world.record.line(f"{self.name} {id} {text[:40]} sent {sent:.3f}: {answer[:90]}")
                    return answer, line.split(" ")[1], id
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            self.world.record.line(f"{self.name} {id} {text[:40]} sent {sent:.3f}: no complete answer, {type(error).__name__}")
            return None, None, id

    def close(self):
        self.writer.close()


def route(name, host, service, kind="primary", guard=1000, target=250, **more):
    return {
        "name": name,
        "hostName": host,
        "pathPrefix": "/",
        "routeClass": kind,
        "guardMs": guard,
        "targetMs": target,
        "precedence": 1,
        "targetService": service,
        "attemptLimit": 2,
        **more,
    }


def main(case, folder, **options):
    """Runs `case(world, trouble)`: True if the rule held, False if it was broken, None if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder, **options)
    result = None
    try:

        async def bounded():
            return await asyncio.wait_for(case(world, trouble), 110)

        result = asyncio.run(bounded())
    except Exception as error:  # a case that can't run is no finding
        world.record.line(f"the case could not run: {error!r}")
    finally:
        world.end()
    code = 2 if result is None else 0 if result else 1
    world.record.line(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
