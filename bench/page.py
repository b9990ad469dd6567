#!/usr/bin/env python3
"""Generates docs/MEASURES.md and its plot from bench/results/*.json: bench/page.py."""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
RESULTS = ROOT / "bench" / "results"

CALM_ABOVE_HOP_MS = 5
BLOCKING_RATIO = 1.2
CREST_RATIO = 1.5
IN_TIME = 0.99
ATTEMPTS = 1.1
RECORDED_GAP_S = 2
QUICK_FAILED = 0
PROMOTION_S = 1
GOODPUT = 0.95


def load():
    runs = {}
    for file in sorted(RESULTS.glob("*.json")):
        run = json.loads(file.read_text())
        if "scenario" in run:
            runs[(run["scenario"], run["scheduling"], run["emphasis"])] = run
    return runs


def p99(run, phase, kind="quick"):
    return run[phase][kind].get("wait_p99_ms", float("nan"))


def share(run, phase, kind="quick"):
    part = run[phase][kind]
    return part["in_time"] / part["count"] if part["count"] else float("nan")


def row(key, run):
    started = sum(run[phase][kind]["count"] for phase in ("calm", "crest", "after")
                  for kind in ("quick", "deferrable", "heavy"))
    return "| " + " | ".join([
        key[0], f"{key[1]}, {key[2]}",
        f"{run['calm']['quick'].get('wait_p50_ms', 0):.2f}", f"{p99(run, 'calm'):.1f}",
        f"{run['crest']['quick'].get('wait_p50_ms', 0):.2f}", f"{p99(run, 'crest'):.1f}",
        f"{100 * share(run, 'crest'):.1f}%",
        f"{p99(run, 'crest', 'deferrable'):.0f}", f"{100 * share(run, 'crest', 'deferrable'):.1f}%",
        f"{run['crest']['heavy'].get('wait_p50_ms', 0) / 1000:.1f}",
        f"{run['attempts'] / started:.3f}",
        str(run["judgement"].get("over_slots", "?")),
    ]) + " |"


def bound_row(name, value, bound, is_minimum=False):
    met = value >= bound if is_minimum else value <= bound
    sign = "at least" if is_minimum else "at most"
    return f"| {name} | {value:.3g} | {sign} {bound:g} | {'met' if met else '**missed**'} |"


def bounds(runs):
    lines = []
    for emphasis in ("packing", "crest"):
        calm = runs.get(("calm", "fair", emphasis))
        crest = runs.get(("crest-1.5", "fair", emphasis))
        without_heavy = runs.get(("crest-1.5-without-heavy", "fair", emphasis))
        arch = runs.get(("arch-crest-1.5", "fair", emphasis))
        if calm:
            hop = calm["calm"]["quick"]["wait_p50_ms"]
            lines.append(bound_row(f"quick p99 in the calm above the hop's p50, ms ({emphasis})",
                                   p99(calm, "calm") - hop, CALM_ABOVE_HOP_MS))
        for title, run in (("record", crest), ("arch", arch)):
            if run:
                lines.append(bound_row(f"quick p99 at a crest of 1.5 over calm, {title} "
                                       f"({emphasis})",
                                       p99(run, "crest") / p99(run, "calm"), CREST_RATIO))
                lines.append(bound_row(f"quick served in time at 1.5, {title} ({emphasis})",
                                       share(run, "crest"), IN_TIME, is_minimum=True))
        if crest and without_heavy:
            lines.append(bound_row(f"quick p99 at 1.5 with heavy work over without ({emphasis})",
                                   p99(crest, "crest") / p99(without_heavy, "crest"),
                                   BLOCKING_RATIO))
            lines.append(bound_row(f"deferrable work landed at 1.5 ({emphasis})",
                                   share(crest, "crest", "deferrable"), 1.0, is_minimum=True))
    crests = [run for key, run in runs.items()
              if key[1:] == ("fair", "packing") and key[0].startswith("crest-")
              and "without" not in key[0]]
    overloaded = runs.get(("crest-3.0", "fair", "packing"))
    if overloaded:
        lines.append(bound_row("goodput at 3 times capacity over the best of the crests (packing)",
                               goodput(overloaded) / max(goodput(run) for run in crests), GOODPUT,
                               is_minimum=True))
    for key, run in runs.items():
        if key[1] == "fair":
            started = sum(run[phase][kind]["count"] for phase in ("calm", "crest", "after")
                          for kind in ("quick", "deferrable", "heavy"))
            lines.append(bound_row(f"attempts a request, {key[0]} ({key[2]})",
                                   run["attempts"] / started, ATTEMPTS))
    return lines


