#!/usr/bin/env python3
"""The three measures of the system, for several routing variants side by side.

Starts 8 hosts in two regions, 12 engines and 3 plain services on loopback, drives `bergamotramp load` and prints a
table per measure: median [least..greatest] over the repeats. The variants of one repeat run one after the other, so
that a change of the machine's load falls on all of them.

  1  batch items/s against the online tail, with batch off and on
  2  latency of short requests without and with stragglers in the mix
  3  online tail with two of the twelve engines slowed five times for seconds at a time

The link between the regions (12 ms each way, 30 Mbit/s) is between the hosts of the second region and the store;
messages between hosts go over loopback without delay.
"""

import argparse
import json
import threading
import time

from fleet import BenchError, Fleet, http, print_table, spread

ENGINES = {"nordeste": 6, "sudeste": 6}
PLAINS = {"nordeste": 2, "sudeste": 1}
HOSTS = {"nordeste": 4, "sudeste": 4}
SLOTS = 8
ENGINE_OPTIONS = ("--slots", str(SLOTS), "--token-interval-us", "10000")
SLOW_FACTOR = 5
SLOW_SECONDS = 3
PAUSE_SECONDS = 2
JOB_ITEMS = 20_000
HEDGES = "bergamotramp_hedges_total"


class SlotSampler:
    """Samples how many slots of all engines are in use while a load is measured, and what the engines did meanwhile."""

    def __init__(self, fleet, options, period=0.25):
        self.fleet = fleet
        self.window = (options.warmup, options.warmup + options.seconds)
        self.period = period
        self.samples = []
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        start = time.monotonic()
        while not self.ending.wait(self.period):
            try:
                counters = self.fleet.engine_counters()
            except (OSError, ValueError):
                continue
            if self.window[0] <= time.monotonic() - start <= self.window[1]:
                self.samples.append({**counters, "at": time.monotonic()})

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()

    def share(self):
        if not self.samples:
            return 0.0
        return sum(sample["running"] for sample in self.samples) / len(self.samples) / (SLOTS * len(self.fleet.engines))

    def grown(self, counter):
        """Growth of one counter a second."""
        if len(self.samples) < 2:
            return 0.0
        return (self.samples[-1][counter] - self.samples[0][counter]) / (self.samples[-1]["at"] - self.samples[0]["at"])

    def streams(self):
        return {counter: self.grown(counter) for counter in ("tokens", "started", "finished", "cancelled", "resumed")}


class EngineSlower:
    """Slows two engines at a time, a different two each time, and lets them recover in between."""

    def __init__(self, fleet):
        self.addresses = list(fleet.engines)
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def set_factor(self, pair, factor):
        for address in pair:
            http("POST", address + "/control", {"slowFactor": factor})

    def run(self):
        half = len(self.addresses) // 2
        turn = 0
        while not self.ending.wait(PAUSE_SECONDS):
            # One engine of each region.
            pair = (self.addresses[turn % half], self.addresses[half + turn % half])
            self.set_factor(pair, SLOW_FACTOR)
            self.ending.wait(SLOW_SECONDS)
            self.set_factor(pair, 1)
            turn += 1

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        self.thread.join()


def service_files(fleet, options):
    return [
        {"name": "modelo", "slotsPerUpstream": SLOTS, "upstreams": fleet.upstreams(fleet.engines), "online": {"reserveShare": options.reserve_share},
         "repeat": {"hedgeBudgetShare": options.hedge_share}},
        {"name": "vitrine", "kind": "plain", "upstreams": fleet.upstreams(fleet.plains), "routes": [{"path": "/", "idempotent": True}]},
    ]


