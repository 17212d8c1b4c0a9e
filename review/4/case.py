"""An old primary that still says that it leads is chosen again, and its word is taken before the promote takes effect."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Client, Database, http, now, run  # noqa: E402

DARK_S = 3.0


class DarkReader:
    """What arrives while the database is dark is held up on the way."""

    def __init__(self, reader, database):
        self.reader, self.database = reader, database

    async def readuntil(self, separator):
        line = await self.reader.readuntil(separator)
        while self.database.dark:
            await asyncio.sleep(0.01)
        return line


class DarkDatabase(Database):
    """A database that can go dark: nothing reaches it and nothing comes from it, and it runs on."""

    dark = False
    # when the last heartbeat was begun
    called_at = 0.0

    async def serve(self, reader, writer):
        await super().serve(DarkReader(reader, self), writer)

    def receive(self, leader, entry):
        if not self.dark:
            super().receive(leader, entry)

    def become_replica(self):
        if not self.dark:
            super().become_replica()

    async def beats(self):
        nodes, at = list(self.fleet.control()), 1
        while True:
            self.called_at = now()
            if self.dark:
                # no answer within a second, then the next node is called
                await asyncio.sleep(1.1)
                continue
            self.calls += 1
            body = json.dumps({"targetService": self.service, "address": self.address, "zone": self.zone, "revision": "v1",
                               "capacity": 10, "condition": self.condition, "coldLeftMs": 0, "dbRole": self.role,
                               "callCount": self.calls})
            status, _ = await http(nodes[at], "POST", f"/api/Instances.Heartbeat/{self.name}", body)
            self.fleet.record(f"heartbeat of {self.name} as {self.role}: {status}")
            if status // 100 != 2:
                at = (at + 1) % len(nodes)
                await asyncio.sleep(0.1)
                continue
            self.beat_now.clear()
            try:
                async with asyncio.timeout(1.2):
                    await self.beat_now.wait()
            except asyncio.TimeoutError:
                pass

    def goes_dark(self):
        self.dark = True
        self.fleet.record(f"database {self.name} goes dark as {self.role} at {self.place()}")

    async def heals(self):
        """An old primary carries on until a second after it can reach the new one."""
        self.dark = False
        self.fleet.record(f"database {self.name} is reached again, as {self.role} at {self.place()}")
        service, since = self.fleet.services[self.service], now()
        while self.role == "primary" and service.leader != self.name:
            if not self.fleet.databases[service.leader].up:
                since = now()
            if now() - since > 1.0:
                self.become_replica()
                self.follow()
            await asyncio.sleep(0.01)


async def until(condition, seconds):
    end = now() + seconds
    while now() < end:
        if condition():
            return True
        await asyncio.sleep(0.005)
    return False


async def case(make, trouble, record):
    fleet = make(sync=0)
    former = fleet.databases["i-db1"]
    fleet.databases["i-db1"] = DarkDatabase(fleet, former.service, former.name, former.address, former.zone, former.lag)
    fleet.databases["i-db1"].role = "primary"
    if not await fleet.start():
        return 2
    clients = [Client(fleet, machine, f"c{machine.index}n{index}", pause=0.005) for machine in fleet.access for index in range(3)]
    tasks = [asyncio.create_task(client.work()) for client in clients]
    service = fleet.services["alumni"]
    primary, next_primary, leaving = (fleet.databases[name] for name in ("i-db1", "i-db2", "i-db3"))
    await asyncio.sleep(2)
    release = asyncio.create_task(leaving.release("i-db4", 12))
    await leaving.quiescing_acknowledged.wait()
    await asyncio.sleep(1)
    if trouble:
        primary.goes_dark()
        if not await until(lambda: service.leader == next_primary.name, DARK_S):
            return 2
        await asyncio.sleep(DARK_S - 1.5)
        # it is reached again a quarter of a second after it began a heartbeat that nobody answers
        begun = primary.called_at
        if not await until(lambda: primary.called_at > begun, 2):
            return 2
        await asyncio.sleep(0.25)
        tasks.append(asyncio.create_task(primary.heals()))
        await asyncio.sleep(0.52)
        await next_primary.crash()
    await asyncio.sleep(5)
    for task in tasks + [release]:
        task.cancel()
    acknowledged = {ident: at for client in clients for ident, at in client.acknowledged.items()}
    if len(acknowledged) < 200 or (trouble and len(service.promotions) < 2):
        return 2
    for client in clients:
        for ident, at in client.sent.items():
            record(f"client {client.name} sent {ident} at {at:.3f}: {client.answers.get(ident, 'no answer')}")
    broken = False
    for term, (at, database, _, _) in enumerate(service.promotions, start=2):
        late = [(when, ident) for when, where, of, ident in fleet.kept if when > at and of < term and where != database and ident in acknowledged]
        record(f"{database} led term {term} from {at:.3f}; kept later at a former primary and acknowledged: {len(late)} "
               f"{[(round(when, 3), ident) for when, ident in late[:5]]}")
        broken = broken or bool(late)
    return 1 if broken else 0


run(case, HERE)
