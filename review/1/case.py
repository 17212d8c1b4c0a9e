"""A primary is lost for good while a replica that holds all commits is quiescing; its address is used again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Client, Database, now, run  # noqa: E402

DRAIN_S = 7.0
# "serves on for drainMs after the acknowledgement and a little longer (at times many seconds)"
LONGER_S = 5.0
REUSE_GUARD_S = 2.0


async def case(make, trouble, record):
    fleet = make(sync=1)
    primary, quiescing, slower = (fleet.databases[name] for name in ("i-db1", "i-db2", "i-db3"))
    # both replicas are 20 ms behind: one receives at once and applies late, the other receives late and applies at once
    slower.receive_delay, slower.lag = 0.02, 0.0
    if not await fleet.start():
        return 2
    clients = [Client(fleet, machine, f"c{machine.index}n{index}", pause=0.005) for machine in fleet.access for index in range(3)]
    tasks = [asyncio.create_task(client.work()) for client in clients]
    await asyncio.sleep(3)
    release = asyncio.create_task(quiescing.release("i-db4", DRAIN_S + LONGER_S))
    await quiescing.quiescing_acknowledged.wait()
    await asyncio.sleep(1)
    if trouble:
        await primary.crash()
        record("i-db1 is lost for good")
        await asyncio.sleep(REUSE_GUARD_S + 0.5)
        other = Database(fleet, "ledger", "i-led1", primary.address, primary.zone, 0.02)
        other.role = "primary"
        fleet.services["ledger"].leader = "i-led1"
        del fleet.databases["i-db1"]
        fleet.databases["i-led1"] = other
        await other.start()
        record("a database of another service, i-led1, starts at the address of i-db1")
    await asyncio.wait_for(release, 40)
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    acknowledged = {ident: at for client in clients for ident, at in client.acknowledged.items()}
    for client in clients:
        for ident, at in client.sent.items():
            record(f"client {client.name} sent {ident} at {at:.3f}: {client.answers.get(ident, 'no answer')}")
    if len(acknowledged) < 100 or (not trouble and fleet.services["alumni"].promotions):
        return 2
    broken = False
    for at, name, log, others in fleet.services["alumni"].promotions:
        missing = sorted(ident for ident, when in acknowledged.items() if when < at and ident not in log)
        record(f"{name} was promoted at {at:.3f} with {len(log)} commits; acknowledged before and missing: {missing}")
        for other, ids in others.items():
            record(f"at that moment {other} ran and held of these: {[ident for ident in missing if ident in ids]}")
        broken = broken or bool(missing)
    return 1 if broken else 0


run(case, HERE)
