"""A request that crashes two servers each time before all daemons are killed is never refused."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from standins import CrashingServer, main, read_message, request, status_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0
ROUNDS = 6
DOWN_S = 1.0
ALLOWED = 3


async def send(daemon, path, request_id):
    """Returns the status, or None if there was no answer."""
    try:
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
        writer.write(request("GET", path, request_id, None, 1500))
        status = status_of(await asyncio.wait_for(read_message(reader), 3))
        writer.close()
        return status
    except (OSError, asyncio.TimeoutError):
        return None


async def other_callers(deployment, stop, answers):
    """Reads other pages of the same service all the while."""
    number = 0

    async def one(daemon, name):
        answers.append(await send(daemon, f"/log/{name}", name))

    while not stop.is_set():
        number += 1
        daemon = deployment.daemons[number % len(deployment.daemons)]
        asyncio.create_task(one(daemon, f"other-{number}"))
        await asyncio.sleep(0.018)


async def kill_all(deployment):
    for daemon in deployment.daemons:
        daemon.send_signal(signal.SIGKILL)
    for daemon in deployment.daemons:
        daemon.process.wait()
    await asyncio.sleep(DOWN_S)
    for daemon in deployment.daemons:
        daemon.start()


async def case(deployment):
    await deployment.start(daemons=4, servers=12, kind=CrashingServer)
    for server in deployment.servers:
        server.work_ms = 220
    stop, answers = asyncio.Event(), []
    others = asyncio.create_task(other_callers(deployment, stop, answers))
    for number in range(ROUNDS):
        for daemon in deployment.daemons:
            await daemon.wait_ready()
        # All daemons are in touch again, and all servers are back.
        await asyncio.sleep(CONTACT_S + 1)
        daemon = deployment.daemons[number % len(deployment.daemons)]
        status = await send(daemon, CrashingServer.CRASH_PATH, f"crash-{number}")
        deployment.record.line(f"client got {status} for crash-{number} from {daemon.name}")
        # The daemons have noticed the crashes, and have told each other.
        await asyncio.sleep(1.5)
        if TROUBLE and number + 1 < ROUNDS:
            await kill_all(deployment)
    stop.set()
    await others
    await asyncio.sleep(2)
    crashed = sorted(entry for server in deployment.servers for entry in server.crashed)
    crashes = [at for at, _ in crashed]
    tries = {name for at, name in crashed[3:] if at > crashes[2] + CONTACT_S}
    cut_off = [name for server in deployment.servers for name in server.cut_off]
    late = [at for at in crashes[3:] if at > crashes[2] + CONTACT_S]
    deployment.record.line(
        f"{len(crashes)} servers crashed, {len(late)} of them later than contact_ms after the third"
        f" ({ALLOWED} allowed), in {len(tries)} tries of the caller; {len(cut_off)} other requests were running there;"
        f" others answered 200: {answers.count(200)} of {len(answers)}")
    return len(late) <= ALLOWED


main(FOLDER, case)
