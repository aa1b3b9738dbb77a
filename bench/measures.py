#!/usr/bin/env python3
"""Compares several routing variants by three measures.

Starts 8 hosts in two regions, 12 engines and 3 plain services on loopback, drives `bergamotramp load` and prints a
table per measure: median [minimum..maximum] over the repeats. Each repeat runs all variants one after the other, so
that a change of the machine's load affects all of them.

  1  batch throughput, and online tail latency without and with the batch job
  2  latency of short requests, without and with stragglers (requests with much longer answers) in the mix
  3  online tail latency while two of the twelve engines run five times slower for a few seconds at a time

The link between the regions (12 ms each way, 30 Mbit/s) is simulated only between the hosts of the second region and
the store; messages between hosts go over loopback without delay.
"""

import argparse
import json
import threading
import time

from fleet import BenchError, Fleet, http, print_table, format_spread

ENGINES = {"nordeste": 6, "sudeste": 6}
PLAINS = {"nordeste": 2, "sudeste": 1}
HOSTS = {"nordeste": 4, "sudeste": 4}
SLOTS = 8
ENGINE_OPTIONS = ("--slots", str(SLOTS), "--token-interval-us", "10000")
SLOW_FACTOR = 5
SLOW_SECONDS = 3
FULL_SPEED_SECONDS = 2
JOB_ITEMS = 20_000
HEDGES_METRIC = "bergamotramp_hedges_total"


class SlotSampler:
    """Samples the counters of all engines periodically; keeps the samples that fall in the measured part of a load, after its warm-up."""

    def __init__(self, fleet, options, period=0.25):
        self.fleet = fleet
        self.window = (options.warmup, options.warmup + options.seconds)
        self.period = period
        self.samples = []
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        start = time.monotonic()
        while not self.stop_event.wait(self.period):
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
        self.stop_event.set()
        self.thread.join()

    def used_share(self):
        """Mean share of all engine slots that are in use."""
        if not self.samples:
            return 0.0
        return sum(sample["running"] for sample in self.samples) / len(self.samples) / (SLOTS * len(self.fleet.engines))

    def rate(self, counter):
        """Increase of one counter per second."""
        if len(self.samples) < 2:
            return 0.0
        return (self.samples[-1][counter] - self.samples[0][counter]) / (self.samples[-1]["at"] - self.samples[0]["at"])

    def engine_rates(self):
        return {counter: self.rate(counter) for counter in ("tokens", "started", "finished", "cancelled", "resumed")}


class EngineSlowdown:
    """Slows down one engine of each region at a time, taking the next pair each time, with a pause at full speed in between."""

    def __init__(self, fleet):
        self.addresses = list(fleet.engines)
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def set_factor(self, pair, factor):
        for address in pair:
            http("POST", address + "/control", {"slowFactor": factor})

    def run(self):
        half = len(self.addresses) // 2
        round_number = 0
        while not self.stop_event.wait(FULL_SPEED_SECONDS):
            # One engine of each region: the first half of the list is in one, the second half in the other.
            pair = (self.addresses[round_number % half], self.addresses[half + round_number % half])
            self.set_factor(pair, SLOW_FACTOR)
            self.stop_event.wait(SLOW_SECONDS)
            self.set_factor(pair, 1)
            round_number += 1

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stop_event.set()
        self.thread.join()


def service_files(fleet, options):
    return [
        {"name": "modelo", "slotsPerUpstream": SLOTS, "upstreams": fleet.upstreams(fleet.engines), "online": {"reserveShare": options.reserve_share},
         "repeat": {"hedgeBudgetShare": options.hedge_share}},
        {"name": "vitrine", "kind": "plain", "upstreams": fleet.upstreams(fleet.plain_services), "routes": [{"path": "/", "idempotent": True}]},
    ]


