"""A fleet of proxies with routes, for changes of its version."""
import asyncio
import json
import socket

import rig

ROUTES = """
[[pool]]
name = "payouts"
backends = ["{backend}"]
{more}
[[pool.class]]
name = "payout"
effect = "unsafe"
aim_ms = 700
deadline_ms = 2000
[[route]]
name = "all"
pool = "payouts"
"""


class Fleet:
    """Proxies of one fleet, each with a state folder and an admin address."""

    def __init__(self, case, size, probation_ms):
        self.case, self.size, self.probation_ms = case, size, probation_ms
        self.proxies, self.admin, self.requests = [], [], 0

    def file(self, name, backend, more=""):
        (self.case.folder / f"{name}.toml").write_text(ROUTES.format(backend=backend.address(), more=more))

    async def start(self):
        """Starts all proxies with the routes of the file `first`."""
        folder = self.case.folder
        registry = rig.Registry([])
        await registry.start()
        (folder / "fleet.key").write_text("a key for reviews alone, of some length\n")
        (folder / "fleet.toml").write_text('name = "review"\nkey_file = "fleet.key"\nperiod_ms = 300\n')
        peers = [f"127.0.0.1:{rig.free_port(socket.SOCK_DGRAM)}" for _ in range(self.size)]
        for number in range(self.size):
            self.admin.append(f"127.0.0.1:{rig.free_port()}")
            state = folder / f"state-{number}"
            state.mkdir()
            self.proxies.append(self.case.daemon(f"n{number}", {
                "name": f"n{number}", "listen": f"127.0.0.1:{rig.free_port()}", "discovery": registry.address(),
                "admin": self.admin[number], "seed": f"8c1f30d27a5be9{number:02x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "peer_listen": peers[number], "peers": peers, "fleet": str(folder / "fleet.toml"),
                "routes": str(folder / "first.toml"), "state": str(state), "probation_ms": self.probation_ms,
                "settings": rig.settings(number, self.size, [rig.one_class("payout", "fragile", 2000.0)])}))
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        # Until the members know each other.
        await asyncio.sleep(2)

    async def ask(self, number):
        """Sends a payout to a proxy; returns its id, the status, and the name of the backend that ran it."""
        self.requests += 1
        identity = f"{number + 1:08x}{self.requests:08x}"
        host, port = self.proxies[number].config["listen"].split(":")
        request = (f"POST /payout HTTP/1.1\r\nHost: x\r\nReq-Id: {identity}\r\nReq-Deadline-Ms: 2000\r\n"
                   "Content-Length: 2\r\n\r\nhi")
        self.case.record(f"n{number} is sent {identity}")
        status, body = await rig.http(host, int(port), request, 4)
        answer = body.decode()
        self.case.record(f"n{number} answers {identity}: {status} {answer}")
        return identity, status, answer.split(" ")[0]

    async def apply(self, number, name, *more):
        code, text = await rig.command(self.case.record, "apply", str(self.case.folder / f"{name}.toml"), *more,
                                       "--admin", self.admin[number])
        if code != 0:
            raise rig.CannotRun(f"apply {name}: {text}")

    async def undo(self, number):
        code, text = await rig.command(self.case.record, "undo", "--admin", self.admin[number])
        if code != 0:
            raise rig.CannotRun(f"undo: {text}")

    async def status(self, number):
        host, port = self.admin[number].split(":")
        _, body = await rig.http(host, int(port), "GET /config/status HTTP/1.1\r\nHost: x\r\n\r\n", 3)
        return json.loads(body)

    async def wait_told(self, number, words, limit, meanwhile=None):
        """Waits until a message about changes at a proxy has these words."""
        until = rig.now() + limit
        while not any(words in line for line in (await self.status(number))["told"]):
            if rig.now() > until:
                raise rig.CannotRun(f"n{number} did not report {words!r} in {limit} s")
            if meanwhile:
                await meanwhile()
            await asyncio.sleep(0.02)
        self.case.record(f"n{number} has reported {words!r}")

    async def describe(self):
        for number in range(self.size):
            self.case.record(f"n{number}: {json.dumps(await self.status(number))}")
            await rig.command(self.case.record, "fleet", "versions", "--admin", self.admin[number])
