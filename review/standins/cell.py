"""A small deployment on loopback for the scripts of this review.

Daemons are the project's own program, started with the command of deploy/system.toml and settings
rendered from the templates beside it. Executors, the ticket office, the operator and clients are
stand-ins that follow PROTOCOL.md. Everything runs in one asyncio loop.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "crocusmilld")
LEASE_MAX_MS = 6000
STOP_MS = 100  # at most stop_timeout_ms, 400 on the small sites
HEARTBEAT_S = 1.5


def read_template(name):
    with open(os.path.join(ROOT, "deploy", name)) as file:
        return file.read()


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------

async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def request(address, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, body), or (None, reason) without a complete answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            lines = ["%s %s HTTP/1.1" % (method, path), "Content-Type: application/json",
                     "Content-Length: %d" % len(payload), "Connection: close"]
            fields = {"Host": address}
            fields.update(headers or {})
            lines += ["%s: %s" % field for field in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split()[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, b"timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return None, str(error).encode()


# --- Executors ----------------------------------------------------------------------------------

class Life:
    """One lifetime of an executor: what it holds and knows is lost with it."""

    def __init__(self, executor):
        self.executor = executor
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence = 0
        self.deadline = 0
        self.running = {}  # task -> dict
        self.settled = {}  # task -> highest run that was stopped or has ended
        self.finished = []
        self.count = 0
        self.cursor = 0
        self.changed = asyncio.Event()
        self.tasks = set()
        self.alive = True
        self.listed_at = None  # when it first answered with its lists, which name this lifetime

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000) + 1000


class Executor:
    def __init__(self, cell, name, address, labels, capacity, service):
        self.cell = cell
        self.name = name
        self.address = address
        self.labels = labels
        self.capacity = capacity
        self.service = service
        self.state = "ready"
        self.life = None
        self.server = None
        self.writers = set()
        self.heartbeat_address = None
        self.failing = lambda task, run: False
        self.first_heartbeat_after = 0.0
        self.heartbeat_task = None
        self.avoided = None  # a control address that cannot be reached
        self.acked = {}  # state -> when the first heartbeat with it was acknowledged

    async def start(self):
        self.life = Life(self)
        self.state = "ready"
        self.sequence = 0
        self.heartbeat_address = None
        self.acked = {}
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.cell.record("executor", self.name, "up", "born", self.life.born,
                         "labels", self.labels, "capacity", self.capacity)
        self.heartbeat_task = asyncio.ensure_future(self.heartbeats(self.life))

    def crash(self):
        """Everything that it runs ends; nothing is told to anybody."""
        life, self.life = self.life, None
        life.alive = False
        self.heartbeat_task.cancel()
        for task in list(life.running):
            self.cell.on_end(self, life, task, life.running[task], "crashed")
        for running in list(life.tasks):
            running.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.cell.record("executor", self.name, "crashed")

    def close_path(self):
        """Refuses channels to the executor, which works on."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.cell.record("executor", self.name, "refuses channels")

    async def open_path(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.cell.record("executor", self.name, "takes channels again")

    async def beat(self, life):
        self.sequence += 1
        body = {"service": self.service, "addr": self.address, "zone": "z1", "version": "v1",
                "slots": 8, "state": self.state, "cold_left_ms": 0, "capacity": self.capacity,
                "labels": self.labels, "clock_ms": life.clock(), "seq": self.sequence,
                "born": life.born}
        if self.state == "draining":
            body["remaining_ms"] = 2000
        targets = list(self.cell.control)
        random.shuffle(targets)
        if self.avoided in targets:
            targets.remove(self.avoided)
        if self.heartbeat_address and self.heartbeat_address != self.avoided:
            targets.insert(0, self.heartbeat_address)
        state = self.state
        for target in targets:
            status, answer = await request(
                target, "POST", "/Instances.Heartbeat/" + self.name, body, timeout=1.0)
            if status is not None and 200 <= status < 300:
                self.heartbeat_address = json.loads(answer).get("heartbeat_addr")
                if state not in self.acked:
                    self.acked[state] = time.monotonic()
                    self.cell.record("executor", self.name, state, "acknowledged by", target)
                return
            self.heartbeat_address = None

    async def heartbeats(self, life):
        await asyncio.sleep(self.first_heartbeat_after)
        self.cell.record("executor", self.name, "first heartbeat of", life.born)
        while life.alive:
            await self.beat(life)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                life = self.life
                if life is None:
                    return
                status, answer = await self.answer(life, first.split()[1], headers, body)
                if answer is not None:
                    answer.setdefault("clock_ms", life.clock())
                    answer.setdefault("born", life.born)
                payload = json.dumps(answer or {}).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(payload)) + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, life, path, headers, body):
        if path == "/healthz":
            return 200, {}
        if headers.get("x-crocusmill-expect-instance", self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        fence = order.get("fence", 0)
        if fence < life.fence:
            return 409, {"reason": "fence"}
        life.fence = fence
        if path == "/run-start":
            return self.on_start(life, order)
        if path == "/run-stop":
            return self.on_stop(life, order)
        if path == "/hold":
            return await self.on_hold(life, order)
        return 404, {}

    def extend(self, life, deadline):
        life.deadline = max(life.deadline, min(deadline, life.clock() + LEASE_MAX_MS))

    def on_start(self, life, order):
        task, run = order["task"], order["run"]
        if order["deadline_ms"] <= life.clock():
            return 409, {"reason": "late"}
        self.extend(life, order["deadline_ms"])
        present = life.running.get(task)
        if present and present["run"] == run:
            return 200, {}
        if run <= life.settled.get(task, 0) or (present and present["run"] > run):
            return 409, {"reason": "old"}
        if self.cell.needs_ticket(task) and not self.cell.ticket_office.allows(
                self, life, task, order.get("ticket")):
            self.cell.record("start refused", self.name, task, "run", run,
                             "ticket", order.get("ticket", "missing"))
            return 409, {"reason": "ticket"}
        job = json.loads(order["spec"])
        size = job.get("cpu", 0)  # of each task, or a list by step
        if isinstance(size, list):
            size = size[int(task.split(".")[2])]
        work = {"run": run, "at": time.monotonic(), "ms": job["ms"], "stopping": False,
                "lasting": job.get("lasting", False), "size": size}
        life.running[task] = work
        self.cell.on_start(self, life, task, work, order)
        if not work["lasting"]:
            runner = asyncio.ensure_future(self.work(life, task, work))
            life.tasks.add(runner)
        self.watch(life)
        return 200, {}

    def watch(self, life):
        """Ends everything when the lease has run out."""
        if getattr(life, "watcher", None) is None:
            async def loop():
                while life.alive:
                    if life.running and life.clock() >= life.deadline:
                        for task in list(life.running):
                            self.end(life, task, life.running[task], "lapsed")
                    await asyncio.sleep(0.01)
            life.watcher = asyncio.ensure_future(loop())
            life.tasks.add(life.watcher)

    async def work(self, life, task, work):
        await asyncio.sleep(work["ms"] / 1000)
        how = "failed" if self.failing(task, work["run"]) else "done"
        self.end(life, task, work, how)

    def end(self, life, task, work, how):
        if not life.alive or life.running.get(task) is not work:
            return
        del life.running[task]
        life.settled[task] = max(life.settled.get(task, 0), work["run"])
        life.count += 1
        life.finished.append([life.count, task, work["run"], how, ""])
        life.changed.set()
        self.cell.on_end(self, life, task, work, how)

    def on_stop(self, life, order):
        task, run = order["task"], order["run"]
        life.settled[task] = max(life.settled.get(task, 0), run)
        work = life.running.get(task)
        if work and work["run"] == run and not work["stopping"]:
            work["stopping"] = True

            async def stop():
                await asyncio.sleep(STOP_MS / 1000)
                self.end(life, task, work, "stopped")
            life.tasks.add(asyncio.ensure_future(stop()))
        return 200, {}

    async def on_hold(self, life, order):
        cursor = order.get("ack_cursor", 0)
        for entry in life.finished:
            if entry[0] <= cursor:
                self.cell.on_acknowledged(self, life, entry)
        life.finished = [entry for entry in life.finished if entry[0] > cursor]
        if "deadline_ms" in order:
            self.extend(life, order["deadline_ms"])
        if order.get("wait_ms") and not life.finished:
            life.changed.clear()
            try:
                await asyncio.wait_for(life.changed.wait(), order["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, work in life.running.items():
            passed = (time.monotonic() - work["at"]) * 1000
            percent = 100 if work["lasting"] else min(100, int(100 * passed / max(work["ms"], 1)))
            running.append([task, work["run"], "", percent])
        if life.listed_at is None:
            life.listed_at = time.monotonic()
        return 200, {"running": running, "finished": life.finished[:500]}


class Office:
    """The service at `hint`: allows every executor, with a ticket for each step."""

    DECISION_MS, PERIOD_MS, VALIDITY_MS = 50.0, 0.7, 2000

    def __init__(self, cell):
        self.cell = cell
        self.tickets = {}  # ticket -> executor, its lifetime, step, expiry
        self.turn = None
        self.server = None

    async def start(self):
        self.turn = asyncio.Lock()
        host, port = self.cell.office.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                _, _, body = await read_message(reader)
                order = json.loads(body)
                async with self.turn:
                    await asyncio.sleep(
                        (self.DECISION_MS + self.PERIOD_MS * len(order["workers"])) / 1000)
                rows = []
                for name in order["workers"]:
                    executor = self.cell.executors.get(name)
                    if executor is None or executor.life is None:
                        continue
                    ticket = "%016x" % random.getrandbits(64)
                    self.tickets[ticket] = (name, executor.life.born, order["step"],
                                            time.monotonic() + self.VALIDITY_MS / 1000)
                    rows.append([name, ticket])
                payload = json.dumps({"allowed": rows, "validity_ms": self.VALIDITY_MS}).encode()
                writer.write(b"HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(payload) + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def allows(self, executor, life, task, ticket):
        known = self.tickets.get(ticket)
        return known is not None and known[:3] == (
            executor.name, life.born, task.rsplit(".", 1)[0]) and time.monotonic() < known[3]


# --- The cell -----------------------------------------------------------------------------------

class Cell:
    """Daemons of both roles, executors, an operator and clients."""

    def __init__(self, folder, cores=3, entries=1, state_settings=None, keep_logs=False):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.home = tempfile.mkdtemp(prefix="crocusmill-review-")
        self.keep_logs = keep_logs
        self.processes = {}
        self.starts = []  # dicts: t, executor, labels, capacity, born, task, run
        self.ends = []
        self.executors = {}
        self.net = "127.%d.%d." % (random.randint(1, 250), random.randint(0, 250))
        self.state_settings = state_settings or {}
        names = ["core-%d" % n for n in range(1, cores + 1)]
        names += ["entry-%d" % n for n in range(1, entries + 1)]
        self.ips = {name: self.net + str(10 + n) for n, name in enumerate(names)}
        ports = self.free_ports(6)
        self.port = dict(zip(("peers", "operators", "metrics", "control", "front", "ready"), ports))
        self.cores = names[:cores]
        self.entries = names[cores:]
        self.control = ["%s:%d" % (self.ips[core], self.port["control"]) for core in self.cores]
        self.front = ["%s:%d" % (self.ips[entry], self.port["front"]) for entry in self.entries]
        self.office = "%s:%d" % (self.net + "200", ports[0])
        self.next_executor = 100
        self.ticket_office = Office(self)
        self.needs_ticket = lambda task: False  # whether the policy of the task's queue asks for one

    def free_ports(self, count):
        """Ports that are free on all addresses, outside the range of outgoing connections."""
        ports = []
        while len(ports) < count:
            port = random.randint(20000, 31000)
            probe = socket.socket()
            try:
                probe.bind(("0.0.0.0", port))
                ports.append(port)
            except OSError:
                pass
            finally:
                probe.close()
        return ports

    def write_settings(self, name):
        is_core = name in self.cores
        text = read_template("state.json" if is_core else "entry.json")
        seeds = ["%s:%d" % (self.ips[core], self.port["control"]) for core in self.cores[:3]]
        values = {
            "{{node_name}}": name, "{{zone}}": "z1", "{{ip}}": self.ips[name],
            "{{port_range.0}}": str(self.port["peers"]),
            "{{port_range.1}}": str(self.port["operators"]),
            '{{#seeds}}"{{.}}"{{,}}{{/seeds}}': ", ".join('"%s"' % seed for seed in seeds),
            "{{data_dir}}": os.path.join(self.home, name), "{{bootstrap}}": "true",
            "{{listen.control}}": "%s:%d" % (self.ips[name], self.port["control"]),
            "{{listen.front}}": "%s:%d" % (self.ips[name], self.port["front"]),
            "{{listen.ready}}": "%s:%d" % (self.ips[name], self.port["ready"]),
            "{{hint}}": self.office,
        }
        for placeholder, value in values.items():
            text = text.replace(placeholder, value)
        settings = json.loads(text)
        settings["metrics"]["listen"]["port"] = self.port["metrics"]
        if is_core:
            settings["state"]["voters"] = len(self.cores)
            settings["state"].update(self.state_settings)
        path = os.path.join(self.home, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def start_daemon(self, name):
        path = os.path.join(self.home, name + ".json")
        if not os.path.exists(path):
            self.write_settings(name)
        log = open(os.path.join(self.home, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [DAEMON, "--settings", path], cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.record("daemon", name, "started", self.processes[name].pid)

    def signal_daemon(self, name, number):
        self.record("daemon", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def own_ends(self):
        """Daemons that have ended although no signal ended them."""
        return [name for name, process in self.processes.items()
                if process.poll() is not None and process.returncode != -signal.SIGKILL]

    async def start(self, config):
        if not os.path.exists(DAEMON):
            raise CannotRun("target/crocusmilld is missing")
        for name in self.cores + self.entries:
            self.start_daemon(name)
        if not await self.install(config, 30):
            raise CannotRun("no config was acknowledged in time")
        for _ in range(100):
            ready = [await request("%s:%d" % (self.ips[e], self.port["ready"]), "GET", "/readyz")
                     for e in self.entries]
            if all(status == 200 for status, _ in ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("an entry did not become ready")

    async def install(self, config, limit_s=8):
        """Sends a config as the operator does, until it has a clear answer."""
        end = time.monotonic() + limit_s
        targets = list(self.control)
        n = 0
        while time.monotonic() < end:
            target = targets[n % len(targets)]
            n += 1
            status, answer = await request(target, "POST", "/Config.Replace", config, timeout=1.0)
            if status == 200:
                self.record("config", config["version"], "acknowledged by", target)
                return True
            if status is not None and status < 500 and status not in (408, 429):
                self.record("config", config["version"], "refused:", status, answer[:200])
                return False
            await asyncio.sleep(0.1)
        return False

    async def leader(self):
        """Returns the name of the core process to which executors were told to send heartbeats."""
        for _ in range(50):
            told = [executor.heartbeat_address for executor in self.executors.values()
                    if executor.life is not None and executor.heartbeat_address]
            if told:
                ip = max(set(told), key=told.count).rsplit(":", 1)[0]
                return next(name for name, own in self.ips.items() if own == ip)
            await asyncio.sleep(0.1)
        raise CannotRun("no executor was told where to send its heartbeats")

    async def add_executor(self, name, labels, capacity=None, service="svc", start=True):
        self.next_executor += 1
        address = "%s%d:%d" % (self.net, self.next_executor, self.port["control"])
        executor = Executor(self, name, address, labels,
                            capacity or {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, service)
        self.executors[name] = executor
        if start:
            await executor.start()
        return executor

    # Clients

    async def call(self, method, host, path, body=None, timeout=3.0, entry=None):
        target = entry or random.choice(self.front)
        status, answer = await request(
            target, method, path, body,
            {"Host": host, "X-Crocusmill-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        text = answer.decode("utf-8", "replace")
        self.record("client", method, path, "->", status, text[:120])
        return status, text

    async def submit(self, host, prefix, steps, ms, extra=None, spec=None, tries=5):
        """Hands a job in, again after each answer that leaves it open, and returns its id."""
        job = "%016x" % random.getrandbits(64)
        text = {"ms": ms}
        text.update(spec or {})
        body = {"spec": json.dumps(text), "steps": steps}
        body.update(extra or {})
        for _ in range(tries):
            status, _ = await self.call("POST", host, prefix + job, body)
            if status == 200:
                return job
            await asyncio.sleep(0.5)
        return None

    # What executors saw

    def on_start(self, executor, life, task, work, order):
        load = sum(w["size"] for w in life.running.values())
        entry = {"t": time.monotonic(), "executor": executor.name, "labels": list(executor.labels),
                 "capacity": executor.capacity["cpu"], "born": life.born, "task": task,
                 "run": work["run"], "load": load, "service": executor.service,
                 "listed_at": life.listed_at}
        self.starts.append(entry)
        self.record("start", executor.name, task, "run", work["run"], "fence", order["fence"],
                    "labels", executor.labels, "load", load, "of", executor.capacity["cpu"])

    def on_end(self, executor, life, task, work, how):
        self.ends.append({"t": time.monotonic(), "executor": executor.name, "born": life.born,
                          "task": task, "run": work["run"], "how": how, "began": work["at"],
                          "noted": False})
        self.record("end", executor.name, task, "run", work["run"], how)

    def on_acknowledged(self, executor, life, entry):
        for end in self.ends:
            if end["born"] == life.born and end["executor"] == executor.name \
                    and end["task"] == entry[1] and end["run"] == entry[2]:
                end["noted"] = True

    def stop_executors(self):
        for executor in self.executors.values():
            if executor.life is not None:
                executor.crash()

    def stop_daemons(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self.keep_logs:
            self.record("logs in", self.home)
        else:
            shutil.rmtree(self.home, ignore_errors=True)


def config(version, routes, services=("svc",), hinted=()):
    """routes: (name, host, prefix, service, prio) each; hinted: names of those with a `hint`."""
    document = {
        "version": version,
        "routes": [{"name": name, "host": host, "prefix": prefix, "kind": "unsafe",
                    "timeout_ms": 3000, "slo_ms": 1000, "prio": prio, "service": service,
                    "attempts": 3, "slack_factor": 2.2}
                   for name, host, prefix, service, prio in routes],
        "services": [{"name": name, "health_path": "/healthz", "max_conns": 64, "proto": "h1",
                      "tls": False, "admission_check": False, "standby": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }
    for route in document["routes"]:
        if route["name"] in hinted:
            route["hint"] = {"decision_ms": Office.DECISION_MS, "period_ms": Office.PERIOD_MS,
                             "validity_ms": Office.VALIDITY_MS}
    return document


def run(folder, scenario, **options):
    """Runs `scenario(cell, trouble)`, which returns the broken rules, and exits as a case does."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    cell = Cell(folder, keep_logs=os.environ.get("KEEP_LOGS") == "1", **options)
    code = 2

    async def main():
        try:
            return await asyncio.wait_for(scenario(cell, trouble), 105)
        finally:
            cell.stop_executors()

    try:
        broken = asyncio.run(main())
        for line in broken:
            cell.record("BROKEN", line)
            print("BROKEN", line)
        code = 1 if broken else 0
        if not broken:
            cell.record("HELD")
            print("HELD")
    except Exception as error:  # a fault of the script is no broken rule
        traceback.print_exc()
        cell.record("CANNOT RUN", repr(error))
        print("CANNOT RUN", repr(error))
    finally:
        cell.stop_daemons()
    return code
