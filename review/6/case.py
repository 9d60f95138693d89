"""An entry of another writer among the servers lets daemons read the same page of the store for ever."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standins2 import Platform, Site, main, now, receive, request_head, request_id

DAEMONS = 4
MEMORY_MB = 260
CONTACT_S = 3.0
# More requests than this may not be lost at a machine.
LOST_ALLOWED = 3
WORK_MS = 300
DEADLINE_MS = 1000
CLIENTS_AT_EACH = 6
# A key has at most 200 bytes, and a value at most `value_bytes`. Another key can be named to compare.
FOREIGN_KEY = os.environ.get("FOREIGN_KEY", "servers/R&D-gateway")
FOREIGN_BYTES = 1_048_576
OBSERVED_S = 30

# The caller has closed the connection itself, after its deadline. That is not a loss.
LATE = "late"

ROUTES = [("bookings", "/bookings/", "non_idempotent", 1000, 1000, 1, 2, "almanaque")]


async def book(record, daemon, answers):
    """Sends non-idempotent requests over a kept connection, one after the other."""
    reader = writer = None
    while True:
        identifier, is_kept, answer = request_id(), writer is not None, None
        has_waited = False
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(*daemon.front)
            head = request_head("POST", f"/bookings/{WORK_MS}", identifier, DEADLINE_MS,
                                "Content-Length: 2\r\n")
            writer.write(head + b"{}")
            answer = await asyncio.wait_for(receive(reader), DEADLINE_MS / 1000 + 0.5)
        except asyncio.TimeoutError:
            has_waited = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        status = answer[0] if answer else LATE if has_waited else None
        answers[identifier] = (now(), daemon.name, status, is_kept)
        if answer is None:
            if writer is not None:
                writer.close()
            reader = writer = None
            await asyncio.sleep(0.3)
        elif status != 200:
            await asyncio.sleep(0.3)


async def case(record, trouble):
    site = Site(record, DAEMONS, ROUTES, [("almanaque", 9)], memory_mb=MEMORY_MB)
    runs = set()
    for target in site.targets:
        target.on_run = lambda identifier, path: runs.add(identifier)
    platform, answers, tasks = Platform(record, site), {}, []
    try:
        await site.start()
        tasks += [asyncio.create_task(platform.watch(daemon)) for daemon in site.daemons]
        for daemon in site.daemons:
            tasks += [asyncio.create_task(book(record, daemon, answers))
                      for _ in range(CLIENTS_AT_EACH)]
        await asyncio.sleep(CONTACT_S + 0.5)
        if trouble:
            await site.store.put(FOREIGN_KEY, random.randbytes(FOREIGN_BYTES))
            record.write(f"another writer puts {FOREIGN_BYTES} bytes under {FOREIGN_KEY}")
        await asyncio.sleep(1)
        leader = next(daemon for daemon in site.daemons if daemon.ip == site.store.last_writer)
        record.write(f"SIGKILL to {leader.name}, which last wrote to the store under a condition")
        killed_at = now()
        leader.was_killed = True
        leader.process.kill()
        await asyncio.sleep(OBSERVED_S)
        lost = {daemon.name: 0 for daemon in site.daemons if daemon is not leader}
        for identifier, (_, name, status, is_kept) in answers.items():
            if name in lost:
                lost[name] += status is None and is_kept and identifier in runs
        pages = {}
        for at, ip, target in site.store.listings:
            if at > killed_at and "prefix=servers/" in target:
                pages[target] = pages.get(target, 0) + 1
        for target, count in pages.items():
            record.write(f"pages read after the kill: {count} of {target}")
        for daemon in site.daemons:
            text = (f"lost requests: {lost[daemon.name]}, allowed: {LOST_ALLOWED}"
                    if daemon.name in lost else "was killed by the test and is not judged")
            record.write(f"{daemon.name}: held at most {platform.peaks[daemon.name]:.0f} MB, ended "
                         f"{platform.ends[daemon.name]} times by itself; {text}")
        late = [status for at, _, status, _ in answers.values() if at > killed_at + OBSERVED_S - 10]
        record.write(f"answers in the last 10 s: {len(late)}, of them 200: {late.count(200)}")
        return any(count > LOST_ALLOWED for count in lost.values())
    finally:
        for task in tasks:
            task.cancel()
        site.stop()


if __name__ == "__main__":
    main(case, FOLDER)
