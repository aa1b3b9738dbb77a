#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include "ControlPlane.h"

// Runs the control plane of one host in its own process for control-cost.py. Reads one command per line from standard input
// (start, report or publish) and replies to each with one line of JSON.

namespace Bergamotramp {

namespace {

// The target scale is 18 models with 820 replicas in total, which is about 45 upstreams per service.
constexpr int serviceCount = 18;
constexpr int upstreamsPerService = 45;

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::int64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

// Header sizes of Ethernet, of IPv4 and of TCP with the timestamp option.
constexpr std::uint64_t headerBytes = 14 + 20 + 32;

/**
 * Bytes that the open TCP connections have sent, with the headers of each packet. Includes ZeroMQ framing and heartbeats,
 * and the requests to the store.
 */
std::uint64_t wireBytesSent()
{
    std::uint64_t bytes = 0;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        tcp_info info{};
        socklen_t length = sizeof(info);
        if (getsockopt(std::stoi(entry.path().filename().string()), IPPROTO_TCP, TCP_INFO, &info, &length) == 0 && length >= offsetof(tcp_info, tcpi_segs_in)) {
            bytes += info.tcpi_bytes_acked + info.tcpi_segs_out * headerBytes;
        }
    }
    return bytes;
}

std::vector<ServiceSpec> makeServices(std::uint64_t generation)
{
    std::vector<ServiceSpec> specs;
    for (int index = 0; index < serviceCount; ++index) {
        nlohmann::json addresses = nlohmann::json::array();
        for (int upstream = 0; upstream < upstreamsPerService; ++upstream) {
            addresses.push_back(absl::StrCat("10.", index, ".", upstream, ".", generation % 250, ":8000"));
        }
        specs.push_back(ServiceSpec::fromJson({{"name", absl::StrCat("service-", index)}, {"upstreams", {{"nordeste/recife-a", addresses}}}}, ""));
    }
    return specs;
}

/** The latest configuration generation that this host has adopted, and when. */
struct LatestAdoption {
    std::atomic<std::uint64_t> generation{0};
    std::atomic<std::int64_t> adoptedAt{0}; // microseconds since the Unix epoch
};

nlohmann::json report(const ControlPlane &host, const LatestAdoption &adoption)
{
    const TransportCounts counts = host.transport.counts();
    const StoreCallCounts calls = host.store.callCounts();
    return {{"wall", absl::ToUnixMicros(absl::Now())},
            {"live", host.membership->liveHosts().size()},
            {"messagesSent", counts.messagesSent},
            {"bytesSent", counts.bytesSent},
            {"bytesReceived", counts.bytesReceived},
            {"wireBytesSent", wireBytesSent()},
            {"storeCalls", calls.reads + calls.writes},
            {"cpuSeconds", cpuSeconds()},
            {"residentBytes", residentBytes()},
            {"generation", adoption.generation.load()},
            {"adopted", adoption.adoptedAt.load()}};
}

nlohmann::json publish(ControlPlane &host)
{
    const std::uint64_t base = host.config->generation();
    const std::int64_t started = absl::ToUnixMicros(absl::Now());
    const ConfigService::PublishResult result = host.config->publish(base, makeServices(base + 1));
    return {{"accepted", result.outcome == ConfigService::PublishResult::Outcome::Accepted},
            {"generation", result.generation},
            {"message", result.message},
            {"started", started}};
}

void runCommands(ControlPlane &host)
{
    LatestAdoption adoption;
    std::string command;
    while (std::getline(std::cin, command)) {
        nlohmann::json reply = nlohmann::json::object();
        if (command == "start") {
            host.start();
            host.config->onChange([&] {
                adoption.adoptedAt = absl::ToUnixMicros(absl::Now());
                adoption.generation = host.config->generation();
            });
        } else if (command == "report") {
            reply = report(host, adoption);
        } else if (command == "publish") {
            reply = publish(host);
        }
        std::cout << reply.dump() << std::endl;
    }
    host.stop();
}

} // namespace

} // namespace Bergamotramp

int main(int argc, char **argv)
{
    CLI::App app("Runs the control plane of one host; control-cost.py sends the commands.");
    Bergamotramp::HostSettings settings;
    std::int64_t periodMs = 500;
    app.add_option("--name", settings.name)->required();
    app.add_option("--region", settings.region)->required();
    app.add_option("--data-centre", settings.dataCentre)->required();
    app.add_option("--store", settings.storeAddress)->required();
    app.add_option("--period-ms", periodMs);
    CLI11_PARSE(app, argc, argv);
    google::InitGoogleLogging(argv[0]);
    settings.callerAddress = "127.0.0.1:1";
    settings.peerAddress = "127.0.0.1:0";
    settings.adminAddress = "127.0.0.1:2";
    settings.membershipPeriod = absl::Milliseconds(periodMs);
    Bergamotramp::ControlPlane host(settings, static_cast<std::uint64_t>(absl::ToUnixMicros(absl::Now())));
    std::cout << host.hostListEntry().dump() << std::endl;
    Bergamotramp::runCommands(host);
    return 0;
}
