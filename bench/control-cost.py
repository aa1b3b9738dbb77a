#!/usr/bin/env python3
"""Measures the cost of the control plane per host, and the time until all hosts have adopted a new configuration.

Starts one process per host on loopback, with the stand-in platform as the store, and prints a table for docs/CAPACITY.md.
Usage: bench/control-cost.py --build build/release [--hosts 2,4,8] [--seconds 20] [--publications 5]
"""

import argparse
import json
import os
import statistics
import subprocess
import time
import urllib.request

MEMBERSHIP_PERIOD_S = 0.5  # default of the host setting
DATA_CENTRES = 11
REGIONS = 3


class Host:
    def __init__(self, build, store, index, count):
        centre = index % min(DATA_CENTRES, max(1, count // 2))
        command = [os.path.join(build, "bench/control-cost-host"), "--name", f"host-{index}", "--store", store,
                   "--region", f"region-{centre % REGIONS}", "--data-centre", f"centre-{centre}"]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
        self.host_list_entry = json.loads(self.process.stdout.readline())

    def send(self, command):
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def receive(self):
        return json.loads(self.process.stdout.readline())

    def close(self):
        self.process.stdin.close()
        self.process.wait()


def send_to_all(hosts, command):
    for host in hosts:
        host.send(command)
    return [host.receive() for host in hosts]


def wait_until(hosts, condition, timeout_s):
    """Polls until the condition holds for the reports of all hosts and returns these; exits with an error after timeout_s."""
    end = time.monotonic() + timeout_s
    while True:
        reports = send_to_all(hosts, "report")
        if all(condition(report) for report in reports):
            return reports
        if time.monotonic() > end:
            failing = sum(not condition(report) for report in reports)
            raise SystemExit(f"control-cost: {failing} of {len(hosts)} hosts have not converged after {timeout_s} s")
        time.sleep(0.1)


def start_hosts(build, store, count):
    hosts = [Host(build, store, index, count) for index in range(count)]
    body = json.dumps({"hosts": [host.host_list_entry for host in hosts]}).encode()
    # Without a Content-Type urllib declares the body as a form, and cpp-httplib limits forms to 8 KB.
    headers = {"Content-Type": "application/json"}
    urllib.request.urlopen(urllib.request.Request(f"http://{store}/control/hosts", body, headers, method="PUT")).read()
    return hosts


def measure_load(hosts, seconds):
    before = send_to_all(hosts, "report")
    time.sleep(seconds)
    after = send_to_all(hosts, "report")
    rates = []
    for first, last in zip(before, after):
        elapsed = (last["wall"] - first["wall"]) / 1e6
        rates.append({key: (last[key] - first[key]) / elapsed
                      for key in ("messagesSent", "bytesSent", "wireBytesSent", "storeCalls", "cpuSeconds")})
        rates[-1]["residentBytes"] = last["residentBytes"]
    return rates


def measure_publications(hosts, count):
    delays = []
    for number in range(count):
        publisher = hosts[number % len(hosts)]
        publisher.send("publish")
        result = publisher.receive()
        if not result["accepted"]:
            raise SystemExit(f"control-cost: publication failed: {result['message']}")
        reports = wait_until(hosts, lambda report: report["generation"] >= result["generation"], 60)
        delays.append((max(report["adopted"] for report in reports) - result["started"]) / 1e6)
        time.sleep(1)
    return delays


def measure(build, store, count, arguments):
    hosts = start_hosts(build, store, count)
    try:
        started = time.monotonic()
        send_to_all(hosts, "start")
        wait_until(hosts, lambda report: report["live"] == count, 300)
        joined = time.monotonic() - started
        # A host adds its own member entry to its pings to each other host until that one has confirmed it; waits for this to end.
        time.sleep(10 + 1.5 * MEMBERSHIP_PERIOD_S * count)
        rates = measure_load(hosts, arguments.seconds)
        delays = measure_publications(hosts, arguments.publications)
    finally:
        for host in hosts:
            host.close()
    mean = lambda key: statistics.mean(rate[key] for rate in rates)
    worst = lambda key: max(rate[key] for rate in rates)
    print(f"| {count} | {mean('messagesSent'):.1f} | {mean('bytesSent'):.0f} | {worst('bytesSent'):.0f} | {mean('wireBytesSent'):.0f} | {worst('wireBytesSent'):.0f} "
          f"| {mean('storeCalls'):.2f} | {100 * mean('cpuSeconds'):.2f} | {100 * worst('cpuSeconds'):.2f} "
          f"| {worst('residentBytes') / 1e6:.1f} | {joined:.1f} | {statistics.median(delays):.2f} | {max(delays):.2f} |", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--hosts", default="2,4,8,16,32,64,128")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--publications", type=int, default=5)
    arguments = parser.parse_args()
    print("| hosts | messages/s | message bytes/s, mean | message bytes/s, worst | wire bytes/s, mean | wire bytes/s, worst | store calls/s | CPU % of a core, mean "
          "| CPU %, worst | resident MB, worst | joined after s | in force everywhere s, median | s, worst |")
    print("|---|---|---|---|---|---|---|---|---|---|---|---|---|", flush=True)
    for count in (int(text) for text in arguments.hosts.split(",")):
        # Each fleet size uses a new store, so that every run starts without a configuration.
        platform = subprocess.Popen([os.path.join(arguments.build, "test/standin/standin-platform")], stdout=subprocess.PIPE, text=True)
        try:
            store = platform.stdout.readline().split()[1]
            measure(arguments.build, store, count, arguments)
        finally:
            platform.terminate()
            platform.wait()


if __name__ == "__main__":
    main()
