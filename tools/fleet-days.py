#!/usr/bin/env python3
"""Runs scenarios of the users' fleet bench, a few in parallel, and prints one row of a Markdown table per run.

    tools/fleet-days.py BENCH SITE --days roll+mass,split+mass --seeds 10 --first 91001 --nodes 30 --why "..."

The program must already be built (`deploy/balancer.toml`). Each scenario and seed is one run of BENCH with a timeout; a
run that fails or times out gets a row that says so. The exit code is 1 if a rule was violated, a minimum missed or a
run failed.
"""
import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HEAD = "| day | seed | G | served (wanted) | gate | rule broken | never answered |\n| --- | --- | --- | --- | --- | --- | --- |"
# A bench run ends within 25 minutes; a small one takes one or two.
RUN_TIMEOUT_S = 1600


def missed_minimums(row):
    """The missed minimums of the run, its classes and its tenants, by name, and the failed gate, if any."""
    missed = []
    if row["served"] < row["served_least"]:
        missed.append("day")
    for name, served, least in row["by_class"] + row["by_tenant"]:
        if least is not None and served < least:
            missed.append(f"{name} {served:.3f} of {least:.3f}")
    if row["gate"]:
        missed.append(str(row["gate"]))
    return missed


def evaluate(scenario, seed, done, report):
    """The table row of a run, and whether it passed every check."""
    if done is None:
        return f"| {scenario} | {seed} | not ended in {RUN_TIMEOUT_S} s | | | | |", False
    if done.returncode != 0 or not report.exists():
        last = (done.stdout + done.stderr).strip().splitlines()[-1:] or ["no output"]
        return f"| {scenario} | {seed} | failed: {last[0]} | | | | |", False
    result = json.loads(report.read_text())
    row = result["row"]
    missed = missed_minimums(row)
    broken = [f"{rule} {count}" for rule, count in row["rules"].items() if count]
    broken += [f"{rule} {count}" for rule, count in (result["breaks"] or {}).items() if count]
    broken += [str(result["fault"])] if result["fault"] else []
    unanswered = [l for l in done.stdout.splitlines() if l.startswith("rough:")]
    if unanswered and "never taken up" in unanswered[0]:
        unanswered = unanswered[0].split("to, ")[-1].split(" ")[0]
    else:
        unanswered = "-"
    text = f"| {scenario} | {seed} | {row['G']:.3f} | {row['served']:.3f} ({row['served_least']:.3f}) "
    text += f"| {'; '.join(missed) or 'held'} | {'; '.join(broken) or 'none'} | {unanswered} |"
    return text, not missed and not broken


def run(args, scenario, seed):
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "day.json"
        call = [args.bench, args.site, "--rough", scenario, "--seed", str(seed), "--no-build"]
        call += ["--why", args.why, "--json", str(report)]
        call += ["--nodes", str(args.nodes)] if args.nodes else []
        if args.logs:
            call += ["--logs", os.path.join(args.logs, f"{scenario}-{seed}")]
        try:
            done = subprocess.run(call, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False)
        except subprocess.TimeoutExpired:
            done = None
        text, held = evaluate(scenario, seed, done, report)
        if args.texts and done is not None:
            Path(args.texts, f"{scenario}-{seed}.txt").write_text(done.stdout + done.stderr)
        print(text, flush=True)
        return held


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", required=True, help="scenario kinds, separated by commas")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds per scenario")
    parser.add_argument("--first", type=int, required=True, help="first seed; each further scenario adds 1,000")
    parser.add_argument("--nodes", type=int, default=0, help="number of schedulers; default: all of the scenario's")
    parser.add_argument("--at-once", type=int, default=2, help="number of parallel runs")
    parser.add_argument("--texts", help="directory for the output of each bench run")
    parser.add_argument("--logs", help="directory for the schedulers' logs")
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    runs = [
        (scenario, args.first + index * 1000 + n)
        for n in range(args.seeds)
        for index, scenario in enumerate(args.days.split(","))
    ]
    print(HEAD, flush=True)
    with ThreadPoolExecutor(args.at_once) as pool:
        held = list(pool.map(lambda item: run(args, *item), runs))
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
