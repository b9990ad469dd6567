#!/usr/bin/env python3
"""Measures the effect of single events on clients and operators of a live cell under load.

Usage: bench/events.py BUILD [--rounds N] [--promotions N]
Writes bench/results/events.json: the gaps after a leader is killed, the time until a promotion is
in force on every entry, and the cost of the hop through one entry compared with a direct call.
"""

import argparse
import http.client
import json
import pathlib
import subprocess
import sys
import threading
import time

import run

UPSTREAMS = 10
PROBE_S = 0.01  # pause between two requests of one probe
LEADER_ROUND_S = 8
HOP_REQUESTS = 2000


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Client:
    """A persistent connection that is reopened after a failure."""

    def __init__(self, address, timeout_s=3):
        self.address, self.timeout_s = address, timeout_s
        self.connection = None

    def send(self, method, path, host="rocola.test", headers=None, body="x"):
        """Returns the status and the body; status 0 without a complete response."""
        if self.connection is None:
            ip, port = self.address.split(":")
            self.connection = http.client.HTTPConnection(ip, int(port), timeout=self.timeout_s)
        try:
            self.connection.request(method, path, body=body,
                                    headers={"Host": host, **(headers or {})})
            answer = self.connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            self.connection.close()
            self.connection = None
            return 0, ""


class Probe(threading.Thread):
    """Sends short requests to one entry and records the times of responses with status 200."""

    def __init__(self, address, path):
        super().__init__()
        self.client, self.path = Client(address), path
        self.answered_at, self.failed = [], 0
        self.running = True

    def run(self):
        while self.running:
            status, _ = self.client.send("POST", self.path, headers={"X-Service-Us": "1000"})
            if status == 200:
                self.answered_at.append(time.monotonic())
            else:
                self.failed += 1
            time.sleep(PROBE_S)

    def longest_gap(self, since):
        times = [since] + [moment for moment in self.answered_at if moment >= since]
        return max(b - a for a, b in zip(times, times[1:])) if len(times) > 1 else None


def leader_of(cell):
    status = json.loads(cell.ctl("--output", "json", "status"))
    return next(int(vm["vm"].rsplit("-", 1)[1]) for vm in status["vms"] if vm["leader"])


def restart(cell, vm):
    path = cell.folder.name
    cell.daemons[vm - 1] = subprocess.Popen(
        [cell.build / "crocusmilld", "--settings", f"{path}/vm-{vm}.json"],
        stderr=open(f"{path}/vm-{vm}.log", "a"))
    cell.wait_ready()
    time.sleep(5)


def kill_leaders(build, rounds):
    """Returns the longest gaps between responses of the other entries after a leader was killed."""
    cell = run.Cell(build, 25000, UPSTREAMS, "fair", "packing")
    gaps = {"recorded": [], "quick": [], "failed_quick": 0, "failed_recorded": 0}
    try:
        for _ in range(rounds):
            leader = leader_of(cell)
            others = [entry for vm, entry in enumerate(cell.entries, 1) if vm != leader]
            quick = [Probe(entry, "/quotes") for entry in others]
            recorded = [Probe(entry, "/reconciliations") for entry in others]
            for probe in quick + recorded:
                probe.start()
            time.sleep(2)
            killed = time.monotonic()
            cell.daemons[leader - 1].kill()
            cell.daemons[leader - 1].wait()
            time.sleep(LEADER_ROUND_S)
            for probe in quick + recorded:
                probe.running = False
            for probe in quick + recorded:
                probe.join()
            gaps["quick"].append(max(probe.longest_gap(killed) for probe in quick))
            gaps["recorded"].append(max(probe.longest_gap(killed) for probe in recorded))
            gaps["failed_quick"] += sum(probe.failed for probe in quick)
            gaps["failed_recorded"] += sum(probe.failed for probe in recorded)
            print("leader killed: gaps of recorded and quick work, s", gaps["recorded"][-1],
                  gaps["quick"][-1], flush=True)
            restart(cell, leader)
    finally:
        gaps["judgement"] = cell.stop()
    return gaps


def wait_in_force(client, host, since, times):
    while time.monotonic() - since < 10:
        _, body = client.send("GET", "/nothing", host=host, body=None)
        if body and "no-environment" not in body:
            times.append(time.monotonic() - since)
            return
        time.sleep(0.005)


def promote_under_load(build, promotions):
    """Measures the time from a promotion until the slowest entry serves the new version."""
    cell = run.Cell(build, 25300, UPSTREAMS, "fair", "packing")
    slowest = []
    words = [word for entry in cell.entries for word in ("--entry", entry)]
    load = subprocess.Popen([build / "bench" / "load", *words, "--slots",
                             str(UPSTREAMS * run.SLOTS), "--crest", "1.0", "--seed", "1"],
                            stdout=subprocess.DEVNULL)
    path = pathlib.Path(cell.folder.name) / "document.json"
    text = json.loads(run.document("fair", "packing"))
    try:
        for version in range(2, promotions + 2):
            host = f"v{version}.test"
            text["version"], text["hosts"] = version, ["rocola.test", host]
            path.write_text(json.dumps(text))
            cell.ctl("environment", "trial", str(path))
            times, clients = [], [Client(entry) for entry in cell.entries]
            started_at = time.monotonic()
            threads = [
                threading.Thread(target=wait_in_force, args=(client, host, started_at, times))
                for client in clients]
            for thread in threads:
                thread.start()
            cell.ctl("environment", "promote", "rocola", "--version", str(version))
            for thread in threads:
                thread.join()
            slowest.append(max(times) if len(times) == len(clients) else None)
    finally:
        load.kill()
        load.wait()
        judgement = cell.stop()
    missing = slowest.count(None)
    measured = [value for value in slowest if value is not None]
    print("promotions", len(measured), "missing", missing, "p50", quantile(measured, 0.5), "p99",
          quantile(measured, 0.99), flush=True)
    return {"promotions": len(measured), "not_in_force_within_10_s": missing,
            "p50_s": quantile(measured, 0.5), "p99_s": quantile(measured, 0.99),
            "judgement": judgement}


def measure_latency(address, path, headers):
    client, times = Client(address), []
    for _ in range(HOP_REQUESTS):
        started_at = time.monotonic()
        status, _ = client.send("POST", path, headers=headers)
        if status == 200:
            times.append((time.monotonic() - started_at) * 1000)
    return {"answered": len(times), "p50_ms": quantile(times, 0.5),
            "p99_ms": quantile(times, 0.99), "per_second": 1000 * len(times) / sum(times)}


def hop(build):
    """Measures the latency of sequential requests: direct, through one entry, and recorded."""
    cell = run.Cell(build, 25600, 1, "fair", "packing")
    work = {"X-Service-Us": "0"}
    try:
        result = {
            "direct": measure_latency(f"127.0.0.1:{cell.base + 200}", "/quotes",
                            {**work, "Crocusmill-Attempt": "direct-1"}),
            "one entry": measure_latency(cell.entries[0], "/quotes", work),
            "one entry, recorded": measure_latency(cell.entries[0], "/reconciliations", work),
        }
    finally:
        cell.stop()
    print("hop", json.dumps(result), flush=True)
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--promotions", type=int, default=100)
    arguments = parser.parse_args()
    build = arguments.build.resolve()
    results = {"hop": hop(build), "leader_killed": kill_leaders(build, arguments.rounds),
               "promotion": promote_under_load(build, arguments.promotions)}
    (run.RESULTS / "events.json").write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
