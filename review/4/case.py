"""An urgent gang stops three tasks of a long-running step that may miss one."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin

LASTING = "00000000000000b1"
URGENT = "00000000000000a1"
MAY_MISS = 1


async def case(site):
    site.configure(1, [("serve", 2), ("urgent", 0)],
                   [("alpha", "key-a", 0), ("beta", "key-b", 0)])
    for num in range(4):
        await site.add_worker(f"w{num}", zone="za" if num % 2 == 0 else "zb", rack=f"r{num % 2}")
    await site.add_daemons(2)
    await site.until_ready()
    lasting = {"spec": '{"lasts":true}', "steps": [
        {"count": 4, "cpu": 8000, "mem-mb": 8000, "gpus": 8, "estimated-ms": 1000,
         "long-running": True, "may-miss": MAY_MISS}]}
    if not await site.submit("serve", LASTING, "key-b", lasting):
        raise standin.CannotRun("the long-running job was not accepted")
    await site.wait_for(lambda: len(site.running(LASTING)) == 4, 15, "long-running tasks")
    await asyncio.sleep(6)
    count = 3 if standin.TROUBLE else 1
    urgent = {"spec": '{"ms":8000}', "steps": [
        {"count": count, "cpu": 8000, "mem-mb": 8000, "gpus": 8, "estimated-ms": 8000, "gang": count > 1}]}
    if not await site.submit("urgent", URGENT, "key-a", urgent):
        raise standin.CannotRun("the urgent job was not accepted")
    least = 4
    end = site.record.now() + 6
    while site.record.now() < end:
        working = [r for _, r in site.running(LASTING)]
        least = min(least, len(working))
        await asyncio.sleep(0.01)
    if least < 4 - MAY_MISS:
        return f"{4 - least} of 4 tasks of {LASTING} were stopped at the same time, may-miss is {MAY_MISS}"
    return None


standin.main(__file__, case)
