#!/usr/bin/env python3
"""Measures what one online model request costs a host: processor time per request and per token, and messages between
hosts per request, for docs/CAPACITY.md.

Four hosts of one region, four engines that answer quickly; the requests are spread evenly over the hosts. The difference
between two lengths of answers gives the cost per token, the rest is the cost per request. What hosts spend when idle is
measured first and subtracted.
"""

import argparse
import time

from fleet import Fleet, http, spread

HOSTS = 4
ENGINES = 4
SLOTS = 32
SHORT_TOKENS = 4
LONG_TOKENS = 64
MESSAGES = "bergamotramp_control_messages_total"
BYTES = "bergamotramp_control_bytes_total"


class Sample:
    """Counters of one host."""

    def __init__(self, host):
        self.at = time.monotonic()
        self.cpu = host["process"].cpu_seconds()
        text = http("GET", host["settings"]["adminAddress"] + "/metrics")[1]
        self.sent = {name: self.value(text, name) for name in (MESSAGES, BYTES)}

    @staticmethod
    def value(text, name):
        lines = (line for line in text.splitlines() if line.startswith(name) and 'direction="sent"' in line)
        return sum(float(line.split()[-1]) for line in lines)

    def rates(self, later):
        seconds = later.at - self.at
        return {"cpu": (later.cpu - self.cpu) / seconds, **{name: (later.sent[name] - self.sent[name]) / seconds for name in (MESSAGES, BYTES)}}


def holder(fleet):
    """The host that holds the pool."""
    for host in fleet.hosts:
        if "bergamotramp_slots{service=\"modelo\",use=\"total\"} %d" % (ENGINES * SLOTS) in http("GET", host["settings"]["adminAddress"] + "/metrics")[1]:
            return host
    raise SystemExit("request-cost: no host holds the pool")


def rates_during(fleet, work):
    before = [Sample(host) for host in fleet.hosts]
    result = work()
    after = [Sample(host) for host in fleet.hosts]
    return result, [first.rates(second) for first, second in zip(before, after)]


def load_plan(options, tokens, seed):
    return {"seed": seed, "durationSeconds": options.seconds, "warmupSeconds": 0, "concurrency": 256,
            "streams": [{"service": "modelo", "organisation": "loja", "ratePerSecond": options.rate, "deadlineMs": 10000, "promptBytes": [100, 100],
                         "maxTokens": [tokens, tokens]}]}


def per_request(loaded, idle, requests_per_second, key):
    return [(busy[key] - still[key]) / requests_per_second for busy, still in zip(loaded, idle)]


def measure(options, seed):
    with Fleet(options.build) as fleet:
        fleet.start_platform()
        fleet.start_engines({"nordeste": ENGINES}, "--slots", str(SLOTS), "--token-interval-us", "1000", "--growth", "0")
        fleet.start_hosts({"nordeste": HOSTS}, {"entryTimeToLiveMs": 2000})
        fleet.publish([{"name": "modelo", "slotsPerUpstream": SLOTS, "upstreams": fleet.upstreams(fleet.engines), "repeat": {"hedgeBudgetShare": 0}}])
        time.sleep(3)  # Membership and the pool's holder settle.
        holding = fleet.hosts.index(holder(fleet))
        _, idle = rates_during(fleet, lambda: time.sleep(options.seconds))
        runs = {}
        for tokens in (SHORT_TOKENS, LONG_TOKENS):
            summary, loaded = rates_during(fleet, lambda tokens=tokens: fleet.load(load_plan(options, tokens, seed)))
            errors = summary["streams"][0]["errors_by_code"]
            if errors:
                raise SystemExit(f"request-cost: errors {errors}")
            runs[tokens] = loaded
        return holding, idle, runs


def summarise(options, holding, idle, runs):
    """Figures per request of the whole fleet, the holder's share of the messages apart."""
    short = sum(per_request(runs[SHORT_TOKENS], idle, options.rate, "cpu"))
    long = sum(per_request(runs[LONG_TOKENS], idle, options.rate, "cpu"))
    token = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
    messages = per_request(runs[SHORT_TOKENS], idle, options.rate, MESSAGES)
    size = per_request(runs[SHORT_TOKENS], idle, options.rate, BYTES)
    return {"CPU us per request": (short - SHORT_TOKENS * token) * 1e6, "CPU us per token": token * 1e6,
            "messages per request, holder": messages[holding], "messages per request, others": sum(messages) - messages[holding],
            "bytes per request, holder": size[holding], "bytes per request, others": sum(size) - size[holding]}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="build folder")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--rate", type=float, default=200, help="requests a second")
    options = parser.parse_args()
    results = [summarise(options, *measure(options, seed)) for seed in range(1, options.repeats + 1)]
    for name in results[0]:
        print(f"{name:32} {spread([result[name] for result in results], 1)}")


if __name__ == "__main__":
    main()
