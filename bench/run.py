#!/usr/bin/env python3
"""Runs the measurements on live processes and writes bench/results/.

Usage: bench/run.py BUILD [--upstreams N] [--seed N] [SCENARIO ...]
Each scenario runs with every policy in turn (--policies, default: fair and naive). Only processes
that this program started are ended.
"""

import argparse
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "bench" / "results"
VMS = 6
SLOTS = 8
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")

# name: arguments of the load tool
SCENARIOS = {
    "calm": ["--crest", "0.5"],
    "crest-1.0": ["--crest", "1.0"],
    "crest-1.5": ["--crest", "1.5"],
    "crest-2.0": ["--crest", "2.0"],
    "crest-3.0": ["--crest", "3.0"],
    "crest-1.5-without-heavy": ["--crest", "1.5", "--without-heavy"],
    "calm-without-heavy": ["--crest", "0.5", "--without-heavy"],
    "arch-crest-1.5": ["--crest", "1.5", "--arch"],
}


def document(scheduling, emphasis):
    text = json.loads((ROOT / "support" / "rocola.json").read_text())
    text["policy"] = {"emphasis": emphasis, "scheduling": scheduling}
    return json.dumps(text)


def usage(pid):
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return {"cpu_s": (int(stat[11]) + int(stat[12])) / TICKS, "rss_mb": int(stat[21]) * PAGE / 1e6}


class Cell:
    """Daemons and simulated upstreams on loopback."""

    def __init__(self, build, base, upstreams, scheduling, emphasis):
        self.build, self.base = build, base
        self.folder = tempfile.TemporaryDirectory()
        path = self.folder.name
        subprocess.run([ROOT / "support" / "write_settings.sh", path, str(VMS), str(base)],
                       check=True)
        self.daemons = [
            subprocess.Popen([build / "crocusmilld", "--settings", f"{path}/vm-{vm}.json"],
                             stderr=open(f"{path}/vm-{vm}.log", "w"))
            for vm in range(1, VMS + 1)]
        self.entries = [f"127.0.0.1:{base + 10 + vm}" for vm in range(1, VMS + 1)]
        self.upstreams = upstreams
        self.standin = None
        self.wait_ready()
        pathlib.Path(f"{path}/document.json").write_text(document(scheduling, emphasis))
        self.ctl("environment", "trial", f"{path}/document.json")
        self.ctl("environment", "promote", "rocola", "--version", "1", "--wait")
        arguments = []
        for entry in self.entries:
            arguments += ["--entry", entry]
        self.standin = subprocess.Popen(
            [build / "bench" / "standin", *arguments, "--count", str(upstreams), "--slots",
             str(SLOTS), "--first-port", str(base + 200)], stdout=subprocess.PIPE, text=True)
        self.standin.stdout.readline()
        time.sleep(6)  # a new leader grants slots only after the longest earlier grant has expired

    def ctl(self, *words):
        return subprocess.run(
            [self.build / "crocusmillctl", "--server", f"127.0.0.1:{self.base + 21}",
             "--token-file", f"{self.folder.name}/token", *words], check=True,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True).stdout

    def wait_ready(self):
        for entry in self.entries:
            for _ in range(200):
                try:
                    urllib.request.urlopen(f"http://{entry}/.well-known/crocusmill/ready",
                                           timeout=1)
                    break
                except OSError:
                    time.sleep(0.1)

    def load(self, *arguments):
        words = []
        for entry in self.entries:
            words += ["--entry", entry]
        before = [usage(process.pid) for process in self.daemons]
        started_at = time.time()
        out = subprocess.run([self.build / "bench" / "load", *words, "--slots",
                              str(self.upstreams * SLOTS), *arguments], check=True,
                             stdout=subprocess.PIPE, text=True).stdout
        report = json.loads(out)
        after = [usage(process.pid) for process in self.daemons]
        report["daemon_cpu_s"] = [round(b["cpu_s"] - a["cpu_s"], 2)
                                  for a, b in zip(before, after)]
        report["daemon_rss_mb"] = [round(sample["rss_mb"], 1) for sample in after]
        report["wall_s"] = round(time.time() - started_at, 1)
        return report

    def attempts(self):
        attempt_count = 0
        token = pathlib.Path(f"{self.folder.name}/token").read_text()
        for vm in range(1, VMS + 1):
            request = urllib.request.Request(
                f"http://127.0.0.1:{self.base + 20 + vm}/metrics",
                headers={"Authorization": f"Bearer {token}"})
            for line in urllib.request.urlopen(request).read().decode().splitlines():
                if line.startswith("crocusmill_attempts_total"):
                    attempt_count += int(line.rsplit(" ", 1)[1])
        return attempt_count

    def stop(self):
        judgement = {}
        if self.standin:
            self.standin.send_signal(signal.SIGTERM)
            lines = self.standin.stdout.read().strip().splitlines()
            self.standin.wait()
            judgement = json.loads(lines[-1]) if lines else {}
        for process in self.daemons:
            process.kill()
            process.wait()
        self.folder.cleanup()
        return judgement


def run(build, name, upstreams, seed, scheduling, emphasis, base):
    cell = Cell(build, base, upstreams, scheduling, emphasis)
    try:
        report = cell.load("--seed", str(seed), *SCENARIOS[name])
        report["attempts"] = cell.attempts()
    finally:
        judgement = cell.stop()
    report.update({"scenario": name, "scheduling": scheduling, "emphasis": emphasis,
                   "upstreams": upstreams, "judgement": judgement})
    return report


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--upstreams", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", default="fair:packing,naive:packing")
    parser.add_argument("scenarios", nargs="*")
    arguments = parser.parse_intermixed_args()
    RESULTS.mkdir(parents=True, exist_ok=True)
    base = 25000
    for name in arguments.scenarios or list(SCENARIOS):
        for policy in arguments.policies.split(","):
            scheduling, emphasis = policy.split(":")
            report = run(arguments.build.resolve(), name, arguments.upstreams, arguments.seed,
                         scheduling, emphasis, base)
            base += 300
            file = RESULTS / f"{name}-{scheduling}-{emphasis}.json"
            file.write_text(json.dumps(report, indent=1) + "\n")
            for phase in ("calm", "crest"):
                quick = report[phase]["quick"]
                print(name, scheduling, emphasis, phase, json.dumps(quick), flush=True)
            print("   ", report["judgement"], "cpu", report["daemon_cpu_s"], flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