def plan(options, seed, stragglers=False, job=False):
    shape = {"promptBytes": [100, 400], "maxTokens": [16, 64]}
    if stragglers:
        shape.update({"stragglerShare": 0.03, "stragglerFactor": 20})
    result = {
        "seed": seed,
        "durationSeconds": options.seconds + options.warmup,
        "warmupSeconds": options.warmup,
        "concurrency": 256,
        "verifyText": True,
        "streams": [
            {"service": "modelo", "organisation": "loja", "ratePerSecond": options.rate, "deadlineMs": 30000, **shape},
            {"service": "vitrine", "kind": "plain", "organisation": "loja", "ratePerSecond": options.rate / 3, "path": "/item", "echo": True},
        ],
    }
    if job:
        result["job"] = {"service": "modelo", "organisation": "arquivo", "items": JOB_ITEMS, "cancelAtEnd": True, **{key: shape[key] for key in ("promptBytes", "maxTokens")}}
    return result


def figures(summary):
    model = summary["streams"][0]
    errors = sum(model["errors_by_code"].values())
    return {"first_p99": model["first_token_ms"]["p99"], "answer_p99": model["answer_ms"]["p99"], "answer_p50": model["answer_ms"]["p50"], "short": model["short"], "errors": errors, "requests": model["requests"],
            "codes": model["errors_by_code"]}


def measure_steady(fleet, options, seed):
    """Online load alone: what the other measures are compared with."""
    with SlotSampler(fleet, options) as slots:
        result = figures(fleet.load(plan(options, seed)))
    fleet.wait_idle()
    return {**result, "slots": slots.share(), "tokens": slots.grown("tokens")}


def measure_batch(fleet, options, seed, steady):
    with SlotSampler(fleet, options) as slots:
        summary = fleet.load(plan(options, seed, job=True))
    fleet.wait_idle()
    if summary["job"]["problem"]:
        print(f"  job: {summary['job']['problem']}")
    free = 1 - steady["slots"]
    share = (slots.share() - steady["slots"]) / free
    online = figures(summary)
    # Commits come in groups, so that the job's own count of a few seconds is off by whole groups.
    finished = slots.grown("finished") - online["requests"] / options.seconds
    # The pool takes the longer items of a job first, so that items are no measure of the work done; tokens are.
    return {"items_per_s": finished, "tokens_per_s": slots.grown("tokens") - steady["tokens"], "committed_per_s": summary["job"]["items_per_s"], "free_share": share, "off": steady, "on": online,
            "engines": slots.streams(), "samples": summary["job"]["samples"]}


def measure_stragglers(fleet, options, seed, steady):
    mixed = figures(fleet.load(plan(options, seed, stragglers=True)))
    fleet.wait_idle()
    return {"without": steady, "mixed": mixed}


def measure_slowed(fleet, options, seed, steady):
    hedges = fleet.metric(HEDGES)
    with EngineSlower(fleet):
        slowed = figures(fleet.load(plan(options, seed)))
    fleet.wait_idle()
    return {"steady": steady, "slowed": slowed, "hedges": fleet.metric(HEDGES) - hedges}


MEASURES = {"1": measure_batch, "2": measure_stragglers, "3": measure_slowed}


def run_variant(options, variant, seed):
    with Fleet(options.build) as fleet:
        fleet.start_platform()
        fleet.start_engines(ENGINES, *ENGINE_OPTIONS, "--growth", str(options.growth))
        fleet.start_plains(PLAINS, "--delay-ms", "2")
        fleet.start_hosts(HOSTS, {"routing": variant, "entryTimeToLiveMs": 2000})
        fleet.publish(service_files(fleet, options))
        time.sleep(2)  # Membership takes a few periods to see all hosts.
        steady = measure_steady(fleet, options, seed)
        return {number: MEASURES[number](fleet, options, seed, steady) for number in options.measures}


def ratio(above, below):
    return above / below if below else float("nan")


