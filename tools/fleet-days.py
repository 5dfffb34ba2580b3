#!/usr/bin/env python3
"""Plays days of the users' fleet bench, a few at once, and prints a row of a Markdown table for each.

    tools/fleet-days.py BENCH SITE --days roll+mass,split+mass --seeds 10 --first 91001 --nodes 30 --why "..."

The program has to be built (`deploy/balancer.toml`). Each day is one run of BENCH with an end in time; a run that fails
or takes too long is a row that says so. Exit code 1 where a rule or a floor was broken, or a run failed.
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
# A day of the bench ends within 25 minutes; a small one takes one or two.
LONGEST_S = 1600


def floors_missed(row):
    """The floors of the day and of its classes and tenants that were missed, by name."""
    missed = []
    if row["served"] < row["served_least"]:
        missed.append("day")
    for name, served, least in row["by_class"] + row["by_tenant"]:
        if least is not None and served < least:
            missed.append(f"{name} {served:.3f} of {least:.3f}")
    if row["gate"]:
        missed.append(str(row["gate"]))
    return missed


def judge(day, seed, done, report):
    """The row of a day, and whether all held."""
    if done is None:
        return f"| {day} | {seed} | not ended in {LONGEST_S} s | | | | |", False
    if done.returncode != 0 or not report.exists():
        last = (done.stdout + done.stderr).strip().splitlines()[-1:] or ["no output"]
        return f"| {day} | {seed} | failed: {last[0]} | | | | |", False
    told = json.loads(report.read_text())
    row = told["row"]
    missed = floors_missed(row)
    broken = [f"{rule} {count}" for rule, count in row["rules"].items() if count]
    broken += [f"{rule} {count}" for rule, count in (told["breaks"] or {}).items() if count]
    broken += [str(told["fault"])] if told["fault"] else []
    lost = [l for l in done.stdout.splitlines() if l.startswith("rough:")]
    lost = lost[0].split("to, ")[-1].split(" ")[0] if lost and "never taken up" in lost[0] else "-"
    text = f"| {day} | {seed} | {row['G']:.3f} | {row['served']:.3f} ({row['served_least']:.3f}) "
    text += f"| {'; '.join(missed) or 'held'} | {'; '.join(broken) or 'none'} | {lost} |"
    return text, not missed and not broken


def play(args, day, seed):
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "day.json"
        call = [args.bench, args.site, "--rough", day, "--seed", str(seed), "--no-build"]
        call += ["--why", args.why, "--json", str(report)]
        call += ["--nodes", str(args.nodes)] if args.nodes else []
        if args.logs:
            call += ["--logs", os.path.join(args.logs, f"{day}-{seed}")]
        try:
            done = subprocess.run(call, capture_output=True, text=True, timeout=LONGEST_S, check=False)
        except subprocess.TimeoutExpired:
            done = None
        text, held = judge(day, seed, done, report)
        if args.texts and done is not None:
            Path(args.texts, f"{day}-{seed}.txt").write_text(done.stdout + done.stderr)
        print(text, flush=True)
        return held


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", required=True, help="kinds, with commas between")
    parser.add_argument("--seeds", type=int, default=10, help="so many seeds of each day")
    parser.add_argument("--first", type=int, required=True, help="the first seed; each day starts 1,000 further on")
    parser.add_argument("--nodes", type=int, default=0, help="so many schedulers; all of the day's where not given")
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--texts", help="a folder for what the bench prints of each day")
    parser.add_argument("--logs", help="a folder for the schedulers' logs")
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    plays = [
        (day, args.first + at * 1000 + n) for n in range(args.seeds) for at, day in enumerate(args.days.split(","))
    ]
    print(HEAD, flush=True)
    with ThreadPoolExecutor(args.at_once) as pool:
        held = list(pool.map(lambda of: play(args, *of), plays))
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
