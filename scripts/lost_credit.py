"""Tells where the standard days of an installation lose their credit.

Usage: lost_credit.py BENCH SITE... [--seeds N] [--jobs N]
Plays each standard day with the bench's report and the gateways' log lines, and
prints two tables for docs/DECISIONS.md: what each day loses, and why
requests were late or not answered. Processor time is not counted.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib

LEAST_PRICE = 0.004
WHY = "table of lost credit: each standard day with its log lines"
FIELD = re.compile(r"(\w+)=(\S*)")


def play(bench, site, day, seed):
    """Plays one day; returns the report and the lines of the gateways."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.json")
        command = [bench, "run", site, day["name"], "--no-cpu", "--log", "all",
                   "--report", str(report), "--why", WHY]
        if seed:
            command += ["--seed", str(seed)]
        output = subprocess.run(command, stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT, text=True,
                                check=False).stdout
        return json.loads(report.read_text()), output.splitlines()


def cause_of(fields):
    """Names why an answer was late or missing; None if it was neither."""
    late = fields.get("late")
    if late == "first":
        return "late: first event"
    if late == "pause":
        return "late: pause between events"
    if fields["status"].startswith("5") and fields["reason"] == "answered":
        return "failed by the backend server"
    if fields["status"][0] in "05":
        return f"{fields['status']} {fields['reason']}"
    return None


def causes(lines):
    """Counts the causes that the log lines tell."""
    counts = collections.Counter()
    for line in lines:
        if " event=answer " not in line:
            continue
        fields = dict(FIELD.findall(line))
        cause = cause_of(fields)
        # Without an organisation it is one of the bench's own looks.
        counted = fields.get("organisation", '""') != '""'
        if cause and counted and fields["reason"] != "caller_left":
            counts[cause] += 1
    return counts


def worst_windows(report):
    """Lists the two windows that earned least, with their worth."""
    windows = [w for w in report["windows"] if w["n"] >= 10]
    windows.sort(key=lambda window: window["worth"])
    return ", ".join(f"{w['name']} s: {w['worth']:.2f}" for w in windows[:2])


def prices(report):
    """Lists what is charged, the dearest first."""
    dear = [(part, name) for name, _, part in report["prices"]
            if part >= LEAST_PRICE]
    return ", ".join(f"{name} {part:.3f}"
                     for part, name in sorted(dear, reverse=True))


def row(site, day, report):
    classes = " / ".join(f"{c['worth']:.2f}" for c in report["classes"])
    return (f"| {pathlib.Path(site).stem} | {day['name']} "
            f"| {report['all']['worth']:.3f} | {classes} "
            f"| {worst_windows(report)} | {prices(report)} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    plays = []
    for site in options.sites:
        with open(site, "rb") as file:
            days = tomllib.load(file)["day"]
        plays += [(site, day, seed) for day in days
                  for seed in range(options.seeds)]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(
            lambda one: play(options.bench, *one), plays))
    print("| site | day | worth | by kind of request | worst windows "
          "| prices |\n|---|---|---|---|---|---|")
    totals = collections.defaultdict(collections.Counter)
    for (site, day, _), (report, lines) in zip(plays, results):
        print(row(site, day, report))
        totals[pathlib.Path(site).stem] += causes(lines)
        totals[pathlib.Path(site).stem]["(asked)"] += report["all"]["n"]
    for site, counts in totals.items():
        print(f"\n| {site}: cause | requests |\n|---|---|")
        for cause, count in counts.most_common():
            print(f"| {cause} | {count} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
