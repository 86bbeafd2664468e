"""Common parts of the cases in review/6 and later: daemons, stand-ins, the record and the verdict.

The daemons are started with the `run` command of deploy/balancer.toml. Everything listens on loopback
addresses and free ports; files go into a temporary folder that is removed at the end.
"""
import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


# How the exchange of a stand-in may end: its peer left, or the case is over.
ENDED = (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError)


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def now():
    return time.monotonic() - STARTED


def run_command():
    text = (ROOT / "deploy/balancer.toml").read_text()
    command = re.search(r'^run\s*=\s*"([^"]+)"', text, re.M)
    if not command:
        raise CannotRun("deploy/balancer.toml has no run command")
    return command.group(1)


_taken = set()


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    """A port that is free now, below the range from which the system takes ports for outgoing connections."""
    import random
    for _ in range(2000):
        port = random.randrange(12000, 30000)
        if port in _taken:
            continue
        with socket.socket(socket.AF_INET, kind) as s:
            if kind == socket.SOCK_STREAM:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind((host, port))
            except OSError:
                continue
        _taken.add(port)
        return port
    raise CannotRun("no free port")


class Record:
    """record.txt: what was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def __call__(self, text):
        self.file.write(f"{now():9.4f} {text}\n")
        self.file.flush()


class Daemon:
    """One process of the deploy file's run command."""

    def __init__(self, name, folder, config, record):
        self.name, self.folder, self.config, self.record = name, folder, config, record
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None

    async def start(self, wait_ready=True):
        self.file.write_text(json.dumps(self.config))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment.update(
            RELAY_CONFIG=str(self.file), RELAY_NAME=self.name,
            RELAY_LISTEN=self.config["listen"], RELAY_DISCOVERY=self.config["discovery"],
            RELAY_LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, stderr=log)
        self.record(f"{self.name}: started, process {self.process.pid}")
        if wait_ready:
            await self.wait_ready()

    async def wait_ready(self, limit=20):
        until = now() + limit
        host, port = self.config["listen"].split(":")
        while now() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended: {self.log.read_text()[-600:]}")
            try:
                status, _ = await http(host, int(port), "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} was not ready in {limit} s")

    def signal(self, number):
        self.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, limit=10):
        return await asyncio.wait_for(self.process.wait(), limit)

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


async def http(host, port, request, limit=5):
    """One exchange on a new connection; returns the status and the body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request.encode() if isinstance(request, str) else request)
            await writer.drain()
            status, _, body = await read_message(reader)
            return int(status.split()[1]), body
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit)


async def read_message(reader):
    """The first line, the headers (lower case) and the body of an HTTP message with a declared length."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = dict((k.strip().lower(), v.strip()) for k, _, v in (line.partition(":") for line in lines if line))
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def command(record, *words):
    """Runs the program's command line, as an operator does; returns its exit code and output."""
    import shlex
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", f"{run_command()} {shlex.join(words)}", cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    output, _ = await asyncio.wait_for(process.communicate(), 30)
    text = output.decode().strip()
    record(f"heathroad {' '.join(words)}: exit {process.returncode}: {text[:900]}")
    return process.returncode, text


class HttpBackend:
    """A backend over HTTP: answers 200 with its name and the request's id, and keeps what it ran."""

    def __init__(self, name, record, delay=0.005):
        self.name, self.record, self.delay, self.port, self.ran = name, record, delay, free_port(), []
        # While it is set, the backend runs requests and answers 500.
        self.failing = False

    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, _ = await read_message(reader)
                self.ran.append((now(), headers.get("req-id")))
                self.record(f"{self.name} runs {headers.get('req-id')} {first.split()[1]}")
                await asyncio.sleep(self.delay)
                body = f"{self.name} {headers.get('req-id')}".encode()
                status = b"500 Internal Server Error" if self.failing else b"200 OK"
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except ENDED:
            pass
        finally:
            writer.close()


