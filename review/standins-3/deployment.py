"""A small deployment on loopback addresses: daemons, workers, an operator and clients.

The daemons are those of the deploy file, started with its commands and its settings templates. The
workers, the operator and the clients follow PROTOCOL.md; where it is silent they behave like sound
ones.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def add(self, event, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():8.3f} {event} {words}\n")
        self.file.flush()


def find_port(ips):
    """Returns a port that is free on all the addresses."""
    for _ in range(200):
        port = random.randint(20000, 30000)
        sockets = []
        try:
            for ip in ips:
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free port")


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def request(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns (status, headers, body); status 0 if there was no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json",
                      "Content-Length": str(len(data)), "Connection": "close"}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, answered, content = await read_message(reader)
            return int(first.split(" ")[1]), answered, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""


class Daemon:
    def __init__(self, deployment, name, ip, role):
        self.deployment = deployment
        self.name = name
        self.ip = ip
        self.role = role
        self.process = None
        self.settings = os.path.join(deployment.folder, name + ".json")
        self.log = os.path.join(deployment.folder, name + ".log")
        self.write_settings(bootstrap=True)

    def write_settings(self, bootstrap):
        ports = self.deployment.ports
        values = {
            "node_name": self.name, "zone": "zone-" + self.ip.split(".")[-1], "ip": self.ip,
            "port_range.0": ports["peers"], "port_range.1": ports["operators"],
            "data_dir": os.path.join(self.deployment.folder, self.name),
            "bootstrap": "true" if bootstrap else "false",
            "listen.control": f"{self.ip}:{ports['control']}",
            "listen.front": f"{self.ip}:{ports['front']}",
            "listen.ready": f"{self.ip}:{ports['ready']}",
            "hint": f"{self.deployment.office[0]}:{self.deployment.office[1]}",
        }
        with open(os.path.join(ROOT, "deploy", self.role + ".json")) as file:
            text = file.read()
        seeds = ",".join(f'"{ip}:{ports["control"]}"' for ip in self.deployment.core_ips[:3])
        text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", seeds, text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(values[match.group(1)]), text)
        text = text.replace('"port": 9464', f'"port": {ports["metrics"]}')
        with open(self.settings, "w") as file:
            file.write(text)

    async def start(self):
        output = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/crocusmilld", "--settings", self.settings, cwd=ROOT, stdout=output,
            stderr=output)
        output.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Relay:
    """Forwards connections to an address. It can refuse them, and drop what comes back."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.server = None
        self.connections = set()
        self.drops_answers = False

    async def open(self):
        self.server = await asyncio.start_server(self.forward, *self.listen)

    def refuse(self):
        """Resets all connections and refuses new ones."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def forward(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, far_writer}

        async def copy(source, sink, is_answer):
            try:
                while data := await source.read(65536):
                    if not (is_answer and self.drops_answers):
                        sink.write(data)
                        await sink.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            if not (is_answer and self.drops_answers):
                sink.close()

        await asyncio.gather(
            copy(reader, far_writer, False), copy(far_reader, writer, True))
        self.connections -= {writer, far_writer}


class Worker:
    """One executor of PROTOCOL.md in the mode `invoke`. The text of a job's `spec` is JSON: `ms` is
    how long each of its tasks takes."""

    def __init__(self, deployment, number, cpu=64000, ip=None, via_relay=False):
        self.deployment = deployment
        self.record = deployment.record
        self.id = f"i-{number:08x}"
        self.number = number
        self.ip = ip or f"127.80.1.{number + 1}"
        self.address = (self.ip, deployment.ports["worker"])
        self.listen = (self.ip, deployment.ports["worker_inner"] if via_relay
                       else deployment.ports["worker"])
        self.relay = Relay(self.address, self.listen) if via_relay else None
        self.control = None  # a fixed address for its own calls; else any VM that serves control
        self.capacity = {"cpu": cpu, "mem_mb": 262144, "gpu": 0}
        self.state = "ready"
        self.seq = 0
        self.server = None
        self.tasks = []
        self.is_up = False
        self.heartbeat_address = None

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1000

    async def start(self):
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.settled = {}  # task: highest run that was stopped or has ended here
        self.ended = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.connections = set()
        self.is_up = True
        self.server = await asyncio.start_server(self.serve, *self.listen)
        if self.relay:
            await self.relay.open()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def end(self):
        """Ends the process; everything that runs on it ends with it."""
        if not self.is_up:
            return
        self.is_up = False
        for task in self.running:
            self.record.add("gone", worker=self.id, task=task, run=self.running[task]["run"])
        self.running = {}
        for task in self.tasks:
            task.cancel()
        self.server.close()
        if self.relay:
            self.relay.refuse()
        for writer in list(self.connections):
            writer.transport.abort()

    def describe(self):
        self.seq += 1
        return {"service": "match", "addr": f"{self.address[0]}:{self.address[1]}",
                "zone": "zone-1", "version": "v1", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "capacity": self.capacity, "labels": ["a", "r1-1"],
                "clock_ms": self.clock(), "seq": self.seq, "born": self.born}

    def control_addresses(self):
        if self.control:
            return [self.control]
        addresses = [(ip, self.deployment.ports["control"]) for ip in self.deployment.core_ips]
        random.shuffle(addresses)
        return ([self.heartbeat_address] if self.heartbeat_address else []) + addresses

    async def tell(self, call, body):
        for address in self.control_addresses():
            status, _, answer = await request(address, "POST", f"/{call}/{self.id}", body)
            if 200 <= status < 300:
                told = json.loads(answer or b"{}").get("heartbeat_addr")
                if told:
                    ip, port = told.rsplit(":", 1)
                    self.heartbeat_address = (ip, int(port))
                return True
            self.heartbeat_address = None
        return False

    async def beat(self):
        while True:
            await self.tell("Instances.Heartbeat", self.describe())
            await asyncio.sleep(1.5)

    def finish(self, task, how):
        run = self.running.pop(task)
        self.end_count += 1
        self.settled[task] = max(self.settled.get(task, 0), run["run"])
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.record.add("end", worker=self.id, task=task, run=run["run"], how=how)
        self.deployment.on_end(self, task, run["run"], how)
        self.changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.deadline:
                for task in list(self.running):
                    self.finish(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["until"] is not None and time.monotonic() >= run["until"]:
                    self.finish(task, run.get("how", "done"))

    @staticmethod
    def percent(run):
        if run["until"] is None:  # a task that lasts is at work
            return 100
        left = run["until"] - time.monotonic()
        return max(0, min(100, int(100 - 100 * left / run["seconds"])))

    def lists(self):
        running = [[task, run["run"], "", self.percent(run)]
                   for task, run in self.running.items()]
        return {"clock_ms": self.clock(), "born": self.born, "running": running,
                "finished": self.ended[:500]}

    def start_run(self, order):
        task, run = order["task"], order["run"]
        current = self.running.get(task)
        if order.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        if current and current["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.settled.get(task, 0) or (current and current["run"] > run):
            self.deadline = max(self.deadline, min(order["deadline_ms"], self.clock() + 6000))
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if order["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.deadline = max(self.deadline, min(order["deadline_ms"], self.clock() + 6000))
        spec = json.loads(order["spec"])
        until = None if spec.get("ms") is None else time.monotonic() + spec["ms"] / 1000
        self.running[task] = {"run": run, "until": until, "seconds": (spec.get("ms") or 0) / 1000,
                              "how": spec.get("how", "done")}
        self.record.add("start", worker=self.id, task=task, run=run)
        self.deployment.on_start(self, task, run)
        return 200, {"clock_ms": self.clock()}

    def stop_run(self, order):
        if order.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        task, run = order["task"], order["run"]
        self.settled[task] = max(self.settled.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            self.finish(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, order):
        if order.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        self.ended = [end for end in self.ended if end[0] > order["ack_cursor"]]
        if "deadline_ms" in order:
            self.deadline = max(self.deadline, min(order["deadline_ms"], self.clock() + 6000))
        wait = order.get("wait_ms", 0) / 1000
        if wait and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                path = first.split(" ")[1]
                expected = headers.get("x-crocusmill-expect-instance")
                if expected and expected != self.id:
                    status, answer = 421, {"clock_ms": self.clock()}
                elif path == "/run-start":
                    status, answer = self.start_run(json.loads(body))
                elif path == "/run-stop":
                    status, answer = self.stop_run(json.loads(body))
                elif path == "/hold":
                    status, answer = await self.hold(json.loads(body))
                elif path == "/healthz":
                    status, answer = 200, {}
                else:
                    status, answer = 404, {}
                data = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Deployment:
    def __init__(self, case_folder, core=5, edge=2):
        self.temporary = tempfile.TemporaryDirectory(prefix="crocusmill-")
        self.folder = self.temporary.name
        self.record = Record(case_folder)
        self.core_ips = [f"127.80.0.{i + 1}" for i in range(core)]
        self.edge_ips = [f"127.80.0.{i + 101}" for i in range(edge)]
        worker_ips = [f"127.80.1.{i + 1}" for i in range(16)]
        everywhere = self.core_ips + self.edge_ips + worker_ips
        self.ports = {}
        for name in ["peers", "operators", "control", "front", "ready", "metrics", "worker",
                     "worker_inner", "office", "uplink"]:
            port = find_port(everywhere)
            while port in self.ports.values():
                port = find_port(everywhere)
            self.ports[name] = port
        self.office = ("127.80.0.200", self.ports["office"])
        self.core = [Daemon(self, f"core-{i}", ip, "state") for i, ip in enumerate(self.core_ips)]
        self.edge = [Daemon(self, f"edge-{i}", ip, "entry") for i, ip in enumerate(self.edge_ips)]
        self.workers = []
        self.host = "match.example"
        self.version = 0

    def on_start(self, worker, task, run):
        pass

    def on_end(self, worker, task, run, how):
        pass

    async def start(self):
        if not os.path.exists(os.path.join(ROOT, "target", "crocusmilld")):
            raise CannotRun("target/crocusmilld is missing")
        for daemon in self.core + self.edge:
            await daemon.start()

    async def stop(self):
        for worker in self.workers:
            worker.end()
        for daemon in self.core + self.edge:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.signal(signal.SIGCONT)
                await daemon.kill()
        self.temporary.cleanup()

    async def configure(self, routes, patience=20):
        """Sends a configuration until it is acknowledged, or refused."""
        self.version += 1
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": "match", "health_path": "/healthz", "max_conns": 64,
                                "proto": "h1", "tls": False, "admission_check": False,
                                "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        until = now() + patience
        while now() < until:
            for ip in random.sample(self.core_ips, len(self.core_ips)):
                status, _, _ = await request(
                    (ip, self.ports["control"]), "POST", "/Config.Replace", config, timeout=2)
                if status == 200:
                    self.record.add("config.acknowledged", version=self.version, by=ip)
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"the config was refused with {status}")
            await asyncio.sleep(0.2)
        raise CannotRun("the config was not acknowledged")

    def route(self, name="r", prefix="/q/", **fields):
        route = {"name": name, "host": self.host, "prefix": prefix, "kind": "unsafe",
                 "timeout_ms": 3000, "slo_ms": 1000, "prio": 1, "service": "match",
                 "attempts": 3, "slack_factor": 2.0}
        route.update(fields)
        return route

    async def call(self, method, path, body=None, edge=None, timeout=3.2):
        ip = edge or random.choice(self.edge_ips)
        return await request((ip, self.ports["front"]), method, path, body,
                             {"Host": self.host, "X-Crocusmill-Deadline-Ms": "3000"}, timeout)

    async def submit(self, job, spec, steps, prefix="/q/", **fields):
        """Sends the job until it is accepted."""
        body = {"spec": json.dumps(spec), "steps": steps, **fields}
        for _ in range(10):
            status, _, _ = await self.call("POST", prefix + job, body)
            self.record.add("submit", job=job, status=status)
            if 200 <= status < 300:
                return
            if status in (400, 404, 410):
                break
            await asyncio.sleep(0.3)
        raise CannotRun("the job was not accepted")


def new_job():
    return f"{random.getrandbits(64):016x}"


def run_case(case_folder, scenario, limit=110):
    """Runs scenario(deployment, trouble) and exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        deployment = Deployment(case_folder)
        try:
            deployment.record.add("case", trouble=trouble)
            await deployment.start()
            return await asyncio.wait_for(scenario(deployment, trouble), limit)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(main())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)
