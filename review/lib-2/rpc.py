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


def line(value):
    return json.dumps(value).encode() + b"\n"
