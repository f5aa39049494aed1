"""A start has no answer and is carried out late, by the next incarnation of a worker that has crashed meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))

from small_site import Reply, Silence, TROUBLE, Site, Worker, config, job_id, now, run  # noqa: E402

SHORT = {"count": 3, "cpu": 1000, "mem-mb": 1000, "gpus": 1, "estimated-ms": 500}
LONG = {"count": 1, "cpu": 4000, "mem-mb": 4000, "gpus": 4, "estimated-ms": 25000}

# Limits of the disruptions: share of the orders that are late, for how long, their delay, and a crash.
LATE_SHARE = 0.055
LATE_SPAN = 5.5
DELAY = (2.0, 12.0)
DOWN = 0.6

# Time from the start without an answer to the crash.
CRASH_AFTER = 5.0


class LateWorker(Worker):
    """Leaves the start orders of one task unanswered, and carries them out when it is back after a crash."""

    async def handle(self, method, path, query, headers, body):
        site = self.site
        if path in ("/-/run-start", "/-/run-stop"):
            site.orders.append(now())
        is_late = TROUBLE and path == "/-/run-start" and site.long and site.long in body.decode()
        if is_late and site.late_on in (None, self):
            # The orders of the first run only: the first try and its repetition.
            site.late_on = self
            site.late.append((now(), method, path, headers, body))
            site.record(f"worker {self.id}: start {site.long} has no answer: {body.decode()[:70]}")
            raise Silence()
        return await super().handle(method, path, query, headers, body)


class Watched(Site):
    """Notes the tasks of which two runs are active at the same time."""

    def __init__(self, *args):
        super().__init__(*args)
        self.long, self.late_on, self.late, self.orders, self.twice = None, None, [], [], []

    def note_start(self, worker, order):
        super().note_start(worker, order)
        for other in self.workers:
            for found in other.running.values():
                if found["task"] == order["task"] and found["run"] != order["run"] and other.up:
                    self.twice.append(order["task"])
                    self.record(
                        f"task {order['task']}: run {order['run']} on {worker.id} beside run {found['run']} on {other.id}")


async def case(record):
    def behaviour(worker, task, run):
        return (25.0 if task.startswith(site.long or "-") else 0.5), "done"

    site = Watched(record, behaviour)
    try:
        workers = [LateWorker(site, n, rack=f"r1-{n // 4}") for n in range(8)]
        await site.open(config(), workers)

        async def traffic():
            num = 0
            while True:
                num += 1
                await site.submit(site.daemons[num % 2], "day", job_id(), [SHORT])
                await asyncio.sleep(0.15)

        background = asyncio.create_task(traffic())
        await asyncio.sleep(3)
        site.long = job_id()
        await site.submit(site.daemons[0], "day", site.long, [LONG])
        if TROUBLE:
            while not site.late:
                await asyncio.sleep(0.01)
            first, crashing = site.late[0][0], site.late_on
            await asyncio.sleep(max(0.0, first + CRASH_AFTER - now()))
            elsewhere = any(
                r["task"].startswith(site.long) for w in workers if w is not crashing for r in w.running.values())
            record(f"the task runs elsewhere: {elsewhere}")
            span = [at for at in site.orders if first - 1 <= at <= first - 1 + LATE_SPAN]
            share = len(site.late) / len(span)
            record(f"{len(site.late)} of {len(span)} orders within {LATE_SPAN} s are late")
            if share > LATE_SHARE:
                raise RuntimeError(f"a share of {share:.3f} of the orders is late")
            crashing.crash()
            await asyncio.sleep(DOWN)
            site.long_done, site.late_on = site.long, "over"
            await crashing.start()
            for at, method, path, headers, body in site.late:
                delay = now() - at
                if not DELAY[0] <= delay <= DELAY[1]:
                    raise RuntimeError(f"an order would be carried out after {delay:.1f} s")
                record(f"worker {crashing.id}: a start meant for its former life is carried out after {delay:.1f} s")
                try:
                    await Worker.handle(crashing, method, path, {}, headers, body)
                except Reply as reply:
                    record(f"worker {crashing.id}: it is refused: {reply.status} {reply.body}")
        await asyncio.sleep(10)
        background.cancel()
        starts = [order for _, _, _, order in site.starts if order["task"].startswith(site.long)]
        done = sum(1 for end in site.ends if end[3] == "done")
        seen = f"{len(site.twice)} times two runs of a task at the same time; {len(starts)} starts of the long task, {done} runs done"
        return not site.twice and starts and done > 50, seen
    finally:
        await site.close()


run(case)
