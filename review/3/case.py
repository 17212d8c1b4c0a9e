"""A core machine is away while the operator makes hundreds of changes of a large configuration, and comes back."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Client, Limit, http, now, peak_mb, run  # noqa: E402

# limits.memoryMb of the core machines
MEMORY_MB = 256
# the largest dose of big_config on the small sites
MORE_ROUTES = 350
CHANGES = 400
ROUNDS = 3


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

    clients = [Client(fleet, machine, f"c{machine.index}", pause=0.1) for machine in fleet.access]
    tasks = [asyncio.create_task(client.work()) for client in clients]
    limit = Limit(fleet, record, MEMORY_MB)
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
                configuration = fleet.configuration(MORE_ROUTES)
                body = json.dumps(configuration)
                for attempt in range(5):
                    status, _ = await http(fleet.control()[(first + attempt) % 2], "POST", "/api/Configuration.Replace", body, 3.0)
                    record(f"Configuration.Replace {configuration['revision']}: {status}")
                    if status == 200:
                        taken += 1
                        break
                    await asyncio.sleep(0.2)

        await asyncio.gather(operator(CHANGES // 2, 0), operator(CHANGES - CHANGES // 2, 1))
        record(f"round {number}: {taken} changes of {len(json.dumps(fleet.configuration(MORE_ROUTES)))} bytes acknowledged in {now() - begun:.1f} s; peaks "
               + ", ".join(f"{machine.name} {peak_mb(machine):.0f} MB" for machine in fleet.core[:2]))
        if trouble:
            away.start()
            limit.away.discard(away.name)
        await asyncio.sleep(2.5)
        last = fleet.configuration(MORE_ROUTES)
        if not await fleet.replace(last, 10):
            record("no change is taken")
        same = await whole(fleet, last["revision"], 6)
        record(f"round {number}: {'all' if same else 'not all'} core machines hold the newest configuration; ends: {limit.ends}")
        if now() - begun > 36 and number < ROUNDS:
            record("this machine is too slow for all rounds")
            return 2
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
