"""An executor leaves the planned way while a task runs on it; the ack of its Deregister is lost."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import Client, http, job, job_id, main, read_message

# "It continues serving for `drain-ms` after the ack and a little longer".
LINGER_S = 2.3
# "If it receives no ack, it ends anyway, some seconds later."
UNACKED_S = 3.0


class SilentChannel:
    """A proxy on the path of one channel: it passes the request on, and the channel then goes silent
    without a reset, so that the response never arrives."""

    def __init__(self, ip, to):
        self.address, self.to = (ip, 8166), to

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        upstream_reader, upstream_writer = await asyncio.open_connection(*self.to)
        head, headers, body = await read_message(reader)
        lines = [head] + [f"{name}: {value}" for name, value in headers.items()]
        upstream_writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await upstream_writer.drain()
        await read_message(upstream_reader)
        await asyncio.sleep(30)


async def play(world, trouble):
    for zone in ("za", "zb", "zc"):
        for _ in range(2):
            world.add_executor(zone)
    await world.start()
    client, name = Client(world), job_id()
    edge = world.edges[0]
    # One task of 8 s; the client waits for up to 30 s.
    sent = asyncio.ensure_future(client.submit([edge], name, job(1, 8000), 30))
    await asyncio.sleep(1.0)
    run, executor = world.find_runs(name)[0]
    await executor.drain()
    await asyncio.sleep(LINGER_S)
    executor.tasks[1].cancel()
    core = world.cores[0]
    address = (core.ip, 8166)
    if trouble:
        channel = SilentChannel(f"127.{world.subnet}.4.1", address)
        await channel.start()
        address = channel.address
    executor.log("deregisters")
    path = f"/greengageproxy/Instances.Deregister/{executor.id}"
    try:
        status, _, _ = await http(address, "POST", path, {"born": executor.born}, timeout=UNACKED_S)
        executor.log("has the ack for its Deregister", status=status)
    except asyncio.TimeoutError:
        executor.log("has no ack for its Deregister")
    executor.end("ends")
    await sent
    await asyncio.sleep(1.0)
    return [f"TWICE: {a.task} runs on {x.id} (run {a.number}) and on {y.id} (run {b.number}) at the same "
            f"time for {seconds * 1000:.0f} ms" for a, x, b, y, seconds in world.overlaps()]


main(os.path.dirname(os.path.abspath(__file__)), play)
