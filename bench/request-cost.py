#!/usr/bin/env python3
"""Measures the cost of one online model request: processor time of the hosts per request and per token, and messages
between hosts per request, for docs/CAPACITY.md.

Runs four hosts of one region and four fast engines; the requests are distributed evenly over the hosts. The difference
between runs with short and with long answers gives the cost per token; the rest is the cost per request. The cost of
idle hosts is measured first and subtracted.
"""

import argparse
import time

from fleet import Fleet, http, format_spread

HOSTS = 4
ENGINES = 4
SLOTS = 32
SHORT_TOKENS = 4
LONG_TOKENS = 64
MESSAGES_METRIC = "bergamotramp_control_messages_total"
BYTES_METRIC = "bergamotramp_control_bytes_total"


class Sample:
    """Counters of one host at one time."""

    def __init__(self, host):
        self.at = time.monotonic()
        self.cpu = host["process"].cpu_seconds()
        text = http("GET", host["settings"]["adminAddress"] + "/metrics")[1]
        self.sent = {name: self.value(text, name) for name in (MESSAGES_METRIC, BYTES_METRIC)}

    @staticmethod
    def value(text, name):
        lines = (line for line in text.splitlines() if line.startswith(name) and 'direction="sent"' in line)
        return sum(float(line.split()[-1]) for line in lines)

    def rates(self, later):
        seconds = later.at - self.at
        return {"cpu": (later.cpu - self.cpu) / seconds, **{name: (later.sent[name] - self.sent[name]) / seconds for name in (MESSAGES_METRIC, BYTES_METRIC)}}


def find_pool_holder(fleet):
    """Returns the host that grants the slots of the pool; its metrics show all slots."""
    for host in fleet.hosts:
        if "bergamotramp_slots{service=\"modelo\",use=\"total\"} %d" % (ENGINES * SLOTS) in http("GET", host["settings"]["adminAddress"] + "/metrics")[1]:
            return host
    raise SystemExit("request-cost: no host holds the pool")


def rates_during(fleet, action):
    before = [Sample(host) for host in fleet.hosts]
    result = action()
    after = [Sample(host) for host in fleet.hosts]
    return result, [first.rates(second) for first, second in zip(before, after)]


def load_plan(options, tokens, seed):
    return {"seed": seed, "durationSeconds": options.seconds, "warmupSeconds": 0, "concurrency": 256,
            "streams": [{"service": "modelo", "organisation": "loja", "ratePerSecond": options.rate, "deadlineMs": 10000, "promptBytes": [100, 100],
                         "maxTokens": [tokens, tokens]}]}


def per_request(loaded, idle, requests_per_second, key):
    return [(loaded_host[key] - idle_host[key]) / requests_per_second for loaded_host, idle_host in zip(loaded, idle)]


def measure(options, seed):
    with Fleet(options.build) as fleet:
        fleet.start_platform()
        fleet.start_engines({"nordeste": ENGINES}, "--slots", str(SLOTS), "--token-interval-us", "1000", "--growth", "0")
        fleet.start_hosts({"nordeste": HOSTS}, {"entryTimeToLiveMs": 2000})
        fleet.publish([{"name": "modelo", "slotsPerUpstream": SLOTS, "upstreams": fleet.upstreams(fleet.engines), "repeat": {"hedgeBudgetShare": 0}}])
        time.sleep(3)  # Waits until membership has converged and the pool has its final holder.
        holder_index = fleet.hosts.index(find_pool_holder(fleet))
        _, idle = rates_during(fleet, lambda: time.sleep(options.seconds))
        runs = {}
        for tokens in (SHORT_TOKENS, LONG_TOKENS):
            summary, loaded = rates_during(fleet, lambda tokens=tokens: fleet.load(load_plan(options, tokens, seed)))
            errors = summary["streams"][0]["errors_by_code"]
            if errors:
                raise SystemExit(f"request-cost: errors {errors}")
            runs[tokens] = loaded
        return holder_index, idle, runs


def summarise(options, holder_index, idle, runs):
    """Costs per request of the whole fleet; messages and bytes of the pool's holder are separate from those of the others."""
    short_cost = sum(per_request(runs[SHORT_TOKENS], idle, options.rate, "cpu"))
    long_cost = sum(per_request(runs[LONG_TOKENS], idle, options.rate, "cpu"))
    token_cost = (long_cost - short_cost) / (LONG_TOKENS - SHORT_TOKENS)
    messages = per_request(runs[SHORT_TOKENS], idle, options.rate, MESSAGES_METRIC)
    message_bytes = per_request(runs[SHORT_TOKENS], idle, options.rate, BYTES_METRIC)
    return {"CPU us per request": (short_cost - SHORT_TOKENS * token_cost) * 1e6, "CPU us per token": token_cost * 1e6,
            "messages per request, holder": messages[holder_index], "messages per request, others": sum(messages) - messages[holder_index],
            "bytes per request, holder": message_bytes[holder_index], "bytes per request, others": sum(message_bytes) - message_bytes[holder_index]}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="build folder")
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--rate", type=float, default=200, help="requests per second")
    options = parser.parse_args()
    results = [summarise(options, *measure(options, seed)) for seed in range(1, options.repeats + 1)]
    for name in results[0]:
        print(f"{name:32} {format_spread([result[name] for result in results], 1)}")


if __name__ == "__main__":
    main()
