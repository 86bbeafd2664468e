"""Keyed requests over a split of two pools, while answers get lost and clients retry.

One proxy, two pools of two nodes. The nodes of a pool drop repeats of a key for 10 s. For some seconds nodes run
requests and their answers get lost; clients retry once what has failed, with the same key and a new id.
"""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import rig  # noqa: E402

REQUESTS = 24
PAUSE_S = 0.15
LOST_S = 3.0
DEADLINE_MS = 1500
WINDOW_S = 10.0

ROUTES = """
[[pool]]
name = "blue"
backends = [{blue}]
[[pool.class]]
name = "claim-submit"
effect = "keyed"
group = "all"
window_ms = 10000
aim_ms = 700
deadline_ms = 2000
[[pool]]
name = "green"
backends = [{green}]
[[pool.class]]
name = "claim-submit"
effect = "keyed"
group = "all"
window_ms = 10000
aim_ms = 700
deadline_ms = 2000
[[route]]
name = "claims"
[[route.split]]
pool = "blue"
weight = 50
[[route.split]]
pool = "green"
weight = 50
"""


class Pool:
    """Nodes that share which keys they have seen: each runs a key once in 10 s, and answers a repeat as the first."""

    def __init__(self, name, record):
        self.name, self.record, self.ports = name, record, [rig.free_port() for _ in range(2)]
        self.seen, self.ran, self.answers_lost = {}, [], False

    def addresses(self):
        return ", ".join(f'"127.0.0.1:{port}"' for port in self.ports)

    async def start(self):
        self.servers = [await asyncio.start_server(self.serve, "127.0.0.1", port) for port in self.ports]

    async def serve(self, reader, writer):
        try:
            while True:
                _, headers, _ = await rig.read_message(reader)
                key, identity = headers["idempotency-key"], headers["req-id"]
                if rig.now() - self.seen.get(key, -WINDOW_S) >= WINDOW_S:
                    self.seen[key] = rig.now()
                    self.ran.append(key)
                    self.record(f"{self.name} runs {key} of request {identity}")
                else:
                    self.record(f"{self.name} drops the repeat {key} of request {identity}")
                await asyncio.sleep(0.02)
                if self.answers_lost:
                    # The connection stays open and silent.
                    self.record(f"{self.name}: the answer to {identity} is lost")
                    await asyncio.sleep(60)
                body = f"{key} done".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except rig.ENDED:
            pass
        finally:
            writer.close()


async def play(case):
    pools = [Pool("blue", case.record), Pool("green", case.record)]
    for pool in pools:
        await pool.start()
    registry = rig.Registry([])
    await registry.start()
    routes = case.folder / "routes.toml"
    routes.write_text(ROUTES.format(blue=pools[0].addresses(), green=pools[1].addresses()))
    classes = [rig.one_class("claim-submit", "dedup", 2000.0)]
    config = {"name": "n0", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": registry.address(),
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
              "routes": str(routes), "settings": rig.settings(0, 1, classes)}
    await case.daemon("n0", config).start()
    await asyncio.sleep(1)
    host, port = config["listen"].split(":")
    ids = iter(range(1, 1 << 20))

    async def submit(number):
        """One claim: a try, and one retry if that was refused, at once, within the time that nodes remember its key."""
        key = f"{number:032x}"
        for attempt in ("try", "retry"):
            identity = f"{next(ids):016x}"
            mark = "Req-Retry: 1\r\n" if attempt == "retry" else ""
            request = (f"POST /claim-submit HTTP/1.1\r\nHost: x\r\nReq-Id: {identity}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\n"
                       f"Idempotency-Key: {key}\r\n{mark}Content-Length: 2\r\n\r\nhi")
            case.record(f"client sends {attempt} {identity} of {key}")
            status, _ = await rig.http(host, int(port), request, 4)
            case.record(f"client gets {status} for {identity}")
            # "429 or 503 | refused: trying again is harmless". What has failed otherwise is left alone.
            if status not in (429, 503):
                return

    # Warm: some claims without trouble.
    for number in range(1000, 1010):
        await submit(number)
    if rig.TROUBLE:
        for pool in pools:
            pool.answers_lost = True
        case.record("answers get lost")

        def over():
            for pool in pools:
                pool.answers_lost = False
            case.record("answers get lost no more")
        asyncio.get_running_loop().call_later(LOST_S, over)

    async def later(number):
        await asyncio.sleep(number * PAUSE_S)
        await submit(number)

    await asyncio.gather(*(later(number) for number in range(REQUESTS)))
    await asyncio.sleep(1)
    ran = [key for pool in pools for key in pool.ran]
    breaks = [f"key {key} ran {ran.count(key)} times: " + ", ".join(p.name for p in pools if key in p.ran)
              for key in sorted(set(ran)) if ran.count(key) > 1]
    print(f"{len(set(ran))} keys ran, {len(breaks)} of them more than once")
    return breaks


rig.main(HERE, play)