def print_batch(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["1"]
        rows.append([variant, spread([run["tokens_per_s"] for run in runs]), spread([run["items_per_s"] for run in runs]), spread([run["committed_per_s"] for run in runs]), spread([run["free_share"] for run in runs], 2)]
                    + [spread([run[side][key] for run in runs]) for key in ("first_p99", "answer_p99") for side in ("off", "on")]
                    + [spread([ratio(run["on"][key], run["off"][key]) for run in runs], 2) for key in ("first_p99", "answer_p99")]
                    + [spread([run["engines"][key] for run in runs]) for key in ("tokens", "cancelled", "resumed")]
                    + [sum(run[side]["errors"] for run in runs for side in ("off", "on"))])
    print_table("1. Batch items/s against the online tail (ms)",
                ["routing", "batch tokens/s", "items/s", "committed/s", "free slots used", "first p99 off", "first p99 on", "answer p99 off", "answer p99 on", "first on/off", "answer on/off",
                 "all tokens/s", "streams cancelled/s", "resumed/s", "errors"], rows)


def print_stragglers(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["2"]
        row = [variant]
        for group, label in (("first_token_ms", "p99"), ("answer_ms", "p50"), ("answer_ms", "p99")):
            row += [spread([run[side]["short"][group][label] for run in runs]) for side in ("without", "mixed")]
        row += [spread([ratio(run["mixed"]["short"]["answer_ms"]["p99"], run["without"]["short"]["answer_ms"]["p99"]) for run in runs], 2)]
        rows.append(row + [sum(run[side]["errors"] for run in runs for side in ("without", "mixed"))])
    print_table("2. Short requests without and with stragglers (3% of requests, 20 times as long) (ms)",
                ["routing", "first p99 without", "first p99 with", "answer p50 without", "answer p50 with", "answer p99 without", "answer p99 with", "p99 with/without", "errors"], rows)


def print_slowed(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["3"]
        rows.append([variant] + [spread([run[side][key] for run in runs]) for key in ("first_p99", "answer_p99") for side in ("steady", "slowed")]
                    + [spread([ratio(run["slowed"][key], run["steady"][key]) for run in runs], 2) for key in ("first_p99", "answer_p99")]
                    + [spread([run["hedges"] / run["slowed"]["requests"] for run in runs], 3)]
                    + [sum(run[side]["errors"] for run in runs for side in ("steady", "slowed"))])
    print_table("3. Online tail with two of twelve engines slowed five times (ms)",
                ["routing", "first p99 steady", "first p99 slowed", "answer p99 steady", "answer p99 slowed", "first slowed/steady", "answer slowed/steady", "hedges/request", "errors"], rows)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="build folder")
    parser.add_argument("--variants", default="leastInFlight,pool", help="values of the host setting \"routing\", the baseline first")
    parser.add_argument("--measures", default="1,2,3")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6, help="measured seconds of each load")
    parser.add_argument("--warmup", type=float, default=2)
    parser.add_argument("--rate", type=float, default=60, help="online model requests a second")
    parser.add_argument("--growth", type=float, default=0.05, help="share by which each further stream of an engine slows all its streams")
    parser.add_argument("--hedge-share", type=float, default=0.03, help="repeat.hedgeBudgetShare of the model service")
    parser.add_argument("--reserve-share", type=float, default=0.1, help="online.reserveShare of the model service")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for all figures")
    options = parser.parse_args()
    options.variants = options.variants.split(",")
    options.measures = options.measures.split(",")
    return options


def main():
    options = parse_options()
    results = {variant: {number: [] for number in options.measures} for variant in options.variants}
    for repeat in range(options.repeats):
        for variant in options.variants:
            print(f"repeat {repeat + 1} of {options.repeats}, routing {variant}", flush=True)
            for number, figure in run_variant(options, variant, options.seed + repeat).items():
                results[variant][number].append(figure)
    printers = {"1": print_batch, "2": print_stragglers, "3": print_slowed}
    for number in options.measures:
        printers[number](options.variants, results)
    if options.json:
        with open(options.json, "w") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    try:
        main()
    except BenchError as error:
        raise SystemExit(f"measures: {error}") from error
