"""The store is down, the room of two workers shrinks meanwhile, and jobs wait when it is back."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))

from small_site import Reply, TROUBLE, Site, Worker, config, job_id, now, run  # noqa: E402

STEP = {"cpu": 3000, "mem-mb": 4000, "gpus": 8, "estimated-ms": 1500}

# Length of the outage, the time from its begin until the room shrinks, and the part that is left.
DOWN = 4.5
SHRINK_AFTER = 0.1
LEFT = 0.55

# Time after which room that has shrunk counts: `contact-ms` and one beat.
COUNTED_AFTER = 3.0 + 1.5


class Watched(Site):
    """Notes the starts that bring a worker over its capacity."""

    def __init__(self, *args):
        super().__init__(*args)
        self.over = []
        self.shrunk_at = None

    def note_start(self, worker, order):
        super().note_start(worker, order)
        used = len(worker.running) * STEP["gpus"]
        counts = self.shrunk_at is not None and now() >= self.shrunk_at + COUNTED_AFTER
        if used > worker.gpus and counts:
            self.over.append(order["task"])
            self.record(f"worker {worker.id} has {worker.gpus} gpus, and its runs need {used}")


async def case(record):
    site = Watched(record, lambda worker, task, run: (1.5, "done"))
    try:
        workers = [Worker(site, n, rack=f"r1-{n // 4}") for n in range(8)]
        await site.open(config(), workers)
        sent, start = 0, now()
        down_from = start + 6

        async def refuse(*_):
            raise Reply(503)

        async def trouble():
            await asyncio.sleep(down_from - now())
            record("the store is down: it answers 503, also to the workers")
            site.store.fault = refuse
            for worker in workers:
                worker.beating = False
            await asyncio.sleep(SHRINK_AFTER)
            site.shrunk_at = now()
            for worker in workers[:2]:
                worker.gpus, worker.cpu = int(worker.gpus * LEFT), int(worker.cpu * LEFT)
                worker.mem = int(worker.mem * LEFT)
                record(f"worker {worker.id}: its room shrinks to {worker.gpus} gpus")
            await asyncio.sleep(DOWN - SHRINK_AFTER)
            record("the store is back; the workers write with their next heartbeat")
            site.store.fault = None
            for worker in workers:
                worker.beating = True

        task = asyncio.create_task(trouble()) if TROUBLE else None
        while now() < start + 24:
            sent += 1
            step = {**STEP, "count": 2}
            await site.submit(site.daemons[sent % 2], "day", job_id(), [step])
            await asyncio.sleep(0.5)
        if task:
            await task
        done = sum(1 for end in site.ends if end[3] == "done")
        seen = f"{len(site.over)} starts over the capacity of their worker; {sent} jobs sent, {len(site.starts)} starts, {done} done"
        return not site.over and done > 20, seen
    finally:
        await site.close()


run(case)
