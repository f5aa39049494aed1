"""The coordinator is stopped as planned while jobs wait; clients ask the other daemons how many wait."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "kit-2"))

from small_site import TROUBLE, Site, Worker, config, job_id, now, run  # noqa: E402

STEP = {"count": 2, "cpu": 8000, "mem-mb": 16000, "gpus": 8, "estimated-ms": 60000}
JOBS = 600

# Age from which an accepted job counts: visible_ms and 2 s.
COUNTED = 5.0


async def case(record):
    site = Site(record, lambda worker, task, run: (60.0, "done"))
    try:
        workers = [Worker(site, n, rack="r1-1") for n in range(4)]
        await site.open(config(), workers, daemons=4)
        accepted = 0
        for first in range(0, JOBS, 10):
            calls = [
                site.submit(site.daemons[n % 4], "night", job_id(), [STEP], spec="s" * 3000)
                for n in range(first, first + 10)
            ]
            accepted += sum(1 for status in await asyncio.gather(*calls) if status == 200)
        taken = now()
        await asyncio.sleep(COUNTED + 1.0)
        began = {order["task"].split(".")[0] for _, _, _, order in site.starts}
        waiting = accepted - len(began)
        record(f"{accepted} jobs accepted over {now() - taken:.1f} s ago, {len(began)} of them have begun")
        leader = site.coordinator()
        others = [d for d in site.daemons if d is not leader]
        low, answers = [], 0

        async def ask(daemon, until):
            nonlocal answers
            while now() < until:
                status, body = await site.look(daemon, "night")
                if status != 200:
                    continue
                answers += 1
                begun = {order["task"].split(".")[0] for _, _, _, order in site.starts}
                if body["pending-jobs"] * 2 < accepted - len(begun):
                    low.append((daemon.name, body["pending-jobs"]))
                    record(f"client: GET night/ at {daemon.name}: {body}, though {accepted - len(begun)} wait")

        until = now() + 8
        asking = [asyncio.create_task(ask(d, until)) for d in others for _ in range(2)]
        await asyncio.sleep(2)
        if TROUBLE:
            leader.signal(signal.SIGTERM)
        await asyncio.gather(*asking)
        seen = f"{len(low)} of {answers} answers gave less than half of the {waiting} jobs that wait: {low[:3]}"
        return not low and waiting > JOBS // 2 and answers > 100, seen
    finally:
        await site.close()


run(case)