def load_plan(options, seed, stragglers=False, job=False):
    size_options = {"promptBytes": [100, 400], "maxTokens": [16, 64]}
    if stragglers:
        size_options.update({"stragglerShare": 0.03, "stragglerFactor": 20})
    result = {
        "seed": seed,
        "durationSeconds": options.seconds + options.warmup,
        "warmupSeconds": options.warmup,
        "concurrency": 256,
        "verifyText": True,
        "streams": [
            {"service": "modelo", "organisation": "loja", "ratePerSecond": options.rate, "deadlineMs": 30000, **size_options},
            {"service": "vitrine", "kind": "plain", "organisation": "loja", "ratePerSecond": options.rate / 3, "path": "/item", "echo": True},
        ],
    }
    if job:
        result["job"] = {"service": "modelo", "organisation": "arquivo", "items": JOB_ITEMS, "cancelAtEnd": True, **{key: size_options[key] for key in ("promptBytes", "maxTokens")}}
    return result


def online_results(summary):
    model = summary["streams"][0]
    errors = sum(model["errors_by_code"].values())
    return {"first_p99": model["first_token_ms"]["p99"], "answer_p99": model["answer_ms"]["p99"], "answer_p50": model["answer_ms"]["p50"], "short": model["short"], "errors": errors, "requests": model["requests"],
            "codes": model["errors_by_code"]}


def measure_steady(fleet, options, seed):
    """Online load alone, the baseline for the measures."""
    with SlotSampler(fleet, options) as slots:
        result = online_results(fleet.load(load_plan(options, seed)))
    fleet.wait_idle()
    return {**result, "slots": slots.used_share(), "tokens": slots.rate("tokens")}


def measure_batch(fleet, options, seed, steady):
    with SlotSampler(fleet, options) as slots:
        summary = fleet.load(load_plan(options, seed, job=True))
    fleet.wait_idle()
    if summary["job"]["problem"]:
        print(f"  job: {summary['job']['problem']}")
    free_share = 1 - steady["slots"]
    used_free_share = (slots.used_share() - steady["slots"]) / free_share
    online = online_results(summary)
    # Results are committed in groups, so the job's own count over a few seconds can be wrong by whole groups. The streams that
    # the engines finished, less the online requests, give the number of finished items.
    items_per_s = slots.rate("finished") - online["requests"] / options.seconds
    # The pool starts the longer items of a job first, so the number of finished items does not show the work done; tokens do.
    return {"items_per_s": items_per_s, "tokens_per_s": slots.rate("tokens") - steady["tokens"], "committed_per_s": summary["job"]["items_per_s"], "free_share": used_free_share, "off": steady, "on": online,
            "engines": slots.engine_rates(), "samples": summary["job"]["samples"]}


def measure_stragglers(fleet, options, seed, steady):
    mixed = online_results(fleet.load(load_plan(options, seed, stragglers=True)))
    fleet.wait_idle()
    return {"without": steady, "mixed": mixed}


def measure_slowed(fleet, options, seed, steady):
    hedges_before = fleet.metric(HEDGES_METRIC)
    with EngineSlowdown(fleet):
        slowed = online_results(fleet.load(load_plan(options, seed)))
    fleet.wait_idle()
    return {"steady": steady, "slowed": slowed, "hedges": fleet.metric(HEDGES_METRIC) - hedges_before}


MEASURES = {"1": measure_batch, "2": measure_stragglers, "3": measure_slowed}


def run_variant(options, variant, seed):
    with Fleet(options.build) as fleet:
        fleet.start_platform()
        fleet.start_engines(ENGINES, *ENGINE_OPTIONS, "--growth", str(options.growth))
        fleet.start_plain_services(PLAINS, "--delay-ms", "2")
        fleet.start_hosts(HOSTS, {"routing": variant, "entryTimeToLiveMs": 2000})
        fleet.publish(service_files(fleet, options))
        time.sleep(2)  # Membership needs a few periods until every host knows all others.
        steady = measure_steady(fleet, options, seed)
        return {number: MEASURES[number](fleet, options, seed, steady) for number in options.measures}