def goodput(run):
    """Requests of all classes that were answered in time while the crest lasted."""
    return sum(run["crest"][kind]["in_time"] for kind in ("quick", "deferrable", "heavy"))


def events():
    file = RESULTS / "events.json"
    if not file.exists():
        return [], ""
    results = json.loads(file.read_text())
    killed, promotion, hop = results["leader_killed"], results["promotion"], results["hop"]
    lines = [
        bound_row("leader killed, longest gap of recorded work, s", max(killed["recorded"]),
                  RECORDED_GAP_S),
        bound_row(f"leader killed, quick probes that failed on the others (longest gap "
                  f"{max(killed['quick']):.3f} s)", killed["failed_quick"], QUICK_FAILED),
        bound_row("promotion in force on every entry, p99, s", promotion["p99_s"], PROMOTION_S),
    ]
    table = "\n## The hop\n\nOne caller, one request after the other's answer, no service time.\n\n"
    table += "| way | p50, ms | p99, ms | requests a second |\n| --- | --- | --- | --- |\n"
    for name, figures in hop.items():
        table += (f"| {name} | {figures['p50_ms']:.2f} | {figures['p99_ms']:.2f} "
                  f"| {figures['per_second']:.0f} |\n")
    return lines, table


def plot(runs):
    """Quick p99 at the crest, one bar per run, on a logarithmic scale."""
    import math
    bars = [(f"{k[0]} {k[1]} {k[2]}", p99(r, "crest")) for k, r in runs.items()]
    height = 22 * len(bars) + 30
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="760" height="{height}" '
           'font-family="sans-serif" font-size="12">',
           '<text x="4" y="16">Quick work, wait at the crest, p99 in ms (logarithmic)</text>']
    for i, (name, value) in enumerate(bars):
        y = 26 + 22 * i
        width = max(2.0, 110 * math.log10(max(value, 1.0)))
        colour = "#b04a3a" if "naive" in name else "#3a6fb0"
        out.append(f'<text x="4" y="{y + 13}">{name}</text>'
                   f'<rect x="260" y="{y}" width="{width:.0f}" height="16" fill="{colour}"/>'
                   f'<text x="{266 + width:.0f}" y="{y + 13}">{value:.1f}</text>')
    out.append("</svg>")
    (RESULTS / "quick-crest.svg").write_text("\n".join(out) + "\n")


def main():
    runs = load()
    plot(runs)
    event_lines, hop_table = events()
    first = next(iter(runs.values()))
    text = f"""# Measurements

Made by `bench/run.py build` and `bench/events.py build`, and drawn by `bench/page.py` from `bench/results/`. Live processes on
loopback: 6 daemons (5 voters), {first['upstreams']} stand-in upstreams of 8 slots, an open-loop load
tool; all on one machine of 6 cores, so the daemons share them with the load. Seed {first['seed']}.
Waiting is what a request took beyond its own service time, from its scheduled moment, in ms.

| scenario | policy | quick p50 calm | quick p99 calm | quick p50 crest | quick p99 crest | quick in time | deferrable p99 crest | deferrable landed | heavy p50 crest, s | attempts a request | starts over slots |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
""" + "\n".join(row(key, run) for key, run in runs.items()) + """

![quick work at the crest](../bench/results/quick-crest.svg)

## Against the bounds

| measure | figure | bound | |
| --- | --- | --- | --- |
""" + "\n".join(bounds(runs) + event_lines) + "\n" + hop_table
    notes = ROOT / "bench" / "results" / "notes.md"
    if notes.exists():
        text += "\n" + notes.read_text()
    (ROOT / "docs" / "MEASURES.md").write_text(text)


if __name__ == "__main__":
    main()
