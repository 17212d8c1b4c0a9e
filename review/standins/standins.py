"""Stand-ins for the platform, its databases and its operator, and a small deployment of the deploy file's programs.

They speak what PROTOCOL.md says, over real sockets on loopback addresses, all in one process of asyncio.
"""
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time

BASE = time.monotonic()


def now():
    return time.monotonic() - BASE


class Record:
    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now():9.3f} {text}\n")


async def http(address, method, path, body=None, timeout=1.0, headers=None):
    """One call on a connection of its own; (status, body), or (0, reason) without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            data = (body or "").encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            raw = await reader.read()
            status = int(raw.split(b" ", 2)[1])
            return status, raw.split(b"\r\n\r\n", 1)[1].decode()
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        return 0, type(error).__name__
    finally:
        if writer:
            writer.close()


class Database:
    """A database: a log of commits, replication, the wire, STATUS, DEMOTE, beats."""

    def __init__(self, fleet, service, name, address, zone, lag):
        self.fleet, self.service, self.name, self.address, self.zone, self.lag = fleet, service, name, address, zone, lag
        self.role, self.term, self.log, self.applied = "replica", 1, [], 0
        self.held = {}
        self.calls = 0
        self.up = False
        self.server = None
        self.writers = set()
        self.work = 0.005
        self.receive_delay = 0.0005
        self.first_node = None
        self.condition = "in_service"
        self.received = asyncio.Event()
        self.quiescing_acknowledged = asyncio.Event()
        self.beat_now = asyncio.Event()
        self.acknowledged_beats = 0
        self.demoted_at = None

    # log entries: (term, number, thing, data, id)
    def place(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def ids(self):
        return {entry[4] for entry in self.log}

    def number(self):
        return self.log[-1][1] if self.log else 0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.up = True
        self.task = asyncio.create_task(self.beats())

    async def crash(self):
        self.up = False
        self.fleet.record(f"database {self.name} crashes as {self.role} at {self.place()}")
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def restart(self):
        lead = self.fleet.services[self.service].leader
        self.role = "primary" if lead == self.name else "replica"
        self.applied = len(self.log)
        await self.start()
        if lead != self.name:
            self.follow()
        self.fleet.record(f"database {self.name} is back as {self.role} at {self.place()}")

    def follow(self):
        """Takes over the leader's log; what it held beyond is cut back."""
        leader = self.fleet.databases.get(self.fleet.services[self.service].leader)
        if leader and leader.up and leader is not self:
            self.log = list(leader.log)
            self.term = leader.term
            self.applied = len(self.log)

    def become_primary(self, term):
        self.role, self.term, self.applied = "primary", term, len(self.log)
        self.beat_now.set()

    def become_replica(self):
        if self.role != "replica":
            self.fleet.record(f"database {self.name} is a replica from now on")
        self.role = "replica"
        self.beat_now.set()

    async def beats(self):
        nodes = list(self.fleet.control())
        at = self.first_node if self.first_node is not None else random.randrange(len(nodes))
        while True:
            self.calls += 1
            told = self.condition
            body = json.dumps({"targetService": self.service, "address": self.address, "zone": self.zone, "revision": "v1",
                               "capacity": 10, "condition": self.condition, "coldLeftMs": 0, "dbRole": self.role,
                               "callCount": self.calls})
            status, _ = await http(nodes[at], "POST", f"/api/Instances.Heartbeat/{self.name}", body)
            if status // 100 != 2:
                at = (at + 1) % len(nodes)
                await asyncio.sleep(0.1)
                continue
            self.acknowledged_beats += 1
            if told == "quiescing" and not self.quiescing_acknowledged.is_set():
                self.fleet.record(f"database {self.name} has the acknowledgement that it is quiescing, at {self.place()}")
                self.quiescing_acknowledged.set()
            self.beat_now.clear()
            try:
                async with asyncio.timeout(1.2):
                    await self.beat_now.wait()
            except asyncio.TimeoutError:
                pass

    def append(self, thing, data, ident):
        entry = (self.term, self.number() + 1, thing, data, ident)
        self.fleet.kept.append((now(), self.name, self.term, ident))
        self.log.append(entry)
        self.applied = len(self.log)
        for other in list(self.fleet.databases.values()):
            if other.service == self.service and other is not self:
                asyncio.get_running_loop().call_later(other.receive_delay, other.receive, self, entry)
        return entry

    def receive(self, leader, entry):
        """An entry on its way does not arrive from a leader that has crashed meanwhile."""
        if not self.up or not leader.up or self.role != "replica" or self.fleet.services[self.service].leader != leader.name:
            return
        if entry[1] == self.number() + 1:
            self.log.append(entry)
            self.term = entry[0]
            asyncio.get_running_loop().call_later(self.lag, self.apply, len(self.log))
            leader.held[entry[:2]] = leader.held.get(entry[:2], 0) + 1
            leader.received.set()
            leader.received = asyncio.Event()

    async def kept(self, entry):
        """With `syncReplicas` a commit is answered as soon as one replica has received it."""
        while self.fleet.sync and self.held.get(entry[:2], 0) < self.fleet.sync:
            await self.received.wait()

    async def release(self, successor, after):
        """Says quiescing, serves on for `after` past the acknowledgement, detaches and ends; its log passes to `successor`."""
        self.condition = "quiescing"
        self.beat_now.set()
        self.fleet.record(f"database {self.name} says quiescing from now on")
        await self.quiescing_acknowledged.wait()
        await asyncio.sleep(after)
        for node in self.fleet.control():
            status, _ = await http(node, "POST", f"/api/Instances.Detach/{self.name}", "{}")
            if status // 100 == 2:
                break
        self.fleet.record(f"database {self.name} detaches and ends at {self.place()}")
        await self.crash()
        fresh = Database(self.fleet, self.service, successor, self.address, self.zone, self.lag)
        fresh.log, fresh.term, fresh.applied = list(self.log), self.term, len(self.log)
        del self.fleet.databases[self.name]
        self.fleet.databases[successor] = fresh
        await asyncio.sleep(0.5)
        fresh.follow()
        await fresh.start()
        self.fleet.record(f"database {successor} starts at its address, with its log, at {fresh.place()}")

    def apply(self, upto):
        self.applied = max(self.applied, min(upto, len(self.log)))

    def value(self, thing):
        for entry in reversed(self.log[:self.applied]):
            if entry[2] == thing:
                return entry[3]
        return "none"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def talk(self, reader, writer):
        words = (await reader.readuntil(b"\r\n")).decode().strip("\r\n").split(" ")
        if words[0] != "SETUP" or words[1] != self.service or (len(words) > 3 and words[3] != self.name):
            writer.write(b"ERROR MISROUTED not this one\r\n")
            return
        who = words[2]
        writer.write(f"IDLE I {self.place()}\r\n".encode())
        state, pending, prepared = "I", [], {}
        read_only = False
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            verb, _, rest = line.partition(" ")
            if verb == "RELEASE":
                return
            ident, _, text = rest.partition(" ")
            after = None
            if text.startswith("AFTER "):
                _, after, text = text.split(" ", 2)
            words = text.split(" ", 2)
            lines = []

            def done(stamp="-"):
                lines.append(f"COMPLETE {stamp}")

            def fail(code):
                lines.append(f"ERROR {code} {self.name}")

            kind = words[0]
            writes = kind == "WRITE"
            thing, data = (words[1], words[2] if len(words) > 2 else "") if kind in ("READ", "WRITE") else ("", "")
            if kind == "EXECUTE":
                mode, _ = prepared[words[1]]
                parts = words[2].split(" ", 1)
                thing, data, writes = parts[0], parts[1] if len(parts) > 1 else "", mode == "WRITE"
                kind = "WRITE" if writes else "READ"
            if kind in ("READ", "WRITE", "COMMIT"):
                await asyncio.sleep(self.work)
                if not self.up:
                    return
            stamp = f"{self.term}.{self.name}.{len(self.log)}.{ident}"
            if after and tuple(map(int, after.split("."))) > (self.term, self.log[self.applied - 1][1] if self.applied else 0):
                fail("LAGGING")
            elif kind == "STATUS":
                lines.append(f"ROW {self.role} {self.term} {self.place()} 0 0 0 {len(self.writers)}")
                self.fleet.record(f"STATUS at {self.name} by {who}: {self.role} {self.place()}")
                done()
            elif kind == "DEMOTE":
                self.fleet.record(f"DEMOTE {words[1]} at {self.name} by {who}")
                if self.role == "primary" and int(words[1]) > self.term:
                    self.become_replica()
                lines.append(f"ROW {self.role} {self.term} {self.place()} 0 0 0 {len(self.writers)}")
                done()
            elif kind in ("SUSPEND", "RESUME", "RESET", "SET", "DISCARD"):
                done()
            elif kind == "PREPARE":
                prepared[words[1]] = words[2].split(" ", 1)
                done()
            elif kind == "ROLLBACK":
                state, pending = "I", []
                done()
            elif kind == "BEGIN":
                read_only = len(words) > 1
                if not read_only and self.role != "primary":
                    fail("READONLY")
                else:
                    state, pending = "T", []
                    done()
            elif kind == "READ":
                lines.append(f"ROW {self.value(thing)}")
                self.fleet.ran(self, ident, text)
                done(stamp)
            elif kind == "WRITE":
                if self.role != "primary":
                    fail("READONLY")
                    state = "E" if state == "T" else state
                elif state == "T":
                    pending.append((thing, data, ident))
                    done(stamp)
                else:
                    entry = self.append(thing, data, ident)
                    self.fleet.ran(self, ident, text)
                    await self.kept(entry)
                    done(stamp)
            elif kind == "COMMIT":
                if state == "E" or (pending and self.role != "primary"):
                    fail("READONLY")
                else:
                    for each in pending:
                        entry = self.append(*each)
                    self.fleet.ran(self, ident, text)
                    if pending:
                        await self.kept(entry)
                    done(stamp)
                state, pending = "I", []
            else:
                fail("MALFORMED")
            lines.append(f"IDLE {state} {self.place()}")
            writer.write(("\r\n".join(lines) + "\r\n").encode())