def ratio(numerator, denominator):
    return numerator / denominator if denominator else float("nan")


def print_batch(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["1"]
        rows.append([variant, format_spread([run["tokens_per_s"] for run in runs]), format_spread([run["items_per_s"] for run in runs]), format_spread([run["committed_per_s"] for run in runs]), format_spread([run["free_share"] for run in runs], 2)]
                    + [format_spread([run[side][key] for run in runs]) for key in ("first_p99", "answer_p99") for side in ("off", "on")]
                    + [format_spread([ratio(run["on"][key], run["off"][key]) for run in runs], 2) for key in ("first_p99", "answer_p99")]
                    + [format_spread([run["engines"][key] for run in runs]) for key in ("tokens", "cancelled", "resumed")]
                    + [sum(run[side]["errors"] for run in runs for side in ("off", "on"))])
    print_table("1. Batch items/s and online tail latency (ms)",
                ["routing", "batch tokens/s", "items/s", "committed/s", "free slots used", "first p99 off", "first p99 on", "answer p99 off", "answer p99 on", "first on/off", "answer on/off",
                 "all tokens/s", "streams cancelled/s", "resumed/s", "errors"], rows)


def print_stragglers(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["2"]
        row = [variant]
        for group, label in (("first_token_ms", "p99"), ("answer_ms", "p50"), ("answer_ms", "p99")):
            row += [format_spread([run[side]["short"][group][label] for run in runs]) for side in ("without", "mixed")]
        row += [format_spread([ratio(run["mixed"]["short"]["answer_ms"]["p99"], run["without"]["short"]["answer_ms"]["p99"]) for run in runs], 2)]
        rows.append(row + [sum(run[side]["errors"] for run in runs for side in ("without", "mixed"))])
    print_table("2. Short requests without and with stragglers (3% of requests, 20 times as long) (ms)",
                ["routing", "first p99 without", "first p99 with", "answer p50 without", "answer p50 with", "answer p99 without", "answer p99 with", "p99 with/without", "errors"], rows)


def print_slowed(variants, results):
    rows = []
    for variant in variants:
        runs = results[variant]["3"]
        rows.append([variant] + [format_spread([run[side][key] for run in runs]) for key in ("first_p99", "answer_p99") for side in ("steady", "slowed")]
                    + [format_spread([ratio(run["slowed"][key], run["steady"][key]) for run in runs], 2) for key in ("first_p99", "answer_p99")]
                    + [format_spread([run["hedges"] / run["slowed"]["requests"] for run in runs], 3)]
                    + [sum(run[side]["errors"] for run in runs for side in ("steady", "slowed"))])
    print_table("3. Online tail latency with two of twelve engines five times slower (ms)",
                ["routing", "first p99 steady", "first p99 slowed", "answer p99 steady", "answer p99 slowed", "first slowed/steady", "answer slowed/steady", "hedges/request", "errors"], rows)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="build folder")
    parser.add_argument("--variants", default="leastInFlight,pool", help="values of the host setting \"routing\", the baseline first")
    parser.add_argument("--measures", default="1,2,3")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6, help="measured seconds of each load, after the warm-up")
    parser.add_argument("--warmup", type=float, default=2)
    parser.add_argument("--rate", type=float, default=60, help="online model requests per second")
    parser.add_argument("--growth", type=float, default=0.05, help="share of the token interval that each further concurrent stream of an engine adds")
    parser.add_argument("--hedge-share", type=float, default=0.03, help="repeat.hedgeBudgetShare of the model service")
    parser.add_argument("--reserve-share", type=float, default=0.1, help="online.reserveShare of the model service")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", help="file for the results of all runs")
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
            for number, result in run_variant(options, variant, options.seed + repeat).items():
                results[variant][number].append(result)
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
