"""A client over JSON-RPC whose writes end within texts, for longer than 2 s.

One proxy, four nodes. The client sends one call after another on one connection. Each write holds the rest of one text
and the beginning of the next; each text is whole 50 ms after its first byte.
"""
import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import rig  # noqa: E402
import rpc  # noqa: E402

CALLS = 120
PAUSE_S = 0.05
WORK_S = 0.3

ROUTES = """
[[pool]]
name = "claims-store"
registry = "default"
[pool.rpc]
declined = -32050
[[pool.class]]
name = "payout"
effect = "unsafe"
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
name = "payout"
class = "payout"
"""


async def play(case):
    nodes = [rpc.Node(f"s{number}", case.record, WORK_S) for number in range(1, 5)]
    for node in nodes:
        await node.start()
    registry = rig.Registry([rig.host_entry(node.name, node.address()) for node in nodes])
    await registry.start()
    port = rig.free_port()
    routes = case.folder / "routes.toml"
    routes.write_text(ROUTES.format(port=port))
    config = {"name": "n0", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": registry.address(),
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
              "routes": str(routes), "known": registry.whole(),
              "settings": rig.settings(0, 1, [rig.one_class("payout", "fragile", 2000.0)])}
    await case.daemon("n0", config).start()
    await asyncio.sleep(1)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sent, answers, ended = {}, {}, []

    async def read():
        while True:
            line = await reader.readline()
            if not line:
                ended.append(rig.now())
                case.record("client sees the end of the connection")
                return
            case.record(f"client gets {line.decode().strip()[:200]}")
            answer = json.loads(line)
            if answer.get("id") is not None:
                answers[answer["id"]] = rig.now()

    reading = asyncio.ensure_future(read())
    rest = b""
    for number in range(1, CALLS + 1):
        # A client that reads the end of the connection sends nothing more.
        if ended:
            break
        text = rpc.line({"jsonrpc": "2.0", "id": number, "method": "payout", "params": {"mark": f"p{number}"}})
        cut = len(text) // 2 if rig.TROUBLE else len(text)
        try:
            # The rest of the text before, which makes that one whole, and the beginning of this one.
            writer.write(rest + text[:cut])
            await writer.drain()
        except OSError:
            break
        if rest or not rig.TROUBLE:
            whole = number - 1 if rig.TROUBLE else number
            sent[whole] = rig.now()
            case.record(f"client has sent call {whole} whole")
        rest = text[cut:]
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(4)
    reading.cancel()
    began = {mark for node in nodes for _, mark in node.began}
    lost = [number for number in sent if number not in answers]
    print(f"{len(sent)} calls were sent whole, {len(lost)} of them never answered; the connection "
          + (f"ended at {ended[0]:.2f}" if ended else "stayed open"))
    return [f"call {number}, whole at {sent[number]:.2f}, was never answered"
            + (f"; the connection ended at {ended[0]:.2f}" if ended else "")
            + ("; a node had run it" if f"p{number}" in began else "") for number in lost]


rig.main(HERE, play)
