"""A status report of another writer names a service that no configuration knows, and the address of a
live executor. It names no executor to use; the others hold."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Client, http, job, job_id, main


async def play(world, trouble):
    for zone in ("za", "zb", "zc"):
        for _ in range(2):
            world.add_executor(zone)
    await world.start()
    client, name = Client(world), job_id()
    sent = asyncio.ensure_future(client.submit([world.edges[0]], name, job(1, 4000), 20))
    await asyncio.sleep(1.0)
    run, executor = world.find_runs(name)[0]
    if trouble:
        report = executor.report()
        executor.sequence -= 1
        report.update({"service": "not-ours", "born": int(time.time() * 1000), "sequence": 1})
        core = world.cores[0]
        status, _, _ = await http((core.ip, 8166), "POST", "/greengageproxy/Instances.Heartbeat/w-77", report)
        world.record.write(f"another writer reports w-77 of service not-ours at {report['address']}: {status}")
    status = await sent
    await asyncio.sleep(1.0)
    breaks = [f"TWICE: {a.task} runs on {x.id} (run {a.number}) and on {y.id} (run {b.number}) at the same "
              f"time for {seconds * 1000:.0f} ms" for a, x, b, y, seconds in world.overlaps()]
    return breaks


main(os.path.dirname(os.path.abspath(__file__)), play)
