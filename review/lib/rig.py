"""Stand-ins and helpers for the cases: discovery, JSON-RPC nodes, the daemon as a process.

Standard library only. Everything listens on loopback addresses and free ports.
"""

import asyncio
import ctypes
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# An address of 127.0.0.0/8 for this run, so that two runs do not meet on a port.
HOST = "127.%d.%d.%d" % (77 + os.getpid() % 100, 1 + (os.getpid() // 100) % 250, 1 + os.getpid() % 250)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_port(kind=socket.SOCK_STREAM):
    """Returns a port that is free now on this run's address."""
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = "%8.3f  %s" % (self.now(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, *words):
        self(*words)
        try:
            print(*words, flush=True)
        except OSError:
            pass


def settings(classes=("claim-status",), tenants=("sahel-agro",), slot=0, total=1):
    """Settings with the figures of the example in WIRE (kano-travel)."""
    entry = lambda name: {
        "name": name, "aim": 2500.0, "giveUp": 6000.0, "points": 1.0, "lateWorth": 0.3,
        "semantics": "retryable", "group": "all", "window": 5000.0, "stream": False}
    return {
        "slotNo": slot, "peersTotal": total, "tier": 0, "locality": 0, "localities": ["kano-dc"],
        "tiers": ["claims-gate"], "kinds": ["gate-std"], "tick": 5.0, "overShareWorth": 0.05,
        "discovery": "automatic", "weights": "nominal", "worthBy": "request",
        "tenants": [{"name": t, "quotaPerS": 1000.0, "share": 1.0 / len(tenants)} for t in tenants],
        "classes": [entry(name) for name in classes],
        "caps": {"cancelling": True, "mayDuplicate": True, "retryAfter": False, "maxRetryAfter": 2000.0,
                 "tryLimit": 6, "openCap": 20030, "connIdle": 60000.0, "connectTimeout": 250.0,
                 "peers": True, "probes": True, "streamsPerConn": 1,
                 "cpuUsPerRequest": 0.0, "cpuUsPerS": 500774},
        "guarantees": {"coldFrom": 0.12, "cold": 24000.0, "fallMultiple": 3.0, "fall": 2000.0,
                       "stopSendingWithin": 500.0, "graceToAnswer": 20.0, "askWithin": 10000.0},
        "goal": {"whole": 0.4, "worstClass": 0.1, "worstTenant": 0.4, "worstWindow": 0.1},
        "clients": {"marksRetry": True}, "family": "chain",
    }


class Discovery:
    """The agent of pushed lists: whole lists, and watches that wait for a change."""

    def __init__(self, record):
        self.record, self.seq, self.hosts = record, 1, []
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        return self

    @staticmethod
    def host(name, address, health="SERVING", born_ms=0, block=1):
        return {"host": name, "dial": address, "site": "kano-dc", "class": "gate-std", "block": block,
                "health": health, "share": 1.0, "born_ms": born_ms}

    def tell(self, hosts):
        self.hosts, self.seq = hosts, self.seq + 1
        self.changed.set()
        self.changed = asyncio.Event()
        self.record("discovery", "told", json.dumps(hosts))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
                if "after" in query:
                    end = time.monotonic() + min(int(query.get("wait_ms", "0")), 60000) / 1000
                    while self.seq <= int(query["after"]) and time.monotonic() < end:
                        try:
                            await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                        except asyncio.TimeoutError:
                            pass
                    if self.seq > int(query["after"]):
                        body = {"seq": self.seq, "whole": True, "hosts": self.hosts}
                    else:
                        body = {"seq": self.seq, "whole": False, "hosts": []}
                else:
                    body = {"seq": self.seq, "whole": True, "hosts": self.hosts}
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def end_with_parent():
    """Has the system kill this process when the script that started it ends, however it does."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Daemon:
    """One heathroad process, started with `run` of the deploy file."""

    def __init__(self, record, folder, name, config):
        self.record, self.name, self.config = record, name, config
        self.path = pathlib.Path(folder) / (name + ".json")
        self.log_path = pathlib.Path(folder) / (name + ".log")
        self.process = None

    def write(self):
        self.path.write_text(json.dumps(self.config))

    async def start(self):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if not (ROOT / "target/release/heathroad").exists():
            raise CannotRun("target/release/heathroad is missing: run the build of the deploy file")
        self.write()
        env = dict(os.environ, RELAY_CONFIG=str(self.path), RELAY_NAME=self.name,
                   RELAY_LISTEN=self.config["listen"], RELAY_DISCOVERY=self.config["discovery"])
        env.pop("RELAY_ADMIN", None)
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=end_with_parent)
        log.close()
        self.record("daemon", self.name, "started, process", self.process.pid)
        return self

    def signal(self, number):
        self.record("daemon", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self, seconds=20):
        """Waits until GET /health/ready answers 200."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun("the daemon ended: " + self.log_path.read_text()[-500:])
            try:
                status, _ = await http(self.config["listen"], "GET", "/health/ready")
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the daemon was not ready: " + self.log_path.read_text()[-500:])

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


async def http(address, method, path, body=b"", headers=(), timeout=5.0):
    """One request on a connection of its own; returns the status and the body."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: review", "Connection: close"]
            lines += ["%s: %s" % pair for pair in headers]
            if method != "GET":
                lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = None
            for line in head.split(b"\r\n")[1:]:
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            text = await (reader.readexactly(length) if length is not None else reader.read())
            return status, text
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


async def status(admin):
    code, text = await http(admin, "GET", "/config/status")
    if code != 200:
        raise CannotRun("status: %d %r" % (code, text))
    return json.loads(text)


async def apply(record, admin, text, seconds=40):
    """Applies routes as `heathroad apply` does, and waits until they are committed."""
    before = (await status(admin))["generation"]
    code, said = await http(admin, "POST", "/config/apply", text.encode())
    record("apply", code, said.decode(errors="replace").strip())
    if code != 200:
        raise CannotRun("apply: %d %r" % (code, said))
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        now = await status(admin)
        if now["open"] is None and now["generation"] != before:
            record("apply", "committed", json.dumps(now["told"][-4:]))
            return now
        if now["open"] is None:
            raise CannotRun("the change was not committed: %s" % now["told"])
        await asyncio.sleep(0.05)
    raise CannotRun("the change is not committed in time")


def main(folder, case, limit=110):
    """Runs a case: `await case(record, folder_for_files, keep)` returns the breaks, a list of texts."""
    record = Record(folder)
    files = tempfile.mkdtemp(prefix="heathroad-review-")
    daemons = []

    async def run():
        loop = asyncio.get_running_loop()
        # Stand-ins that still serve when the case ends are cancelled.
        loop.set_exception_handler(lambda loop, context: None)
        task = asyncio.ensure_future(case(record, files, daemons.append))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, limit)
        finally:
            for daemon in daemons:
                await daemon.kill()

    try:
        breaks = asyncio.run(run())
        for number, text in enumerate(breaks):
            (record.say if number < 20 else record)("BROKEN:", text)
        record.say("%d breaks, trouble %s" % (len(breaks), "on" if TROUBLE else "off"))
        code = 1 if breaks else 0
    except CannotRun as error:
        record.say("cannot run:", error)
        code = 2
    except (Exception, asyncio.CancelledError) as error:
        record.say("cannot run:", repr(error))
        code = 2
    finally:
        shutil.rmtree(files, ignore_errors=True)
    sys.exit(code)
