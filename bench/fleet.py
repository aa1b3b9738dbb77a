"""Starts stand-ins and hosts as processes on free loopback ports, for the benchmarks."""

import json
import os
import shutil
import socket
import statistics
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

REGIONS = ("nordeste", "sudeste")
DATA_CENTRES = {"nordeste": ("recife-a", "fortaleza-b"), "sudeste": ("saopaulo-a",)}
STORE_REGION = "nordeste"
REGION_DELAY_MS = 12  # one way
REGION_LINK_BYTES_PER_SECOND = 30_000_000 // 8
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 5


class BenchError(RuntimeError):
    """A process of the benchmark failed or did not start in time."""


def free_ports(count):
    """Returns distinct free ports. All sockets stay bound until every port is chosen; another process may take a port afterwards."""
    sockets = []
    for _ in range(count):
        bound = socket.socket()
        bound.bind(("127.0.0.1", 0))
        sockets.append(bound)
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def http(method, url, body=None, timeout=5):
    """Sends a request to a control interface; returns the status and the text of the response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request("http://" + url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Process:
    """A running program of the build; its output goes to a log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = os.path.join(folder, name + ".log")
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT, cwd=folder)

    def listening_addresses(self):
        """Waits for the line "listening ..." that the program prints once it accepts connections; returns the addresses in it."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with open(self.log, errors="replace") as log:
                for line in log:
                    if line.startswith("listening ") and line.endswith("\n"):
                        return line.split()[1:]
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        with open(self.log, errors="replace") as log:
            raise BenchError(f"{self.name} did not start:\n{log.read()[-2000:]}")

    def cpu_seconds(self):
        """User and system processor time used so far."""
        with open(f"/proc/{self.child.pid}/stat") as stat:
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self, graceful=True):
        if self.child.poll() is None:
            if graceful:
                self.child.terminate()
                try:
                    self.child.wait(STOP_TIMEOUT_S)
                    return
                except subprocess.TimeoutExpired:
                    pass
            self.child.kill()
            self.child.wait()


class Fleet:
    """Stand-ins, hosts and published services. A context manager that stops the processes it started when it exits."""

    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="bergamotramp-bench-")
        self.processes = []
        self.hosts = []
        self.engines = {}
        self.plain_services = {}
        self.store = None

    def __enter__(self):
        return self

    def __exit__(self, kind, error, trace):
        # Hosts are killed without a drain, because the fleet is discarded.
        daemons = [host.get("process") for host in self.hosts]
        for process in reversed(self.processes):
            process.stop(graceful=process not in daemons)
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs are kept in {self.folder}", flush=True)

    def program(self, name):
        for folder in ("apps", "test/standin", "bench"):
            path = os.path.join(self.build, folder, name)
            if os.path.exists(path):
                return path
        raise BenchError(f"{name} is not built in {self.build}")

    def start(self, name, program, *options):
        process = Process(name, [self.program(program), *options], self.folder)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.store = self.start("platform", "standin-platform").listening_addresses()[0]

    def start_engines(self, count_by_region, *options):
        started = []
        for region, count in count_by_region.items():
            for index in range(count):
                started.append((region, self.start(f"engine-{region}-{index}", "standin-engine", *options)))
        for region, process in started:
            self.engines[process.listening_addresses()[0]] = region

    def start_plain_services(self, count_by_region, *options):
        for region, count in count_by_region.items():
            for index in range(count):
                process = self.start(f"plain-{region}-{index}", "standin-plain", *options)
                self.plain_services[process.listening_addresses()[0]] = region

    def link_regions(self):
        """Returns a proxy address of the store for hosts of other regions; the proxy adds the delay and bandwidth limit of the link."""
        proxy = self.start("proxy", "fault-proxy").listening_addresses()[0]
        status, text = http("POST", proxy + "/control/routes", {"route": "store", "target": self.store, "group": "regions"})
        if status != 200:
            raise BenchError(f"fault-proxy: {text}")
        http("POST", proxy + "/control/faults", {"route": "store", "delayToTargetMs": REGION_DELAY_MS, "delayToClientMs": REGION_DELAY_MS})
        http("POST", proxy + "/control/groups", {"group": "regions", "bytesPerSecond": REGION_LINK_BYTES_PER_SECOND})
        return json.loads(text)["address"]

    def start_hosts(self, count_by_region, extra_settings=None):
        remote_store = self.link_regions() if any(region != STORE_REGION for region in count_by_region) else self.store
        total = sum(count_by_region.values())
        ports = iter(free_ports(3 * total))
        for region, count in count_by_region.items():
            for index in range(count):
                centres = DATA_CENTRES[region]
                settings = {
                    "name": f"{region}-{index}",
                    "region": region,
                    "dataCentre": centres[index % len(centres)],
                    "storeAddress": self.store if region == STORE_REGION else remote_store,
                    **{key: f"127.0.0.1:{next(ports)}" for key in ("callerAddress", "peerAddress", "adminAddress")},
                    **(extra_settings or {}),
                }
                self.hosts.append({"settings": settings})
        self.publish_host_list()
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            host["process"].listening_addresses()

    def publish_host_list(self):
        keys = ("name", "region", "dataCentre", "callerAddress", "peerAddress", "adminAddress")
        hosts = [{**{key: host["settings"][key] for key in keys}, "state": "live"} for host in self.hosts]
        status, text = http("PUT", self.store + "/control/hosts", {"hosts": hosts})
        if status != 200:
            raise BenchError(f"host list: {text}")

    def start_host(self, host):
        path = os.path.join(self.folder, host["settings"]["name"] + ".json")
        with open(path, "w") as file:
            json.dump(host["settings"], file)
        host["process"] = self.start(host["settings"]["name"], "bergamotrampd", "--settings", path)

    def upstreams(self, addresses):
        by_location = {}
        for index, (address, region) in enumerate(addresses.items()):
            centres = DATA_CENTRES[region]
            location = f"{region}/{centres[index % len(centres)]}"
            by_location.setdefault(location, []).append(address)
        return by_location

    def publish(self, services):
        folder = os.path.join(self.folder, "services")
        os.makedirs(folder, exist_ok=True)
        for service in services:
            with open(os.path.join(folder, service["name"] + ".service.json"), "w") as file:
                json.dump(service, file)
        admins = [option for host in self.hosts for option in ("--admin", host["settings"]["adminAddress"])]
        self.command("publish", folder, *admins)
        for host in self.hosts:
            self.wait_ready(host["settings"]["adminAddress"])

    def wait_ready(self, admin):
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if http("GET", admin + "/readyz")[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise BenchError(f"{admin} is not ready after {START_TIMEOUT_S} s")

    def command(self, *arguments, timeout=120):
        """Runs the bergamotramp command-line tool and returns its output."""
        done = subprocess.run([self.program("bergamotramp"), *arguments], capture_output=True, text=True, timeout=timeout, check=False)
        if done.returncode != 0:
            raise BenchError(f"bergamotramp {arguments[0]} ended with {done.returncode}: {done.stderr}")
        return done.stdout

    def load(self, plan, entries=None, direct=False):
        """Runs a load plan and returns its summary; with direct, the addresses are used without asking hosts for more."""
        path = os.path.join(self.folder, "plan.json")
        with open(path, "w") as file:
            json.dump(plan, file)
        addresses = entries or [host["settings"]["callerAddress"] for host in self.hosts]
        options = [option for address in addresses for option in ("--entry", address)]
        return json.loads(self.command("load", "--plan", path, "--output", "json", *(["--direct"] if direct else []), *options))

    def engine_counters(self):
        """Counters summed over all engines."""
        total = {}
        for address in self.engines:
            for key, value in json.loads(http("GET", address + "/control/counters")[1]).items():
                if isinstance(value, int):
                    total[key] = total.get(key, 0) + value
        return total

    def metric(self, name):
        """Sum of one metric over all hosts and labels."""
        total = 0.0
        for host in self.hosts:
            for line in http("GET", host["settings"]["adminAddress"] + "/metrics")[1].splitlines():
                if line.startswith(name + "{") or line.startswith(name + " "):
                    total += float(line.split()[-1])
        return total

    def running_streams(self):
        """Number of streams that run on all engines now."""
        return self.engine_counters()["running"]

    def wait_idle(self, seconds=15):
        deadline = time.monotonic() + seconds
        while self.running_streams() > 0 and time.monotonic() < deadline:
            time.sleep(0.2)


def format_spread(values, digits=1):
    """Formats the median with the minimum and maximum."""
    if not values:
        return "-"
    return f"{statistics.median(values):.{digits}f} [{min(values):.{digits}f}..{max(values):.{digits}f}]"


def print_table(title, header, rows):
    widths = [max(len(str(row[column])) for row in [header, *rows]) for column in range(len(header))]
    print(f"\n{title}")
    for row in [header, ["-" * width for width in widths], *rows]:
        print("  ".join(str(cell).ljust(width) for cell, width in zip(row, widths)).rstrip())
    print(flush=True)
