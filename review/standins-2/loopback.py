"""A small deployment on loopback: the daemons of the deploy file, and stand-ins for executors, the
advice service, requesters and the operator.

The settings of the daemons are rendered from the templates that the deploy file names. Each machine
has its own loopback address. Everything that is sent, answered and run goes to the record.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL, FRONT, READY, EXECUTOR, ADVICE = 8166, 8161, 8167, 8080, 8169
LEASE_MAX_MS = 6000
STOP_MS = 100
HEARTBEAT_S = 1.5
MEMORY_MB = {"state": 256, "entry": 260}
HOST = "nony24.example"
SMALL_JOB = {"spec": "x",
             "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 100}]}


def steady():
    return time.monotonic()


class HttpError(Exception):
    pass


async def read_message(reader):
    """Returns the first line, the headers and the body of one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Client:
    """HTTP client with kept connections. One request at a time for each connection."""

    def __init__(self):
        self.idle = {}

    async def call(self, address, method, path, body=None, headers=None, timeout=3.0):
        """Returns (status, body). Status 0: no answer."""
        try:
            return await asyncio.wait_for(
                self._call(address, method, path, body, headers or {}), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, HttpError,
                asyncio.LimitOverrunError):
            return 0, b""

    async def _call(self, address, method, path, body, headers):
        pool = self.idle.setdefault(address, [])
        reader, writer = pool.pop() if pool else await asyncio.open_connection(
            *address, limit=1 << 24)
        done = False
        try:
            data = b"" if body is None else (
                body if isinstance(body, bytes) else json.dumps(body).encode())
            text = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                    "Content-Type: application/json"]
            given = {"Host": address[0], **headers}
            text += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(text).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            first, got, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            if got.get("connection", "").lower() != "close":
                pool.append((reader, writer))
                done = True
            return status, answer
        finally:
            if not done:
                writer.close()


