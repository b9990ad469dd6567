#!/usr/bin/env python3
"""Measures the cost of an idle cell for several numbers of upstreams: bench/slopes.py BUILD

CPU time and memory of each daemon, and bytes on loopback, over ten idle seconds at 0, 50
and 200 upstreams. Writes bench/results/slopes.json.
"""

import json
import pathlib
import sys
import time

import run

SECONDS = 10
COUNTS = (0, 50, 200)


def loopback_bytes():
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def measure(build, count, base):
    cell = run.Cell(build, base, count, "fair", "packing") if count else run.Cell(
        build, base, 1, "fair", "packing")
    try:
        if not count:
            cell.standin.kill()
            cell.standin.wait()
            cell.standin = None
            time.sleep(6)
        before, bytes_before = [run.usage(p.pid) for p in cell.daemons], loopback_bytes()
        time.sleep(SECONDS)
        after, bytes_after = [run.usage(p.pid) for p in cell.daemons], loopback_bytes()
    finally:
        cell.stop()
    cpu = [round(100 * (b["cpu_s"] - a["cpu_s"]) / SECONDS, 2) for a, b in zip(before, after)]
    # The sixth VM has no replica, so its cost is that of the entry.
    return {"upstreams": count, "cpu_percent": cpu, "entry_only_cpu_percent": cpu[5],
            "leader_cpu_percent": max(cpu), "rss_mb": [round(a["rss_mb"], 1) for a in after],
            "loopback_kb_per_s": round((bytes_after - bytes_before) / SECONDS / 1000, 1)}


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    rows = []
    for number, count in enumerate(COUNTS):
        rows.append(measure(build, count, 30000 + 800 * number))
        print(json.dumps(rows[-1]), flush=True)
    run.RESULTS.mkdir(parents=True, exist_ok=True)
    (run.RESULTS / "slopes.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
