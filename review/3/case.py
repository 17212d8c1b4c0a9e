"""A core machine is away while the operator makes hundreds of changes of a large configuration, and comes back."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Client, http, now, run  # noqa: E402

# limits.memoryMb of the core machines
MEMORY_MB = 256
# the largest dose of big_config on the small sites
MORE_ROUTES = 350
CHANGES = 400
ROUNDS = 3


def peak_mb(machine):
    """The most memory that the process has held so far, as the kernel counts it."""
    try:
        with open(f"/proc/{machine.process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024
    except (OSError, StopIteration):
        return 0


class Limit:
    """The platform's limit: a process that goes over memoryMb is killed, and started again after a short delay."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
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
                if peak > MEMORY_MB:
                    self.record(f"{machine.name} went over its memory: {peak:.0f} MB of {MEMORY_MB}")
                    self.ends[machine.name] += 1
                    self.away.add(machine.name)
                    machine.kill()
                    asyncio.get_running_loop().call_later(0.5, self.again, machine)
            await asyncio.sleep(0.005)

    def again(self, machine):
        machine.start()
        self.away.discard(machine.name)


async def whole(fleet, revision, seconds):
    """Whether all core machines answer a read of the configuration with this revision, within so many seconds."""
    end = now() + seconds
    while now() < end:
        answers = [await http(node, "GET", "/api/Configuration.Retrieve", timeout=1.0) for node in fleet.control()]
        if all(status == 200 and json.loads(body)["revision"] == revision for status, body in answers):
            return True
        await asyncio.sleep(0.2)
    return False


async def case(make, trouble, record):
    fleet = make()
    if not await fleet.start():
        return 2

    def changed():
        configuration = fleet.configuration()
        for index in range(MORE_ROUTES):
            configuration["routeTable"].append(
                {"name": f"r-idle{index:03d}", "hostName": f"idle{index:03d}x", "pathPrefix": "/", "routeClass": "bounded_staleness",
                 "guardMs": 2000 + fleet.revision % 7, "targetMs": 500, "precedence": 2, "targetService": "alumni", "attemptLimit": 2,
                 "stalenessMs": 1500})
        return configuration

    clients = [Client(fleet, machine, f"c{machine.index}", pause=0.1) for machine in fleet.access]
    tasks = [asyncio.create_task(client.work()) for client in clients]
    limit = Limit(fleet, record)
    tasks.append(asyncio.create_task(limit.watch()))
    away = fleet.core[2]
    for number in range(1, ROUNDS + 1):
        if trouble:
            limit.away.add(away.name)
            away.kill()
            await asyncio.sleep(1)
        begun, taken = now(), 0

        async def operator(amount, first):
            nonlocal taken
            for each in range(amount):
                body = json.dumps(changed())
                for attempt in range(5):
                    status, _ = await http(fleet.control()[(first + attempt) % 2], "POST", "/api/Configuration.Replace", body, 3.0)
                    if status == 200:
                        taken += 1
                        break
                    await asyncio.sleep(0.2)

        await asyncio.gather(operator(CHANGES // 2, 0), operator(CHANGES - CHANGES // 2, 1))
        record(f"round {number}: {taken} changes of {len(json.dumps(changed()))} bytes acknowledged in {now() - begun:.1f} s; peaks "
               + ", ".join(f"{machine.name} {peak_mb(machine):.0f} MB" for machine in fleet.core[:2]))
        if trouble:
            away.start()
            limit.away.discard(away.name)
        await asyncio.sleep(2.5)
        last = changed()
        if not await fleet.replace(last, 10):
            record("no change is taken")
        same = await whole(fleet, last["revision"], 6)
        record(f"round {number}: {'all' if same else 'not all'} core machines hold the newest configuration; ends: {limit.ends}")
        if now() - begun > 34 and number < ROUNDS:
            record("this machine is too slow for all rounds")
            break
    for task in tasks:
        task.cancel()
    record(f"highest: {limit.highest}")
    written = sum(len(client.acknowledged) for client in clients)
    record(f"{written} writes acknowledged meanwhile")
    often = [name for name, ends in limit.ends.items() if ends >= 3 and name != away.name]
    record(f"machines without trouble whose processes ended three times or more: {often} of {len(fleet.core)}")
    if not trouble and any(limit.ends.values()):
        return 2
    return 1 if 2 * len(often) >= len(fleet.core) else 0


run(case, HERE)
