#!/usr/bin/env python3
"""Measures what an entry host adds to requests for a plain service.

Latency: the same stand-in plain service is called directly, through a bare cpp-httplib forwarder (bench-forward) and
through an entry host, in turn within each repeat. Throughput: requests answered per second of processor time that the
hosts use, with two and eight hosts, and the same for the bare forwarder.
"""

import argparse

from fleet import BenchError, Fleet, print_table, format_spread

SERVICE = {"name": "vitrine", "kind": "plain", "routes": [{"path": "/", "idempotent": True}]}


def load_plan(options, seconds, rate, seed):
    return {
        "seed": seed,
        "durationSeconds": seconds + 1,
        "warmupSeconds": 1,
        "concurrency": options.concurrency,
        "streams": [{"service": "vitrine", "kind": "plain", "ratePerSecond": rate, "path": "/item", "promptBytes": [200, 200], "echo": True, "deadlineMs": 5000}],
    }


def start_fleet(fleet, hosts):
    fleet.start_platform()
    fleet.start_plain_services({"nordeste": 1})
    fleet.start_hosts({"nordeste": hosts}, {"entryTimeToLiveMs": 2000})
    fleet.publish([{**SERVICE, "upstreams": fleet.upstreams(fleet.plain_services)}])


def run_latency(options):
    """Load summaries by path to the service: direct, through the bare forwarder and through an entry host."""
    totals_by_way = {}
    with Fleet(options.build) as fleet:
        start_fleet(fleet, 2)
        plain_address = next(iter(fleet.plain_services))
        forward = fleet.start("forward", "bench-forward", "--target", plain_address).listening_addresses()[0]
        targets = {"direct": plain_address, "bare forward": forward, "entry host": fleet.hosts[0]["settings"]["callerAddress"]}
        for repeat in range(options.repeats):
            for way, address in targets.items():
                total = fleet.load(load_plan(options, options.seconds, options.rate, options.seed + repeat), [address], direct=True)["total"]
                totals_by_way.setdefault(way, []).append(total)
    return totals_by_way


def run_throughput(options, hosts):
    """Requests per second of processor time of the hosts and of the bare forwarder, one pair per repeat."""
    measured = {"hosts": [], "forward": [], "errors": 0}
    with Fleet(options.build) as fleet:
        start_fleet(fleet, hosts)
        forward = fleet.start("forward", "bench-forward", "--target", next(iter(fleet.plain_services)))
        forward_address = forward.listening_addresses()[0]
        host_addresses = [host["settings"]["callerAddress"] for host in fleet.hosts]
        host_processes = [host["process"] for host in fleet.hosts]
        for repeat in range(options.repeats):
            for target, addresses, processes in (("hosts", host_addresses, host_processes), ("forward", [forward_address], [forward])):
                load = load_plan(options, options.seconds, options.throughput_rate, options.seed + repeat)
                load["warmupSeconds"] = 0  # The processor time is measured over the whole load, so all its requests have to count.
                before = sum(process.cpu_seconds() for process in processes)
                total = fleet.load(load, addresses, direct=True)["total"]
                used = sum(process.cpu_seconds() for process in processes) - before
                measured[target].append(total["answered"] / used if used else 0.0)
                measured["errors"] += total["requests"] - total["answered"]
    return measured


def print_latency(totals_by_way):
    rows = []
    for way, totals in totals_by_way.items():
        added_median = [total["answer_ms"]["p50"] - direct["answer_ms"]["p50"] for total, direct in zip(totals, totals_by_way["direct"])]
        added_tail = [total["answer_ms"]["p99"] - direct["answer_ms"]["p99"] for total, direct in zip(totals, totals_by_way["direct"])]
        rows.append([way] + [format_spread([total["answer_ms"][key] for total in totals], 3) for key in ("p50", "p99")]
                    + [format_spread(added_median, 3), format_spread(added_tail, 3), sum(total["requests"] - total["answered"] for total in totals)])
    print_table("Latency of a plain call (ms)", ["way", "p50", "p99", "added p50", "added p99", "errors"], rows)


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default="build/release", help="build folder")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rate", type=float, default=200, help="requests per second in the latency runs")
    parser.add_argument("--throughput-rate", type=float, default=1500, help="requests per second in the throughput runs")
    parser.add_argument("--concurrency", type=int, default=32)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def main():
    options = parse_options()
    print_latency(run_latency(options))
    rows = []
    for hosts in (2, 8):
        measured = run_throughput(options, hosts)
        rows.append([hosts, format_spread(measured["hosts"], 0), format_spread(measured["forward"], 0), measured["errors"]])
    print_table("Requests answered per second of one core", ["hosts", "entry hosts", "bare forward", "errors"], rows)


if __name__ == "__main__":
    try:
        main()
    except BenchError as error:
        raise SystemExit(f"forward: {error}") from error
