"""Plays days of every kind of trouble, alone or in mixes, on the users' bench.

Usage: play_days.py BENCH MODE SITE... [--seed N] [--days N] [--jobs N]
MODE is single (each kind and variant twice a day), 2, 3, ... (that many kinds
at about the same time). Prints the days on which a rule was broken, a process
ended by itself, or little was served.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import subprocess
import sys
import tempfile

PLANNED = {"release", "scale_in", "scale_out", "roll_term", "add_nodes",
           "config_change", "config_storm", "big_config", "revoke", "hup"}
LEAST_SERVED = 0.6


def kind(name, variants=("",), **figures):
    return [dict(kind=name, how=how, **figures) for how in variants]


TROUBLES = sum([
    kind("burst", x=2.5, for_s=6.0),
    kind("hot_key", share=0.4, for_s=6.0, **{"class": "@c0"}),
    kind("hot_tenant", x=8.0, for_s=6.0),
    kind("retry_abuse", x=4.0, share=0.5, for_s=6.0),
    kind("give_up", ("", "once"), share=0.4, for_s=6.0),
    kind("srv_crash", ("", "dark", "gone", "domain", "all dark"), share=0.3,
         for_s=4.0, service="@s0"),
    kind("srv_grey", ("errors", "shed", "busy", "hang", "reset", "mute",
                      "slow", "errors all", "slow one_zone", "hang across"),
         share=0.3, for_s=6.0, x=0.5),
    kind("release", share=0.6, x=1.0, gap_s=0.8),
    kind("scale_in", ("", "spot", "reclaim"), share=0.3),
    kind("answer_lost", ("", "reset"), share=0.6, x=0.2, for_s=6.0),
    kind("garble", ("", "extra", "unframed", "early", "extra late", "rot"),
         share=0.6, x=0.1, for_s=6.0),
    kind("node_kill", ("", "power", "leader race drain", "meet drain"),
         share=0.3, for_s=3.0),
    kind("node_freeze", ("", "leader", "renewed"), share=0.3, for_s=3.0),
    kind("node_slow", share=0.4, x=6.0, for_s=6.0),
    kind("roll_term", ("", "busy", "remove"), share=1.0, x=1.0, gap_s=1.5),
    kind("herd_kill", ("", "power"), share=0.6, for_s=2.0),
    kind("add_nodes", share=1.0),
    kind("after_ack_kill", ("", "kill", "timed"), for_s=3.0),
    kind("reset_conns", share=0.6, x=0.8),
    kind("core_cut", ("", "leader", "split", "all", "one_way", "seeds",
                      "both", "leader race"), count=1, for_s=5.0),
    kind("node_cut", ("", "all", "reset", "servers", "meet", "reset revoke",
                      "refuse"), share=0.4, for_s=6.0),
    kind("lossy", x=0.05, for_s=6.0, zone="@z0"),
    kind("platform_down", ("", "silent", "busy", "reset", "silent lapse",
                           "busy lapse", "reset lapse", "nodes", "nodes busy",
                           "nodes many", "nodes many revoke meet",
                           "nodes silent revoke meet drain", "nodes reset"),
         for_s=6.0, share=0.4),
    kind("platform_slow", x=80.0, for_s=6.0),
    kind("platform_lost", ("", "late"), x=0.4, for_s=6.0),
    kind("platform_compact", ("", "keyed", "drain", "drain keyed",
                              "rebalance", "rewind"), x=5.0, for_s=3.0),
    kind("config_change", ("route", "weights", "timeout", "tenant", "quota",
                           "idle")),
    kind("config_storm", for_s=5.0, gap_s=0.3),
    kind("big_config", count=400),
    kind("revoke", ("", "last"), count=3, gap_s=0.4),
    kind("srv_slow", share=0.3, x=5.0, for_s=6.0),
    kind("srv_cut", ("", "fronts", "some", "one_way", "reset", "reborn"),
         share=0.3, for_s=5.0),
    kind("replace_with_reuse", ("", "drain", "dark"), share=0.3),
    kind("scale_out", share=0.5, gap_s=2.0),
    kind("clock_step", ("", "back", "ahead"), x=4000, share=0.5, for_s=6.0),
    kind("hup", share=1.0, gap_s=2.0),
], [])


def entry(trouble, at):
    fields = {"at": at, **trouble}
    if not fields["how"]:
        del fields["how"]
    return "  { " + ", ".join(f"{name} = {json.dumps(value)}"
                              for name, value in fields.items()) + " },\n"


def day(name, entries, seed):
    planned = "".join(entry(trouble, at) for trouble, at in entries
                      if trouble["kind"] in PLANNED)
    faults = "".join(entry(trouble, at) for trouble, at in entries
                     if trouble["kind"] not in PLANNED)
    return (f'name = "{name}"\nslot = "trouble"\nseed = {seed}\n'
            f"plan = [\n{planned}]\nfaults = [\n{faults}]\n")


def draw_days(mode, rng, count):
    if mode == "single":
        for trouble in TROUBLES:
            name = f"{trouble['kind']}-{trouble['how']}".replace(" ", "-")
            yield name.strip("-"), [(trouble, 5.0), (trouble, 18.0)]
        return
    for number in range(count):
        start = rng.uniform(3, 20)
        yield f"mix-{mode}-{number}", [
            (trouble, round(start + rng.uniform(0, 5), 2))
            for trouble in rng.sample(TROUBLES, int(mode))]


def play(bench, site, path, name):
    report = path.with_name(f"{path.stem}-{pathlib.Path(site).stem}.json")
    run = subprocess.run([bench, "run", site, str(path), "--report",
                          str(report), "--why", f"a day of {name}"],
                         capture_output=True, text=True, check=False)
    if not report.exists():
        return f"not played: {run.stdout[-200:]}{run.stderr[-200:]}"
    told = json.loads(report.read_text())
    bad = (told.get("breaks") or told.get("fault") or told.get("exits_n")
           or told["served"] < LEAST_SERVED)
    return (f"served {told['served']:.2f} broken {told.get('breaks')} fault "
            f"{told.get('fault')} exits {told.get('exits_n')}") if bad else ""


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("mode")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--days", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="days-"))
    work = []
    for name, entries in draw_days(options.mode, rng, options.days):
        path = folder / f"{name}.toml"
        path.write_text(day(name, entries, rng.randrange(10**9)))
        work += [(site, path, name) for site in options.sites]
    bad = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        outcomes = pool.map(lambda one: play(options.bench, *one), work)
        for (site, path, _), problem in zip(work, outcomes):
            if problem:
                bad += 1
                print(f"{site} {path}: {problem}")
    print(f"{len(work)} days played, {bad} to look at")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
