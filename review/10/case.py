"""Clients over JSON-RPC that send a long text and stop before its end, beside a usual client over HTTP.

One proxy with a limit of memory. The platform (this script) looks at the memory of its process, and kills it over the
limit, as DEPLOY says.
"""
import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import rig  # noqa: E402

# "A proxy has ... 32 to 192 MB by language and day".
MEMORY_MB = int(os.environ.get("MEMORY_MB", "64"))
# Of 256 connections that a listener takes by default.
CLIENTS = int(os.environ.get("CLIENTS", "40"))
# Under the limit of a text, `text_kb`, 4096 by default.
TEXT_BYTES = 4000 * 1024

ROUTES = """
[[pool]]
name = "claims-store"
registry = "default"
[pool.rpc]
declined = -32050
[[pool.class]]
name = "look"
effect = "safe"
aim_ms = 700
deadline_ms = 2000
[[route]]
name = "all"
pool = "claims-store"
[[listener]]
name = "remote"
listen = "127.0.0.1:{port}"
framing = "lines"
protocol = "json-rpc"
[[listener.method]]
name = "look"
class = "look"
"""


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def play(case):
    backend = rig.HttpBackend("s1", case.record, 0.2)
    await backend.start()
    registry = rig.Registry([rig.host_entry("s1", backend.address())])
    await registry.start()
    port = rig.free_port()
    routes = case.folder / "routes.toml"
    routes.write_text(ROUTES.format(port=port))
    config = {"name": "n0", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": registry.address(),
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256},
              "routes": str(routes), "known": registry.whole(),
              "settings": rig.settings(0, 1, [rig.one_class("look", "retryable", 2000.0)])}
    daemon = case.daemon("n0", config)
    await daemon.start()
    await asyncio.sleep(1)
    host, listen = config["listen"].split(":")
    breaks, highest, killed = [], 0.0, False

    async def platform():
        nonlocal highest, killed
        while not killed:
            try:
                now = resident_mb(daemon.process.pid)
            except OSError:
                return
            if now > highest + 5:
                case.record(f"n0 holds {now:.0f} MB")
            highest = max(highest, now)
            if now > MEMORY_MB:
                killed = True
                breaks.append(f"n0 holds {now:.0f} MB, its limit is {MEMORY_MB}: it is killed")
                daemon.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def half_a_text():
        # A call whose params are long; the end of the line never comes.
        text = b'{"jsonrpc":"2.0","id":1,"method":"look","params":{"text":"' + b"x" * TEXT_BYTES
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(text)
            answer = await asyncio.wait_for(reader.read(200), 10)
            case.record(f"a client that stopped half-way gets {answer[:120]!r}")
            writer.close()
        except (*rig.ENDED, asyncio.TimeoutError) as error:
            case.record(f"a client that stopped half-way ends with {error!r}")

    async def usual():
        for number in range(40):
            identity = f"{number + 1:016x}"
            request = f"GET /look HTTP/1.1\r\nHost: x\r\nReq-Id: {identity}\r\nReq-Deadline-Ms: 2000\r\n\r\n"
            case.record(f"the usual client sends {identity}")
            try:
                status, _ = await rig.http(host, int(listen), request, 4)
                case.record(f"the usual client gets {status} for {identity}")
            except (*rig.ENDED, asyncio.TimeoutError) as error:
                case.record(f"the usual client gets no answer for {identity}: {error!r}")
                if killed:
                    breaks.append(f"request {identity} was lost with it")
                    return

    watching = asyncio.ensure_future(platform())
    steady = asyncio.ensure_future(usual())
    await asyncio.sleep(1)
    if rig.TROUBLE:
        await asyncio.gather(*(half_a_text() for _ in range(CLIENTS)))
    await steady
    watching.cancel()
    print(f"{highest:.0f} MB at most, the limit is {MEMORY_MB} MB")
    return breaks


rig.main(HERE, play)
