"""A core machine that catches up with hundreds of large changes is left half-way, and can never join again."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Client, http, now, run  # noqa: E402

# the largest dose of big_config on the small sites
MORE_ROUTES = 350
CHANGES = 300
CONTACT_S = 4.0
CATCH_UP_S = 4.0
RECOVERY_S = 12.0


async def read_back(fleet, record, seconds):
    """The operator asks every node, again and again for so long; the newest revision that came, or none."""
    newest, end = None, now() + seconds
    counts = {}
    while now() < end:
        for index, node in enumerate(fleet.control(), start=1):
            status, body = await http(node, "GET", "/api/Configuration.Retrieve", timeout=1.0)
            counts[(index, status)] = counts.get((index, status), 0) + 1
            if status == 200:
                newest = max(newest or 0, json.loads(body)["revision"])
        await asyncio.sleep(0.1)
    record("Configuration.Retrieve: " + ", ".join(f"core {index}: {status} x {times}" for (index, status), times in sorted(counts.items()))
           + f"; newest read: {newest}")
    return newest


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

    clients = [Client(fleet, machine, f"c{machine.index}", pause=0.05) for machine in fleet.access]
    tasks = [asyncio.create_task(client.work()) for client in clients]
    sequencer, other, away = fleet.core
    if trouble:
        away.kill()
        await asyncio.sleep(1)
    acknowledged = 0
    for each in range(CHANGES):
        body = changed()
        status, _ = await http(fleet.control()[each % 2], "POST", "/api/Configuration.Replace", json.dumps(body), 3.0)
        if status == 200:
            acknowledged = body["revision"]
    record(f"the newest acknowledged change is {acknowledged} of {fleet.revision}")
    if trouble:
        away.start()
        await asyncio.sleep(0.6)
        sequencer.kill()
        await asyncio.sleep(0.5)
        sequencer.start()
    back = now()
    await asyncio.sleep(max(RECOVERY_S, CATCH_UP_S) + 8)
    record(f"all core machines run, and have done so for {now() - back:.0f} s")
    before = await read_back(fleet, record, 2)
    other.kill()
    killed = now()
    await asyncio.sleep(RECOVERY_S)
    written = sum(1 for client in clients for at in client.acknowledged.values() if at > killed + CONTACT_S)
    after = await read_back(fleet, record, CONTACT_S + 2)
    for task in tasks:
        task.cancel()
    record(f"one core machine of three is down for {now() - killed:.0f} s; writes acknowledged since {CONTACT_S:.0f} s after that: {written}")
    record(f"read back before: {before}; with one machine down: {after}; acknowledged: {acknowledged}")
    if before is None or before < acknowledged or acknowledged < 200:
        return 2
    return 1 if after is None or after < acknowledged else 0


run(case, HERE)
