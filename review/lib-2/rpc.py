"""JSON-RPC over TCP, a text a line: nodes and clients, as docs/operators/json-rpc.md describes them."""
import asyncio
import json

import rig


class Node:
    """A node: takes calls, runs each for a while, and answers. It runs `slots` calls at once, and queues no others."""

    def __init__(self, name, record, work_s, declined=-32050, slots=64):
        self.name, self.record, self.work_s, self.declined, self.slots = name, record, work_s, declined, slots
        self.port, self.began, self.busy = rig.free_port(), [], 0

    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 23)

    async def serve(self, reader, writer):
        tasks = set()
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                if not line.strip():
                    continue
                task = asyncio.ensure_future(self.run(json.loads(line), writer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except rig.ENDED:
            pass
        finally:
            # "A cancel or a time-out stops nothing: waiting and running work go on."
            writer.close()

    async def run(self, call, writer):
        answer = {"jsonrpc": "2.0", "id": call.get("id")}
        mark = call.get("params", {}).get("mark")
        try:
            if self.busy >= self.slots:
                self.record(f"{self.name} declines {mark}")
                answer["error"] = {"code": self.declined, "message": "busy"}
            else:
                self.busy += 1
                self.began.append((rig.now(), mark))
                self.record(f"{self.name} begins {mark}")
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.busy -= 1
                answer["result"] = {"by": self.name, "mark": mark}
            if "id" in call:
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except rig.ENDED:
            pass


ROUTES = """
[[pool]]
name = "claims-store"
registry = "default"
[pool.rpc]
declined = -32050
calls = {calls}
[[pool.class]]
name = "claim-status"
effect = "safe"
aim_ms = 2500
deadline_ms = {deadline_ms}
[[pool.class]]
name = "payout"
effect = "unsafe"
aim_ms = 2500
deadline_ms = {deadline_ms}
[[route]]
name = "all"
pool = "claims-store"
[[listener]]
name = "remote"
listen = "{listen}"
framing = "lines"
protocol = "json-rpc"
[[listener.method]]
name = "claim-status"
class = "claim-status"
[[listener.method]]
name = "payout"
class = "payout"
"""


async def start(case, nodes, deadline_ms=6000, calls=1):
    """Starts nodes, discovery and one daemon with a JSON-RPC listener; returns the daemon and the listener's port."""
    for node in nodes:
        await node.start()
    registry = rig.Registry([rig.host_entry(node.name, node.address()) for node in nodes])
    await registry.start()
    port = rig.free_port()
    file = case.folder / "routes.toml"
    file.write_text(ROUTES.format(listen=f"127.0.0.1:{port}", deadline_ms=deadline_ms, calls=calls))
    classes = [rig.one_class("claim-status", "retryable", float(deadline_ms)),
               rig.one_class("payout", "fragile", float(deadline_ms))]
    daemon = case.daemon("n0", {
        "name": "n0", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": registry.address(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "routes": str(file), "known": registry.whole(), "settings": rig.settings(0, 1, classes)})
    await daemon.start()
    return daemon, port


def call(number, method, mark):
    return {"jsonrpc": "2.0", "id": number, "method": method, "params": {"mark": mark}}


def line(value):
    return json.dumps(value).encode() + b"\n"
