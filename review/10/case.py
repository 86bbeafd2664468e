"""Discovery moves with a new configuration, and its list no longer names a backend that two pools share.

One proxy. The pool `reads` takes its backends from discovery, the pool `writes` lists the same three by address. s1
leaves: the whole list of the new discovery does not name it. It goes on answering.
"""
import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import rig  # noqa: E402

# "What discovery has to tell counts as told 4 s after SIGHUP"; 500 ms to stop sending, and 50 ms on sockets.
TOLD_AFTER_S = 4.0 if rig.TROUBLE else 0.0
GRACE_S = 0.55
# Requests a second of either kind, and what a backend takes for one: some six of a kind are open at a time.
RATE = 60
WORK_S = 0.1

ROUTES = """
[[pool]]
name = "reads"
registry = "default"
[[pool.class]]
name = "look"
effect = "safe"
aim_ms = 700
deadline_ms = 2000
[[pool]]
name = "writes"
backends = [{backends}]
[[pool.class]]
name = "payout"
effect = "unsafe"
aim_ms = 700
deadline_ms = 2000
[[route]]
name = "looks"
class = "look"
pool = "reads"
[[route]]
name = "payouts"
class = "payout"
pool = "writes"
"""


async def play(case):
    backends = [rig.HttpBackend(f"s{number}", case.record, WORK_S) for number in (1, 2, 3)]
    for backend in backends:
        await backend.start()
    entries = [rig.host_entry(backend.name, backend.address()) for backend in backends]
    first, second = rig.Registry(entries), rig.Registry(entries[1:])
    second.seq = 2
    await first.start()
    await second.start()
    routes = case.folder / "routes.toml"
    routes.write_text(ROUTES.format(backends=", ".join(f'"{backend.address()}"' for backend in backends)))
    classes = [rig.one_class("look", "retryable", 2000.0), rig.one_class("payout", "fragile", 2000.0)]
    config = {"name": "n0", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": first.address(),
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
              "routes": str(routes), "known": first.whole(), "settings": rig.settings(0, 1, classes)}
    daemon = case.daemon("n0", config)
    await daemon.start()
    await asyncio.sleep(2)
    host, port = config["listen"].split(":")
    kinds, tasks = {}, set()

    async def ask(name, method, body):
        identity = f"{len(kinds) + 1:016x}"
        kinds[identity] = name
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        request = (f"{method} /{name} HTTP/1.1\r\nHost: x\r\nReq-Id: {identity}\r\nReq-Deadline-Ms: 2000\r\n"
                   f"{length}\r\n{body}")
        case.record(f"client sends {identity} {name}")
        status, answer = await rig.http(host, int(port), request, 4)
        case.record(f"client gets {identity} {status} {answer.decode()}")

    async def load(seconds):
        """Both kinds of requests, each RATE times a second, whether or not earlier ones are answered."""
        begin = rig.now()
        for number in range(int(seconds * RATE)):
            await asyncio.sleep(max(0, begin + number / RATE - rig.now()))
            for words in (("look", "GET", ""), ("payout", "POST", "hi")):
                task = asyncio.ensure_future(ask(*words))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    await load(2)
    if rig.TROUBLE:
        config["discovery"] = second.address()
        daemon.file.write_text(json.dumps(config))
        daemon.signal(signal.SIGHUP)
        # The old one takes no new connection; it closes the open ones after 1.5 s.
        first.server.close()
        asyncio.get_running_loop().call_later(1.5, first.close_connections)
    else:
        await first.set({**entries[0], "health": "DELETED"})
    told = rig.now() + TOLD_AFTER_S
    case.record(f"what discovery has to tell, s1 is gone, counts as told at {told:.2f}")
    await load(TOLD_AFTER_S + 6)
    await asyncio.gather(*tasks)
    late = [(at, identity) for at, identity in backends[0].ran if at > told + GRACE_S]
    print(f"{len(kinds)} requests; s1 got {len(late)} of them after it counted as gone")
    return [f"s1 was sent {kinds[identity]} {identity} {at - told:.2f} s after the proxy counts as told that it is gone"
            for at, identity in late]


rig.main(HERE, play)
