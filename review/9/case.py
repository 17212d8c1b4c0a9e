"""An access machine gets SIGTERM while a client has an open transaction that has not used a database yet."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import GRACE_S, Client, main, route  # noqa: E402

GUARD_MS = int(os.environ.get("GUARD_MS", "8000"))
LOSS_SLACK_S = 0.2


async def case(world, trouble):
    record = world.record
    service = world.service("records")
    hosts = world.net.host
    for number, role in ((1, "primary"), (2, "replica"), (3, "replica")):
        service.add(number, hosts(30 + number), f"z{number}", role)
    await world.start()
    await asyncio.sleep(2)
    configured = await world.configure([route("r-directory", "directory", "records", guard=GUARD_MS, target=800)])
    if not configured or not await world.ready():
        return None
    await asyncio.sleep(3)
    clients = [Client(world, 0, "directory", f"client-{number}") for number in range(8)]
    for each in clients:
        if not await each.open():
            return None
    stopped_at = record.now()
    if trouble:
        world.signal("access-1", signal.SIGTERM)

    async def transaction(client, after):
        await asyncio.sleep(after)
        answer, state, _ = await client.ask("BEGIN")
        if state != "T":
            return None
        await asyncio.sleep(0.7)
        client.sent = record.now()
        answer, state, _ = await client.ask("READ 1a4", patience=9)
        client.ended = record.now()
        if answer is None:
            return False
        if state == "T":
            await client.ask("ROLLBACK")
        return True

    ends = await asyncio.gather(*(transaction(each, 1.9 + 0.03 * i) for i, each in enumerate(clients)))
    if trouble:
        while world.processes["access-1"].poll() is None and record.now() - stopped_at < GRACE_S + 1:
            await asyncio.sleep(0.02)
        record.line(f"access-1 ended with {world.processes['access-1'].poll()}")
    lost = [each for each, end in zip(clients, ends) if end is False and each.ended - each.sent > LOSS_SLACK_S]
    for each in lost:
        record.line(
            f"LOST: {each.name} sent its READ {each.sent - stopped_at:.3f} s after the SIGTERM; the connection closed "
            f"{each.ended - stopped_at:.3f} s after it, without an answer and without a database having got it"
        )
    if None in ends:
        return None
    return not lost


main(case, FOLDER, access_zones=("z1", "z2", "z3"))
