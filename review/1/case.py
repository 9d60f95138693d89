"""TWICE: a target's second answer to the first attempt is taken for the answer to the second one."""

import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import PROMISES, Client, Site, now, run_case  # noqa: E402

# As on the sheet of villacres-mareas: 8 machines, 15 targets of mareas-live.
DAEMONS, TARGETS, SECONDS = 8, 15, 90
BOOKINGS_PER_S, QUERIES_PER_S = 155, 145
# garble (extra late): on this share of the targets, this part of the answers at most, for 5 s.
SPOILED_TARGETS, SPOILED_ANSWERS, SPOILED_S = 0.6, 0.03, 5.0
# applied_late: this part of the grants, for 5.5 s. Both begin together, and come again after a pause.
LATE_GRANTS, LATE_S, PAUSE_S = 0.12, 5.5, 2

HOST = Site.HOST
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
ROUTES = [["book", HOST, "/pufi791/", "non_idempotent", 1000, 400, 1, "huvo11a", 2, None],
          ["query", HOST, "/lohu930/", "idempotent", 800, 300, 2, "huvo11a", 2, None]]
SERVICES = [{"name": "huvo11a", "health_path": "/health", "max_conns": 110, "protocol": "h1",
             "tls": False, "sharded": True, "warm_s": 2.0, "grants": "invoke"}]


class Garble:
    """A target that answers some of the requests that it turns away twice, the second time late."""

    def __init__(self):
        self.answers = self.extra = 0

    def __call__(self, kind, status):
        if kind != "request":
            return False
        self.answers += 1
        if status != 421 or self.extra + 1 > SPOILED_ANSWERS * self.answers:
            return False
        self.extra += 1
        return True


async def main(record, trouble):
    site = Site(record, ROUTES, SERVICES, LIMITS)
    try:
        await site.start(DAEMONS, [("huvo11a", TARGETS)])
        for target in site.targets:
            target.work_ms = lambda method, path: max(
                20, random.gauss(120 if method == "POST" else 90, 35))
        await asyncio.sleep(3)
        garbles = []
        client, tasks, end = Client(site, "c"), set(), now() + SECONDS

        async def load(method, path, per_s, deadline_ms, body):
            while now() < end:
                await asyncio.sleep(random.expovariate(per_s))
                key = random.randrange(65536)
                sending = client.send(random.choice(site.daemons), method, f"{path}{key:x}", key,
                                      deadline_ms, body)
                task = asyncio.create_task(sending)
                tasks.add(task)
                task.add_done_callback(tasks.discard)

        async def disrupt():
            while trouble and now() < end - 8:
                await asyncio.sleep(PAUSE_S)
                record.line("TROUBLE: some answers come twice, and some grants get none and are late")
                for target in random.sample(site.targets, int(TARGETS * SPOILED_TARGETS)):
                    target.sends_extra = Garble()
                    garbles.append(target.sends_extra)
                for target in site.targets:
                    target.delays_grant = lambda: random.random() < LATE_GRANTS
                await asyncio.sleep(SPOILED_S)
                for target in site.targets:
                    target.sends_extra = lambda kind, status: False
                await asyncio.sleep(LATE_S - SPOILED_S)
                record.line("all grants are answered again, and all answers come once")
                for target in site.targets:
                    target.delays_grant = lambda: False

        await asyncio.gather(load("POST", "/pufi791/", BOOKINGS_PER_S, 1000, b"x" * 1200),
                             load("GET", "/lohu930/", QUERIES_PER_S, 800, b""), disrupt())
        await asyncio.sleep(2)
        bookings = {a.request_id: a for a in client.attempts if a.method == "POST"}
        twice = {i: runs for i, runs in site.runs.items() if i in bookings and len(runs) > 1}
        for request_id, runs in twice.items():
            began = ", ".join(f"{run.target.id} at {run.began - record.start:.4f}" for run in runs)
            record.line(f"BROKEN: booking {request_id} ran {len(runs)} times: {began}; "
                        f"the client got {bookings[request_id].status}")
        promised = [i for i, a in bookings.items() if a.status in PROMISES and i in site.runs]
        for request_id in promised:
            record.line(f"beside this, REFUSED: booking {request_id} has run, and was answered "
                        f"{bookings[request_id].status}")
        ends = collections.Counter(f"{a.method} {a.status}" for a in client.attempts)
        extra, answers = sum(g.extra for g in garbles), sum(g.answers for g in garbles)
        text = (f"{len(bookings)} bookings, {len(twice)} of them ran more than once, "
                f"{len(promised)} ran and were answered as not run; "
                f"second answers: {extra} beside {answers}; ends: {dict(ends)}")
        record.line(text)
        print(text)
        served = ends["POST 200"]
        if not trouble and served < 0.95 * len(bookings):
            return 2
        return 1 if twice else 0
    finally:
        await site.stop()


if __name__ == "__main__":
    run_case(main, os.path.join(HERE, "record.txt"))
