"""A job whose cancelling was answered starts seconds later, and runs on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin

JOB = "00000000000000e1"
# An unanswered write is carried out 1 to 6 s later.
LATE_S = 5.8
CANCEL_S, STOP_GRACE_S, CONTACT_S = 3.0, 0.4, 3.0


async def case(site):
    site.configure(1, [("recon", 1)], [("alpha", "key-a", 0)])
    for num in range(2):
        await site.add_worker(f"w{num}", zone="za" if num == 0 else "zb")
    await site.add_daemons(2)
    losing = False
    writes, lost = 0, []

    def fault(port, method, path, body):
        nonlocal writes
        if path != "/-/kv-txn" or not losing:
            return None
        writes += 1
        if any(JOB in put["key"] for put in body.get("puts", [])):
            lost.append(site.record.now())
            return ("late", LATE_S)
        return None

    site.store.fault = fault
    await site.until_ready()
    body = {"spec": '{"ms":60000}', "steps": [
        {"count": 1, "cpu": 1000, "mem-mb": 1000, "estimated-ms": 60000}]}
    small = {"spec": '{"ms":200}', "steps": [
        {"count": 1, "cpu": 100, "mem-mb": 100, "estimated-ms": 200}]}

    async def traffic():
        for num in range(40):
            await site.submit("recon", f"{num:015x}f", "key-a", small)
            await asyncio.sleep(0.05)

    site.tasks.append(asyncio.ensure_future(traffic()))
    losing = standin.TROUBLE
    await asyncio.sleep(0.3)
    await site.call("POST", "recon", JOB, "key-a", body, site.daemons[0])
    losing = False
    if standin.TROUBLE:
        site.record(f"store    answers all calls again; {len(lost)} of {writes} writes had no answer")
    await asyncio.sleep(0.3)
    cancelled = None
    while cancelled not in (200, 410):
        cancelled, _ = await site.call("DELETE", "recon", JOB, "key-a", daemon=site.daemons[1])
    acked = site.record.now()
    # All writes have been carried out, and the store has been calm for `contact-ms` and for the
    # time within which a task of a cancelled job has to be gone.
    settled = max([acked] + [at + LATE_S for at in lost]) + CONTACT_S + CANCEL_S + STOP_GRACE_S
    await asyncio.sleep(settled + 0.5 - site.record.now())
    starts = [start[0] for start, _ in site.starts(JOB)]
    if site.running(JOB) and starts[-1] > acked + CANCEL_S:
        await site.call("GET", "recon", JOB, "key-a", daemon=site.daemons[1])
        return (f"{JOB} was started {starts[-1] - acked:.1f} s after its cancelling was answered with "
                f"{cancelled}, and still runs {site.record.now() - acked:.1f} s after it")
    return None


standin.main(__file__, case)
