"""An access machine gets SIGTERM while clients work through transactions without a pause."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins import GRACE_S, Client, main, route  # noqa: E402

# work of directory reads at the alumni site: 0.41 s at most
WORK_S = 0.3
# BEGIN, ten reads and COMMIT: twelve statements
READS = 10


async def case(world, trouble):
    record = world.record
    service = world.service("records")
    for number, role in ((1, "primary"), (2, "replica"), (3, "replica")):
        service.add(number, world.net.host(30 + number), f"z{number}", role).work_s = WORK_S
    await world.start()
    await asyncio.sleep(2)
    directory = route("r-directory", "directory", "records", "bounded_staleness", guard=3000, target=800, stalenessMs=1500)
    if not await world.configure([directory]) or not await world.ready():
        return None
    await asyncio.sleep(3)
    clients = [Client(world, 0, "directory", f"client-{number}") for number in range(8)]
    for each in clients:
        if not await each.open():
            return None
    stopped_at = record.now()
    if trouble:
        world.signal("access-1", signal.SIGTERM)
    lost = []

    async def transaction(client, after):
        """Whether it could run: a refusal ends it in order."""
        await asyncio.sleep(after)
        _, state, _ = await client.ask("BEGIN READ")
        for text in ["READ 1a4"] * READS + ["COMMIT"]:
            if state != "T":
                return
            sent = record.now()
            answer, state, id = await client.ask(text, patience=9)
            if answer is None:
                lost.append((client.name, id, text, sent, record.now()))

    await asyncio.gather(*(transaction(each, 2.1 + 0.005 * i) for i, each in enumerate(clients)))
    if trouble:
        while world.processes["access-1"].poll() is None and record.now() - stopped_at < GRACE_S + 1:
            await asyncio.sleep(0.02)
        record.line(f"access-1 ended with {world.processes['access-1'].poll()}")
    # not counted if it was sent no later than 3 s after the SIGTERM (and cut in the last sixth of graceS)
    counted = [each for each in lost if each[3] - stopped_at > 3]
    for name, id, text, sent, ended in counted:
        record.line(
            f"LOST: {name} sent {text} {id} {sent - stopped_at:.3f} s after the SIGTERM; it was passed to a database; the connection closed "
            f"{ended - stopped_at:.3f} s after the SIGTERM without an answer"
        )
    return not counted


main(case, FOLDER, access_zones=("z1", "z2", "z3"))