class Server:
    """HTTP server that answers with `handle(method, path, headers, body) -> (status, dict)`."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, *self.address, limit=1 << 24, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    return  # no answer
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Executor:
    """One executor, as PROTOCOL.md describes it (control_mode = invoke, no admission check)."""

    def __init__(self, site, number, service, labels=("a", "r1-1"), cpu=64000, mem_mb=262144):
        self.site = site
        self.number = number
        self.id = f"i-{number:08x}"
        self.address = (site.ip(1, number + 1), EXECUTOR)
        self.service = service
        self.labels = list(labels)
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.state = "ready"
        self.duration = lambda task, run: 0.1  # seconds of work
        self.result = lambda task, run: "done"
        self.before = None  # coroutine (path, body) -> None or "drop", called before an order
        self.after = None  # coroutine (path, body) -> None or "drop", called before its answer
        self.beating = True
        self.client = Client()
        self.tasks = []
        self.server = None
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.started = steady() - 1
        self.seq = 0
        self.fence = 0
        self.deadline = 0
        self.running = {}  # task -> dict
        self.ended_runs = {}  # task -> highest run stopped or ended
        self.finished = []  # [N, task, run, how, saved]
        self.last = 0
        self.beat_at = None
        self.changed = asyncio.Event()

    def clock(self):
        return int((steady() - self.started) * 1000)

    async def start(self):
        self.server = Server(self.address, self.handle)
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beats()), asyncio.create_task(self.work())]

    async def crash(self):
        """The process is gone; it has sent nothing."""
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for task in list(self.running):
            self.site.on_end(self, task, self.running[task]["run"], "crashed")
        self.running = {}
        self.client = Client()

    async def restart(self):
        self.reset()
        await self.start()

    async def beats(self):
        turn = self.number
        while True:
            if self.beating:
                self.seq += 1
                body = {"service": self.service, "addr": f"{self.address[0]}:{self.address[1]}",
                        "zone": "salto", "version": "v1", "slots": 8, "state": self.state,
                        "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                        "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
                target = self.beat_at or self.site.control(turn)
                status, answer = await self.client.call(
                    target, "POST", f"/Instances.Heartbeat/{self.id}", body, timeout=1.0)
                if 200 <= status < 300:
                    named = json.loads(answer or b"{}").get("heartbeat_addr")
                    if named:
                        ip, port = named.rsplit(":", 1)
                        self.beat_at = (ip, int(port))
                else:
                    self.beat_at = None
                    turn += 1
                    await asyncio.sleep(0.05)
                    continue
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last += 1
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run["run"])
        self.finished.append([self.last, task, run["run"], how, run.get("saved", "")])
        self.site.on_end(self, task, run["run"], how)
        self.changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            lapsed = self.clock() >= self.deadline
            now = steady()
            for task in list(self.running):
                run = self.running[task]
                if lapsed:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif now >= run["until"]:
                    self.end(task, self.result(task, run["run"]))

    def grant(self, body):
        deadline = body.get("deadline_ms") or 0
        self.deadline = max(self.deadline, min(deadline, self.clock() + LEASE_MAX_MS))

    async def handle(self, method, path, headers, data):
        if headers.get("x-crocusmill-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock(), "born": self.born}
        body = json.loads(data or b"{}")
        if self.before and await self.before(path, body) == "drop":
            return None
        if path == "/hold":
            answer = await self.hold(body)
        elif path == "/run-start":
            answer = self.run_start(body)
        elif path == "/run-stop":
            answer = self.run_stop(body)
        else:
            answer = 404, {}
        if self.after and await self.after(path, body) == "drop":
            return None
        answer[1].update(clock_ms=self.clock(), born=self.born)
        return answer

    def is_fenced(self, body):
        fence = body.get("fence") or 0
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def run_start(self, body):
        task, run = body["task"], body["run"]
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        if body.get("deadline_ms", 0) <= self.clock():
            return 409, {"reason": "late"}
        self.grant(body)
        here = self.running.get(task)
        if here and here["run"] == run:
            return 200, {}
        if here or run <= self.ended_runs.get(task, 0):
            return 409, {"reason": "old"}
        now = steady()
        self.running[task] = {"run": run, "until": now + self.duration(task, run), "at": now,
                              "stop_at": None, "saved": body.get("checkpoint_id", "")}
        self.site.on_start(self, body)
        return 200, {}

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        here = self.running.get(task)
        if here and here["run"] <= run and not here["stop_at"]:
            here["stop_at"] = steady() + STOP_MS / 1000
        return 200, {}

    async def hold(self, body):
        if self.is_fenced(body):
            return 409, {"reason": "fence"}
        self.grant(body)
        seen = body.get("ack_cursor") or 0
        for entry in self.finished:
            if entry[0] <= seen:
                self.site.on_noted(self, entry)
        self.finished = [entry for entry in self.finished if entry[0] > seen]
        until = steady() + min(body.get("wait_ms") or 0, 2000) / 1000
        while not self.finished and steady() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(until - steady(), 0.001))
            except asyncio.TimeoutError:
                break
        running = []
        for task, run in self.running.items():
            share = (steady() - run["at"]) / max(run["until"] - run["at"], 0.001)
            running.append([task, run["run"], run["saved"], min(int(share * 100), 100), 0])
        return 200, {"running": running, "finished": self.finished[:500]}


class Site:
    def __init__(self, name, states=5, entries=3, executors=4, duration=0.1):
        self.record_file = open(os.path.join(ROOT, "review", name, "record.txt"), "w")
        self.began = steady()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="crocusmill-review-")
        self.net = self.free_net()
        self.states, self.entries = states, entries
        self.processes = {}  # vm -> Popen
        self.first_start = True
        self.client = Client()
        self.executors = [Executor(self, k, "huvo11a") for k in range(executors)]
        for executor in self.executors:
            executor.duration = lambda task, run: duration
        self.advice = Server((self.ip(2, 1), ADVICE), self.advise)
        self.starts = []  # (time, executor, task, run, spec)
        self.active = {}  # task -> set of (executor, run)
        self.ends = []
        self.noted = []
        self.broken = []
        self.note("net", net=self.net, folder=self.folder, trouble=self.trouble)

    # Addresses

    @staticmethod
    def free_net():
        for _ in range(100):
            net = random.randint(10, 250)
            try:
                for port in (CONTROL, FRONT, 7720, 7721, 9464, EXECUTOR, ADVICE):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.0.1", port))
                return net
            except OSError:
                continue
        raise SystemExit(2)

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def control(self, turn):
        return self.ip(0, 1 + turn % self.states), CONTROL

    def front(self, turn):
        return self.ip(0, 101 + turn % self.entries), FRONT

    # Record

    def note(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record_file.write(f"{steady() - self.began:9.3f} {what} {text}\n")
        self.record_file.flush()

    def on_start(self, executor, body):
        self.starts.append((steady(), executor, body["task"], body["run"], body.get("spec")))
        self.active.setdefault(body["task"], set()).add((executor.id, body["run"]))
        self.note("start", executor=executor.id, task=body["task"], run=body["run"],
                  fence=body.get("fence"), checkpoint=body.get("checkpoint_id", ""))
        if len(self.active[body["task"]]) > 1:
            self.note("two_runs", task=body["task"], runs=sorted(self.active[body["task"]]))

    def on_end(self, executor, task, run, how):
        self.active.get(task, set()).discard((executor.id, run))
        self.ends.append((steady(), executor.id, task, run, how))
        self.note("end", executor=executor.id, task=task, run=run, how=how)

    def on_noted(self, executor, entry):
        self.noted.append((steady(), executor.id, *entry))

    async def advise(self, method, path, headers, data):
        body = json.loads(data)
        await asyncio.sleep(0.009 + 0.00013 * len(body["workers"]))
        return 200, {"allowed": [[worker, f"t-{worker}"] for worker in body["workers"]]}

    # Daemons

    def render(self, template, fields):
        with open(os.path.join(ROOT, template)) as file:
            text = file.read()

        def value(name, scope):
            for part in name.split("."):
                scope = scope[int(part)] if isinstance(scope, list) else scope[part]
            if isinstance(scope, bool):
                return "true" if scope else "false"
            return ",".join(map(str, scope)) if isinstance(scope, list) else str(scope)

        def section(match):
            entries = fields[match.group(1)]
            parts = []
            for index, entry in enumerate(entries):
                part = match.group(2).replace("{{.}}", entry)
                parts.append(part.replace("{{,}}", "," if index + 1 < len(entries) else ""))
            return "".join(parts)

        text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, text, flags=re.S)
        return re.sub(r"{{([\w.]+)}}", lambda match: value(match.group(1), fields), text)

    def vms(self):
        return [("state", k) for k in range(1, self.states + 1)] + [
            ("entry", k) for k in range(101, 101 + self.entries)]

    def write_settings(self, vm):
        role, number = vm
        ip = self.ip(0, number)
        fields = {
            "node_name": f"{'core' if role == 'state' else 'edge'}-{number}", "ip": ip,
            "zone": ("salto", "paysandu", "fray-bentos")[number % 3], "port_range": [7720, 7735],
            "seeds": [f"{self.ip(0, k)}:{CONTROL}" for k in (1, 2, 3)],
            "data_dir": os.path.join(self.folder, f"disk-{number}"),
            "bootstrap": self.first_start, "hint": f"{self.ip(2, 1)}:{ADVICE}",
            "listen": {"control": f"{ip}:{CONTROL}", "front": f"{ip}:{FRONT}",
                       "ready": f"{ip}:{READY}"}}
        path = os.path.join(self.folder, f"{number}.conf")
        with open(path, "w") as file:
            file.write(self.render(f"deploy/{role}.json", fields))
        return path

    def start_vm(self, vm):
        path = self.write_settings(vm)
        os.makedirs(os.path.join(self.folder, f"disk-{vm[1]}"), exist_ok=True)
        with open(os.path.join(self.folder, f"{vm[1]}.log"), "a") as log:
            self.processes[vm] = subprocess.Popen(
                [os.path.join(ROOT, "target", "crocusmilld"), "--settings", path], cwd=ROOT,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.note("process_started", vm=vm, pid=self.processes[vm].pid)

    async def start(self):
        await self.advice.start()
        for vm in self.vms():
            self.start_vm(vm)
        self.first_start = False
        for executor in self.executors:
            await executor.start()

    def kill(self, vm, how=signal.SIGKILL):
        self.note("signal", vm=vm, signal=how)
        self.processes[vm].send_signal(how)

    def logs(self, event):
        """Returns the log records of an event, with the machine that wrote them."""
        found = []
        for role, number in self.vms():
            path = os.path.join(self.folder, f"{number}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    found += [((role, number), json.loads(line)) for line in file
                              if f'"{event}"' in line and line.startswith("{")]
        return found

    def leader(self):
        """Returns the machine that began to lead last."""
        records = self.logs("journal.leading")
        return max(records, key=lambda record: record[1]["time"])[0] if records else None

    def memory_mb(self, vm):
        """Returns (resident memory, its peak) of a process."""
        try:
            with open(f"/proc/{self.processes[vm].pid}/status") as file:
                text = file.read()
        except OSError:
            return 0, 0
        found = [re.search(rf"{name}:\s+(\d+)", text) for name in ("VmRSS", "VmHWM")]
        return tuple(int(match.group(1)) // 1024 if match else 0 for match in found)

    def file_size(self, vm, name):
        try:
            return os.path.getsize(os.path.join(self.folder, f"disk-{vm[1]}", name))
        except OSError:
            return 0

    def disk_mb(self, vm):
        folder = os.path.join(self.folder, f"disk-{vm[1]}")
        return sum(os.path.getsize(os.path.join(path, name))
                   for path, _, names in os.walk(folder) for name in names) / 1e6

    # The platform

    async def platform(self, restart_s=1.0, killed=None):
        """Kills processes that use more than the memory of their machine, and restarts those that
        have ended, as DEPLOY.md says. Counts the ends of each machine in `killed`."""
        killed = {} if killed is None else killed
        waiting = {}
        while True:
            await asyncio.sleep(0.1)
            for vm, process in self.processes.items():
                if vm in waiting:
                    if steady() >= waiting[vm]:
                        del waiting[vm]
                        self.start_vm(vm)
                    continue
                memory = self.memory_mb(vm)[0]
                if process.poll() is None and memory > MEMORY_MB[vm[0]]:
                    self.note("over_memory", vm=vm, memory_mb=memory, limit=MEMORY_MB[vm[0]])
                    self.kill(vm)
                    process.wait()
                if process.poll() is not None:
                    killed[vm] = killed.get(vm, 0) + 1
                    self.note("process_ended", vm=vm, code=process.returncode)
                    waiting[vm] = steady() + restart_s

    # Requesters and the operator

    def route(self, name="r-3hwrr6x", prefix="/lohu930/", prio=1, attempts=3, hint=False):
        route = {"name": name, "host": HOST, "prefix": prefix, "kind": "unsafe",
                 "timeout_ms": 3000, "slo_ms": 1000, "prio": prio, "service": "huvo11a",
                 "attempts": attempts, "slack_factor": 2.2}
        if hint:
            route["hint"] = {"decision_ms": 9.3, "period_ms": 0.13, "validity_ms": 1500}
        return route

    def config(self, version, routes):
        return {"version": version, "routes": routes,
                "services": [{"name": "huvo11a", "health_path": "/healthz", "max_conns": 64,
                              "proto": "h1", "tls": False, "admission_check": False,
                              "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def replace_config(self, config, seconds=15):
        """Sends the config until it is acknowledged. Returns whether it was."""
        data = json.dumps(config).encode()
        until, turn = steady() + seconds, 0
        while steady() < until:
            status, answer = await self.client.call(
                self.control(turn), "POST", "/Config.Replace", data,
                timeout=1.0 + len(data) / 1e6)
            self.note("config", version=config["version"], bytes=len(data), status=status)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            turn += 1
            await asyncio.sleep(0.1)
        return False

    async def request(self, method, path, body=None, turn=0, timeout=3.0, note=True):
        headers = {"Host": HOST, "X-Crocusmill-Deadline-Ms": int(timeout * 1000)}
        status, answer = await self.client.call(
            self.front(turn), method, path, body, headers, timeout)
        if note:
            self.note("request", method=method, path=path, status=status,
                      answer=answer[:100].decode("latin-1"))
        return status, answer

    async def submit(self, path, job, tries=20):
        """Hands a job in, again at another node after no answer. Returns the last status."""
        status = 0
        for turn in range(tries):
            status, _ = await self.request("POST", path, job, turn)
            if 200 <= status < 300 or status in (400, 404, 413):
                return status
            await asyncio.sleep(0.3)
        return status

    async def state_of(self, path, turn=0):
        status, answer = await self.request("GET", path, turn=turn)
        return status, (json.loads(answer).get("state") if status == 200 else None)

    async def ask(self, path, seconds):
        """Asks every node in turn for the job's state. Returns it, "unknown" after a 410, or None
        if no answer came in time."""
        until, turn = steady() + seconds, 0
        while steady() < until:
            status, state = await self.state_of(path, turn)
            if status == 200:
                return state
            if status == 410:
                return "unknown"
            turn += 1
            await asyncio.sleep(0.2)
        return None

    async def longest_idle(self, job, seconds):
        """Watches for so long, and returns the longest time without a run of the job."""
        idle = 0.0
        began = last_run = steady()
        while steady() < began + seconds:
            await asyncio.sleep(0.05)
            if any(runs and task.startswith(job) for task, runs in self.active.items()):
                last_run = steady()
            idle = max(idle, steady() - last_run)
        return idle

    async def small_jobs(self, accepted, first, count, pause, seconds=30):
        """Hands in small jobs, one after the other, and adds the accepted ones to `accepted`."""
        until = steady() + seconds
        for k in range(first, first + count):
            if steady() >= until:
                return
            path = f"/lohu930/{k:016x}"
            status, _ = await self.request("POST", path, SMALL_JOB, turn=k)
            if 200 <= status < 300:
                accepted.append(path)
            await asyncio.sleep(pause)

    async def prepare(self):
        """Starts all, and has the first config acknowledged."""
        await self.start()
        if not await self.await_ready():
            raise RuntimeError("the nodes did not become ready")
        if not await self.replace_config(self.config(1, [self.route()])):
            raise RuntimeError("the config was not acknowledged")

    async def await_ready(self, seconds=20):
        until = steady() + seconds
        while steady() < until:
            answers = [await self.client.call((self.ip(0, k), READY), "GET", "/readyz", timeout=1)
                       for k in range(101, 101 + self.entries)]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def finish(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(name, scenario, **options):
    """Runs `scenario(site)`, which returns the breaks of the rule. Exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, lambda *ignored: sys.exit(2))  # ends the processes on its way
    site = Site(name, **options)
    code = 2

    async def play():
        # Connections that end with the scenario are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(scenario(site), 113)

    try:
        broken = asyncio.new_event_loop().run_until_complete(play())
        for text in broken:
            site.note("BROKEN", text=text)
            print("broken:", text)
        code = 1 if broken else 0
    except Exception as error:  # the case could not run
        site.note("not_run", error=repr(error))
        print("not run:", repr(error))
    finally:
        site.finish()
        site.note("exit", code=code)
        sys.stdout.flush()
        os._exit(code)  # without waiting for the tasks of the stand-ins