class Service:
    def __init__(self, name, leader):
        self.name, self.leader, self.term = name, leader, 1
        # when, which database, the ids in its log at that moment, and those in the logs of the others that run
        self.promotions = []


class Platform:
    """POST /promotion. It does not check the fence, as `fenceChecked` false says."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.calls = []
        self.down = False

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = {}
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                if self.down:
                    self.fleet.record("the platform is down and does not take a call")
                    return
                body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))) or b"{}")
                status = self.take(body, fields)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def take(self, body, fields):
        holder, fence = fields["tamarindshift-duty-holder"], int(fields["tamarindshift-fence-number"])
        service = self.fleet.services[body["targetService"]]
        database = self.fleet.databases.get(body["id"])
        status = 200
        if not database or not database.up:
            status = 409
        elif service.leader != body["id"] or database.role != "primary":
            asyncio.get_running_loop().call_later(0.3, self.promote, service, database)
        self.calls.append((now(), holder, fence, body["targetService"], body["id"], status))
        self.fleet.record(f"POST /promotion {body['targetService']} {body['id']} by {holder} with fence {fence}: {status}")
        return status

    def promote(self, service, database):
        if service.leader == database.name and database.role == "primary":
            return
        former = self.fleet.databases.get(service.leader)
        others = {other.name: other.ids() for other in self.fleet.databases.values()
                  if other.up and other.service == service.name and other is not database}
        service.promotions.append((now(), database.name, database.ids(), others))
        service.term += 1
        service.leader = database.name
        database.become_primary(service.term)
        self.fleet.record(f"database {database.name} leads term {service.term} from {database.place()}")
        if former and former.up and former is not database:
            asyncio.get_running_loop().call_later(1.0, former.become_replica)
        for other in self.fleet.databases.values():
            if other.service == service.name and other not in (database, former) and other.up:
                other.follow()


class Machine:
    def __init__(self, fleet, kind, index, folder, root):
        self.fleet, self.kind, self.index = fleet, kind, index
        self.name = f"{kind}-zone{index}-1"
        self.host = f"127.{fleet.net}.{0 if kind == 'core' else 1}.{index}"
        self.zone = f"zone{index}"
        self.settings = f"{folder}/{self.name}.conf"
        self.data = f"{folder}/{self.name}.data"
        self.log = f"{folder}/{self.name}.log"
        self.root = root
        self.process = None
        self.first = True

    def template(self):
        """The lines of deploy/*.conf with the gaps filled in."""
        f = self.fleet
        common = [f"address={self.host}:7440", f"zone={self.zone}", "seeds=" + ",".join(f.control()), "peer-port=7440",
                  "plan-followed=3000", "detach=7000", "stop=6"]
        if self.kind == "core":
            return common + [f"node={self.name}", f"control={self.host}:8782", f"data={self.data}",
                             f"first-start={'true' if self.first else 'false'}", "losses=1", "rations=true",
                             f"platform={f.platform.address}", "database-heartbeat=1200", f"metrics={self.host}:9188"]
        return common + [f"front={self.host}:8784", f"readiness={self.host}:8785", f"metrics={self.host}:9187"]

    def start(self):
        if self.kind == "core":
            os.makedirs(self.data, exist_ok=True)
        with open(self.settings, "w") as file:
            file.write("\n".join(self.template()) + "\n")
        self.first = False
        log = open(self.log, "a")
        self.process = subprocess.Popen([f"target/platform-{self.kind}"], cwd=self.root, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ.get("PATH", ""), "TAMARINDSHIFT_BOOT": self.settings})
        self.fleet.record(f"{self.name} starts")

    def signal(self, number, word):
        self.fleet.record(f"{self.name} {word}")
        self.process.send_signal(number)

    def freeze(self):
        self.signal(signal.SIGSTOP, "is stopped (SIGSTOP)")

    def thaw(self):
        self.signal(signal.SIGCONT, "continues (SIGCONT)")

    def kill(self):
        self.signal(signal.SIGKILL, "is killed (SIGKILL)")
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Client:
    """Sessions of one client that writes: single statements, each with an id of its own, tried once."""

    def __init__(self, fleet, machine, name, host="dues", pause=0.02):
        self.fleet, self.machine, self.name, self.host, self.pause = fleet, machine, name, host, pause
        self.sent, self.acknowledged, self.answers, self.stamps = {}, {}, {}, {}
        self.count = 0

    async def work(self):
        while True:
            try:
                await self.session()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)

    async def answer(self, reader):
        """Lines until IDLE, or until an ERROR that no IDLE follows."""
        lines = []
        while True:
            async with asyncio.timeout(10):
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            lines.append(line)
            if line.startswith("IDLE"):
                return lines

    async def session(self):
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(self.machine.host, 8784)
        try:
            writer.write(f"SETUP {self.host} {self.name}\r\n".encode())
            await self.answer(reader)
            while True:
                self.count += 1
                ident = f"{self.name}x{self.count}"
                self.sent[ident] = now()
                writer.write(f"QUERY {ident} WRITE t{self.count % 50} d{ident}\r\n".encode())
                lines = await self.answer(reader)
                self.answers[ident] = lines[0]
                if lines[0].startswith("COMPLETE"):
                    self.acknowledged[ident] = now()
                    self.stamps[ident] = lines[0].split(" ", 1)[1]
                await asyncio.sleep(self.pause)
        finally:
            writer.close()


class Fleet:
    """Three core machines, some access machines, one service of three databases, a platform, an operator."""

    def __init__(self, record, folder, root, access=3, lag=0.02, sync=0):
        self.record = record
        self.net = self.free_net()
        self.services = {"alumni": Service("alumni", "i-db1"), "ledger": Service("ledger", "")}
        self.databases = {}
        for index in (1, 2, 3):
            name = f"i-db{index}"
            self.databases[name] = Database(self, "alumni", name, f"127.{self.net}.2.{index}:8080", f"zone{index}", lag)
        self.databases["i-db1"].role = "primary"
        self.platform = Platform(self, f"127.{self.net}.3.1:8783")
        self.core = [Machine(self, "core", index, folder, root) for index in (1, 2, 3)]
        self.access = [Machine(self, "access", index, folder, root) for index in range(1, access + 1)]
        self.sync = sync
        self.revision = 0
        self.runs = []
        # commits: when, at which database, in which term, the statement's id
        self.kept = []

    @staticmethod
    def free_net():
        for _ in range(50):
            net = random.randrange(20, 250)
            try:
                for host, port in ((f"127.{net}.0.1", 8782), (f"127.{net}.0.1", 7440), (f"127.{net}.3.1", 8783)):
                    with socket.socket() as probe:
                        probe.bind((host, port))
                return net
            except OSError:
                continue
        raise SystemExit(2)

    def control(self):
        return [f"127.{self.net}.0.{index}:8782" for index in (1, 2, 3)]

    def ran(self, database, ident, text):
        self.runs.append((now(), database.name, ident, text))

    def configuration(self, more_routes=0):
        """The next version; with `more_routes` idle routes more, as after a big_config."""
        self.revision += 1
        routes = [("r-dues", "dues", "primary", 1000, 250, 1, None), ("r-list", "list", "bounded_staleness", 3000, 800, 2, 1500),
                  ("r-event", "event", "in_house", 1000, 200, 2, 2500)]
        table = []
        for name, host, kind, guard, target, order, stale in routes:
            route = {"name": name, "hostName": host, "pathPrefix": "/", "routeClass": kind, "guardMs": guard, "targetMs": target,
                     "precedence": order, "targetService": "alumni", "attemptLimit": 2}
            if stale:
                route["stalenessMs"] = stale
            table.append(route)
        for index in range(more_routes):
            table.append({"name": f"r-idle{index:03d}", "hostName": f"idle{index:03d}x", "pathPrefix": "/",
                          "routeClass": "bounded_staleness", "guardMs": 2000 + self.revision % 7, "targetMs": 500, "precedence": 2,
                          "targetService": "alumni", "attemptLimit": 2, "stalenessMs": 1500})
        return {"revision": self.revision, "routeTable": table,
                "serviceTable": [{"name": name, "healthPath": "/health", "trunkLimit": 120, "protocol": "h1", "tls": False,
                                  "syncReplicas": self.sync} for name in self.services],
                "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerGuardMs": 3000, "idleGuardMs": 15000, "txIdleMs": 3000}}

    async def replace(self, configuration, within=20.0):
        """The operator: the same call again, to the next node, until it is answered clearly."""
        body = json.dumps(configuration)
        until = now() + within
        attempt = 0
        while now() < until:
            status, text = await http(self.control()[attempt % 3], "POST", "/api/Configuration.Replace", body)
            self.record(f"Configuration.Replace {configuration['revision']} at core {attempt % 3 + 1}: {status}")
            if status == 200:
                return True
            attempt += 1
            await asyncio.sleep(0.2)
        return False

    async def start(self):
        """Whether every access machine says that it is ready and the service has its primary."""
        for machine in self.core + self.access:
            machine.start()
        await self.platform.start()
        for database in self.databases.values():
            await database.start()
        if not await self.replace(self.configuration()):
            return False
        until = now() + 20
        while now() < until:
            answers = [await http(f"{machine.host}:8785", "GET", "/api/readiness") for machine in self.access]
            if all(status == 200 for status, _ in answers):
                self.record("all access machines are ready")
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        for machine in self.core + self.access:
            machine.end()

    def died(self):
        return [m.name for m in self.core + self.access if m.process and m.process.poll() is not None]


def peak_mb(machine):
    """The most memory that the process has held so far, as the kernel counts it."""
    try:
        with open(f"/proc/{machine.process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024
    except (OSError, StopIteration):
        return 0


class Limit:
    """The platform's limit: a process that goes over memoryMb is killed, and started again after a short delay."""

    def __init__(self, fleet, record, most):
        self.fleet, self.record, self.most = fleet, record, most
        self.ends = {machine.name: 0 for machine in fleet.core}
        self.highest = {machine.name: 0 for machine in fleet.core}
        self.away = set()

    async def watch(self):
        while True:
            for machine in self.fleet.core:
                if machine.name in self.away or machine.process.poll() is not None:
                    continue
                peak = peak_mb(machine)
                self.highest[machine.name] = max(self.highest[machine.name], peak)
                if peak > self.most:
                    self.record(f"{machine.name} went over its memory: {peak:.0f} MB of {self.most}")
                    self.ends[machine.name] += 1
                    self.away.add(machine.name)
                    machine.kill()
                    asyncio.get_running_loop().call_later(0.5, self.again, machine)
            await asyncio.sleep(0.005)

    def again(self, machine):
        machine.start()
        self.away.discard(machine.name)


def run(case, folder_of_case):
    """Runs `case(fleet, trouble)` and exits with what it returns: 1 for a broken rule, 0 if it held, 2 if it couldn't run."""
    import shutil
    import sys
    import tempfile
    root = os.path.abspath(os.path.join(folder_of_case, "..", ".."))
    record = Record(os.path.join(folder_of_case, "record.txt"))
    folder = tempfile.mkdtemp()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    def fleet(**settings):
        fleets.append(Fleet(record, folder, root, **settings))
        return fleets[-1]

    code = 2
    try:
        async def bounded():
            async with asyncio.timeout(115):
                return await case(fleet, trouble, record)
        code = asyncio.run(bounded())
    except (Exception, SystemExit) as error:
        record(f"could not run: {type(error).__name__} {error}")
    finally:
        for each in fleets:
            each.end()
            for machine in each.core + each.access:
                if os.path.exists(machine.log):
                    for line in open(machine.log, errors="replace"):
                        if " core " in line or os.environ.get("ALL_LOGS"):
                            record(f"log of {machine.name}: {line.rstrip()}")
        shutil.rmtree(folder, ignore_errors=True)
    record(f"exit {code}")
    sys.exit(code)
