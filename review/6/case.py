"""A primary leaves; one access machine is cut off meanwhile and learns of the change only after the promotion."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import Client, main, route  # noqa: E402

SESSIONS = 16
# as at the small dispatch site: seven access machines in four zones, one of them alone in its zone
ZONES = ("z1", "z1", "z2", "z2", "z3", "z3", "z4")
LATE = 6
THAW_SLACK_S = 0.3


async def case(world, trouble):
    record = world.record
    service = world.service("records")
    hosts = world.net.host
    old = service.add(1, hosts(31), "z1", "primary")
    service.add(2, hosts(32), "z2", "replica")
    service.add(3, hosts(33), "z3", "replica")
    await world.start()
    await asyncio.sleep(2)
    if not await world.configure([route("r-counter", "counter", "records")]) or not await world.ready():
        return None
    await asyncio.sleep(3)
    clients = [Client(world, LATE, "counter", f"client-{number}") for number in range(SESSIONS)]
    for each in clients:
        if not await each.open():
            return None
    await asyncio.sleep(0.5)

    async def begin(client):
        await client.ask("BEGIN", quiet=True)
        answer, state, _ = await client.ask(f"WRITE {client.name} paid")
        client.begun = bool(answer and answer.startswith("COMPLETE") and state == "T")

    cut_at = record.now()
    if trouble:
        world.cut(LATE, True)
        await asyncio.sleep(0.2)
        old.leave()
        while old.acked_quiescing is None and record.now() - cut_at < 3:
            await asyncio.sleep(0.005)
        if old.acked_quiescing is None:
            return None
        await asyncio.sleep(0.4)
        old.cut_core = True
        record.line(f"{old.id} is cut off from the core machines")
    await asyncio.sleep(max(0, cut_at + 1.1 - record.now()))
    await asyncio.gather(*(begin(each) for each in clients))
    begun = [each for each in clients if each.begun]
    record.line(f"{len(begun)} transactions have written and rest")
    if not begun:
        return None
    if trouble:
        while not service.promotions and record.now() - cut_at < 5:
            await asyncio.sleep(0.01)
        if not service.promotions:
            record.line("no promotion in time")
            return None
        await asyncio.sleep(0.05)
        world.cut(LATE, False)
    else:
        await asyncio.sleep(1.5)
    healed_at = record.now()

    async def commit(client, after):
        await asyncio.sleep(max(0, healed_at + after - record.now()))
        client.answer, _, client.id = await client.ask("COMMIT")

    await asyncio.gather(*(commit(each, THAW_SLACK_S + 0.01 + 0.035 * i) for i, each in enumerate(begun)))
    acknowledged = {each.id for each in begun if each.answer and each.answer.startswith("COMPLETE")}
    record.line(f"{len(acknowledged)} of {len(begun)} commits were acknowledged")
    if not trouble:
        return len(acknowledged) == len(begun)
    promoted_at = service.promotions[0][0]
    broken = [
        each
        for each in world.commits
        if each["database"] == old.id and each["id"] in acknowledged and each["at"] > promoted_at and each["at"] > healed_at + THAW_SLACK_S
    ]
    for each in broken:
        record.line(
            f"ONE: commit {each['id']} at {old.id} in term {each['term']}, {each['at'] - promoted_at:.3f} s after the promotion took effect and "
            f"{each['at'] - healed_at:.3f} s after the cut healed; acknowledged to its client"
        )
    old.cut_core = False
    await asyncio.sleep(3)
    held = {entry["id"] for entry in service.leader().log}
    for each in broken:
        record.line(f"{service.leader().id}, the primary, {'holds' if each['id'] in held else 'does not hold'} commit {each['id']}")
    return not broken


main(case, FOLDER, access_zones=ZONES, cut_access=(LATE,))
