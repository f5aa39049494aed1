"""Workers crash one after the other, three times under the same job, which could be done."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))

from small_site import TROUBLE, Site, Worker, config, job_id, now, run  # noqa: E402

STEP = {"count": 1, "cpu": 8000, "mem-mb": 16000, "gpus": 8, "estimated-ms": 6000}

# Crashes, each of one worker in eight, and how long it is down.
CRASHES = 4
DOWN = 3.0


async def case(record):
    site = Site(record, lambda worker, task, run: (6.0, "done"))
    try:
        workers = [Worker(site, n, rack=f"r1-{n // 4}") for n in range(8)]
        await site.open(config(), workers)
        job = job_id()
        status = await site.submit(site.daemons[0], "day", job, [STEP])
        if status != 200:
            raise RuntimeError("the job was not accepted")

        async def crash_under():
            """Crashes the worker on which the job has run for half of its time, and starts it again."""
            for _ in range(CRASHES if TROUBLE else 0):
                running = None
                while running is None:
                    await asyncio.sleep(0.02)
                    for worker in workers:
                        for found in worker.running.values():
                            if found["task"].startswith(job) and now() - found["begun"] > 3.0:
                                running = worker
                running.crash()
                await asyncio.sleep(DOWN)
                await running.start()

        crashes = asyncio.create_task(crash_under())
        state = None
        end = now() + 90
        while now() < end and state not in ("completed", "failed", "cancelled"):
            await asyncio.sleep(0.5)
            state = await site.state("day", job)
        crashes.cancel()
        ends = [end[3] for end in site.ends if end[2]["task"].startswith(job)]
        failed = ends.count("failed")
        kept = state == "completed"
        return kept, f"the job is shown as {state} after {len(site.starts)} starts with the ends {ends}, {failed} of them failed"
    finally:
        await site.close()


run(case)