def host_entry(name, dial, **more):
    entry = {"host": name, "dial": dial, "site": "a", "class": "m", "block": 0, "health": "SERVING",
             "share": 1.0, "born_ms": 0}
    entry.update(more)
    return entry


class Registry:
    """Discovery as an agent: the whole list, and watches that end with a change or after their wait."""

    def __init__(self, hosts):
        self.seq, self.hosts, self.changed = 1, {h["host"]: h for h in hosts}, asyncio.Condition()
        self.history = []
        self.port = None
        self.writers = set()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def address(self):
        return f"127.0.0.1:{self.port}"

    async def before(self, path):
        """For cases: called when a call has come."""

    async def after(self, path):
        """For cases: called before the answer to a call is written."""

    def close_connections(self):
        for writer in self.writers:
            writer.close()

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def set(self, entry):
        async with self.changed:
            self.seq += 1
            if entry["health"] == "DELETED":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
            self.history.append((self.seq, entry))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _, _ = await read_message(reader)
                path = first.split()[1]
                await self.before(path)
                query = path.partition("?")[2]
                values = dict(part.split("=") for part in query.split("&") if part)
                if "after" in values:
                    after = int(values["after"])
                    async with self.changed:
                        try:
                            await asyncio.wait_for(
                                self.changed.wait_for(lambda: self.seq > after),
                                int(values.get("wait_ms", 0)) / 1000)
                        except asyncio.TimeoutError:
                            pass
                    answer = {"seq": self.seq, "whole": False,
                              "hosts": [e for s, e in self.history if s > after]}
                else:
                    answer = self.whole()
                await self.after(path)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except ENDED:
            pass
        finally:
            writer.close()


def settings(number=0, peers=1, classes=None, **more):
    """Settings of a small deployment, with the figures of the wire page's example."""
    value = {
        "slotNo": number, "peersTotal": peers, "tier": 0, "locality": 0, "localities": ["a"],
        "tick": 5.0, "overShareWorth": 0.05, "discovery": "automatic", "tenants": [], "tiers": ["gate"],
        "classes": classes or [one_class("look", "retryable")],
        "caps": {"cancelling": True, "mayDuplicate": True, "retryAfter": True, "maxRetryAfter": 2000.0,
                 "tryLimit": 6, "openCap": 20000, "connIdle": 60000.0, "connectTimeout": 250.0,
                 "probes": False, "peers": False, "streamsPerConn": 1},
        "guarantees": {"coldFrom": 0.12, "cold": 24000.0, "fallMultiple": 3.0, "fall": 2000.0,
                       "stopSendingWithin": 500.0, "graceToAnswer": 20.0, "askWithin": 10000.0},
    }
    value.update(more)
    return value


def one_class(name, semantics, give_up=6000.0, window=10000.0, group="all"):
    return {"aim": 2500.0, "giveUp": give_up, "group": group, "lateWorth": 0.5, "name": name, "points": 1.0,
            "semantics": semantics, "stream": False, "window": window}


class Case:
    """Holds what a case started, and ends it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.daemons = []

    def daemon(self, name, config):
        daemon = Daemon(name, self.folder, config, self.record)
        self.daemons.append(daemon)
        return daemon

    async def end(self):
        for daemon in self.daemons:
            await daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, limit=110):
    """Runs `play(case)`, which returns the list of breaks; exits with 0, 1 or 2."""
    async def run():
        case = Case(folder)
        # A case that is told to end ends its processes as well.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            breaks = await asyncio.wait_for(play(case), limit)
        except CannotRun as error:
            case.record(f"could not run: {error}")
            print(f"could not run: {error}")
            return 2
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            case.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await case.end()
        for text in breaks[:10]:
            print(text)
        verdict = "BROKEN" if breaks else "held"
        case.record(f"verdict: {verdict}, {len(breaks)} breaks")
        print(f"{verdict}: {len(breaks)} breaks")
        return 1 if breaks else 0
    sys.exit(asyncio.run(run()))
