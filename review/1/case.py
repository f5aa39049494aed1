"""Ended jobs run again after the removal of their records failed and the history was dropped."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin

JOBS = 24
OUTAGE_S = 4.5


async def case(site):
    site.configure(1, [("recon", 1)], [("alpha", "key-a", 0)])
    for num in range(2):
        await site.add_worker(f"w{num}", zone="za" if num == 0 else "zb")
    # The platform sets how long states are kept; a shorter time than 120 s fits the case into the
    # time of a script.
    await site.add_daemons(2, {"bounds.status_s": "30"})
    removals = []
    down = False

    def fault(port, method, path, body):
        if path == "/-/kv-txn" and any("/job" in k for k in body.get("remove", [])):
            site.record(f"store    is asked to remove {body['remove'][0]}{' (down: 503)' if down else ''}")
            removals.append(site.record.now())
        return "busy" if down else None

    site.store.fault = fault
    await site.until_ready()
    jobs = [f"{num:015x}d" for num in range(1, JOBS + 1)]
    body = {"spec": '{"ms":300}', "steps": [
        {"count": 1, "cpu": 1000, "mem-mb": 500, "estimated-ms": 300}]}
    for job in jobs:
        if not await site.submit("recon", job, "key-a", body):
            raise standin.CannotRun(f"{job} was not accepted")
        await asyncio.sleep(0.9)
    await asyncio.sleep(3)
    for job in jobs:
        state = await site.state("recon", job, "key-a")
        if state != "completed":
            raise standin.CannotRun(f"{job} is {state}")
    # Ended jobs are removed every ten seconds. The outage begins two seconds before the next time.
    await site.wait_for(lambda: removals, 90 - site.record.now(), "removal of an ended job")
    await asyncio.sleep(removals[-1] + 8 - site.record.now())
    if standin.TROUBLE:
        site.record("store    is down: 503, leases pause")
        site.store.paused_leases = down = True
        await asyncio.sleep(OUTAGE_S)
        site.store.compact()
        down = site.store.paused_leases = False
        site.record("store    is back, its history is gone")
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(12)
    again = []
    for job in jobs:
        noted = [at for w in site.workers for at, task, _, how in w.noted
                 if task.startswith(job + ".") and how == "done"]
        later = [start[0] for start, _ in site.starts(job) if noted and start[0] > noted[0]]
        if later:
            again.append((job, noted[0], later[0]))
    if again:
        job, noted, start = again[0]
        return (f"tasks of {len(again)} completed jobs started again, such as {job}: its end was "
                f"taken note of at {noted:.1f} s, and it started again at {start:.1f} s")
    return None


standin.main(__file__, case)
