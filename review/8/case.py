"""A request that crashes servers reaches further ones after daemons were restarted in turn."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standins2 import Site, main, now, request_id, send_once

DAEMONS = 4
SERVERS = 9
CONTACT_S = 3.0
# Servers that a request has crashed when it has to stop reaching others.
CRASHES_ALLOWED = 3
# More retries than this may not reach servers after that.
RETRIES_ALLOWED = 3
DEADLINE_MS = 1000
WORK_MS = 200
# How often its caller sends the request again.
REPEAT_S = 1.0
REPEATS_AT_EACH = 4

POISON = "/bookings/slot-17/crash"
ROUTES = [("bookings", "/bookings/", "non_idempotent", 1000, 600, 1, 2, "almanaque")]


class Watch:
    """What the servers have seen."""

    def __init__(self):
        self.poison_runs = []
        self.runs = set()

    def on_run(self, identifier, path):
        self.runs.add(identifier)
        if path == POISON:
            self.poison_runs.append((now(), identifier))


async def send_poison(record, daemon, sent):
    identifier = request_id()
    sent[identifier] = (daemon.name, now(), now() - daemon.started_at >= CONTACT_S)
    answer = await send_once(daemon, "POST", POISON, identifier, DEADLINE_MS, b"slot 17")
    status = answer[0] if answer else None
    record.write(f"request {identifier} with the path {POISON} at {daemon.name} gets {status}")


async def book(daemon, answers):
    """Another client: sends non-idempotent requests, one after the other."""
    index = 0
    while True:
        identifier = request_id()
        path = f"/bookings/other-{index}/{WORK_MS}"
        answer = await send_once(daemon, "POST", path, identifier, DEADLINE_MS, b"{}")
        answers[identifier] = answer[0] if answer else None
        index += 1
        await asyncio.sleep(0.05)


async def case(record, trouble):
    site = Site(record, DAEMONS, ROUTES, [("almanaque", SERVERS)])
    watch, sent, answers, tasks = Watch(), {}, {}, []
    for target in site.targets:
        target.on_run = watch.on_run
    try:
        await site.start()
        await asyncio.sleep(CONTACT_S + 0.5)
        for daemon in site.daemons:
            tasks += [asyncio.create_task(book(daemon, answers)) for _ in range(3)]
        # The request comes again at any machine, until no server gets it any more.
        for index in range(8):
            await send_poison(record, site.daemons[index % DAEMONS], sent)
            await asyncio.sleep(REPEAT_S)
        crashed = sorted(at for at, _ in watch.poison_runs)
        if len(crashed) < CRASHES_ALLOWED:
            raise RuntimeError("the request did not crash three servers")
        third_at = crashed[CRASHES_ALLOWED - 1]
        record.write(f"the request has crashed its third server at {third_at:.3f}")
        await asyncio.sleep(max(0, third_at + CONTACT_S + 0.5 - now()))
        for daemon in site.daemons:
            if trouble:
                await daemon.restart()
                await daemon.wait_until_ready()
                await asyncio.sleep(CONTACT_S + 0.3)
            for _ in range(REPEATS_AT_EACH):
                await send_poison(record, daemon, sent)
                await asyncio.sleep(REPEAT_S)
        late = [identifier for _, identifier in watch.poison_runs
                if sent[identifier][1] > third_at + CONTACT_S and sent[identifier][2]]
        lost = [identifier for identifier, status in answers.items()
                if identifier in watch.runs and status != 200]
        last_at = max(at for _, at, _ in sent.values())
        record.write(f"the request was sent {len(sent)} times until {last_at - third_at:.1f} s after its "
                     f"third crash, and ran {len(watch.poison_runs)} times")
        record.write(f"retries that reached servers, sent by machines in touch later than contact_ms "
                     f"after the third crash: {len(late)}, allowed: {RETRIES_ALLOWED}")
        record.write(f"other clients' requests: {len(answers)} sent, {len(lost)} ran without an answer")
        return len(late) > RETRIES_ALLOWED
    finally:
        for task in tasks:
            task.cancel()
        site.stop()


if __name__ == "__main__":
    main(case, FOLDER)
