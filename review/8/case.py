"""Workers crash one after the other, and each starts again at once under its id, as another kind."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))

from small_site import TROUBLE, Site, Worker, config, job_id, now, run  # noqa: E402

STEP = {"count": 6, "cpu": 3000, "mem-mb": 4000, "gpus": 1, "estimated-ms": 1500, "requirements": "a"}

# Time from one crash to the next, of one worker in eight, and how long it is down.
INTERVAL = 4.0
DOWN = 0.6
LENGTH = 60


class Watched(Site):
    """Notes the starts on workers without the label that the step requires."""

    def __init__(self, *args):
        super().__init__(*args)
        self.wrong = []

    def note_start(self, worker, order):
        super().note_start(worker, order)
        if worker.kind != STEP["requirements"]:
            self.wrong.append(f"{order['task']} run {order['run']}")
            self.record(f"worker {worker.id} is of kind {worker.kind}; the step requires kind a")


async def case(record):
    site = Watched(record, lambda worker, task, run: (1.5, "done"))
    try:
        # Half of the workers are of kind a, the others of kind c.
        workers = [Worker(site, n, rack=f"r1-{n // 4}", kind="ac"[n % 2]) for n in range(8)]
        await site.open(config(), workers)
        sent, start = 0, now()

        async def crashes():
            turn = 0
            while TROUBLE and now() < start + LENGTH - 6:
                await asyncio.sleep(INTERVAL - DOWN)
                worker = workers[turn % len(workers)]
                turn += 1
                worker.crash()
                await asyncio.sleep(DOWN)
                worker.kind = "c" if worker.kind == "a" else "a"
                # It writes its new entry to the store at once.
                await worker.start()

        task = asyncio.create_task(crashes())
        while now() < start + LENGTH:
            sent += 1
            await site.submit(site.daemons[sent % 2], "day", job_id(), [STEP])
            await asyncio.sleep(0.4)
        task.cancel()
        done = sum(1 for end in site.ends if end[3] == "done")
        seen = f"{len(site.wrong)} starts of tasks that require kind a on workers of kind c; " \
            f"{sent} jobs, {len(site.starts)} starts, {done} done"
        return not site.wrong and done > 200, seen
    finally:
        await site.close()


run(case)
