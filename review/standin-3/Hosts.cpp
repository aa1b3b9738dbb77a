#include "Hosts.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <httplib.h>

namespace Review {

namespace {

constexpr auto readyCheckPause = std::chrono::milliseconds(100);
constexpr int httpOk = 200;

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

bool isReady(const Hosts::Host &host)
{
    httplib::Client client("127.0.0.1", host.port("readyAddress"));
    const auto answer = client.Get("/bergamotramp/ready");
    return answer && answer->status == httpOk;
}

} // namespace

int freePort()
{
    // The system may name a port again that no process has bound yet.
    static std::set<int> named;
    for (;;) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        bool found = ::bind(tcp, reinterpret_cast<sockaddr *>(&address), length) == 0;
        found = found && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &length) == 0;
        found = found && ::bind(udp, reinterpret_cast<sockaddr *>(&address), length) == 0;
        ::close(tcp);
        ::close(udp);
        if (found && named.insert(ntohs(address.sin_port)).second) {
            return ntohs(address.sin_port);
        }
    }
}

int Hosts::Host::port(const std::string &address) const
{
    const std::string text = this->settings[address];
    return std::stoi(text.substr(text.rfind(':') + 1));
}

Hosts::Hosts(std::string daemonProgram, std::string settingsFolder, std::string store)
    : daemon(std::move(daemonProgram)), folder(std::move(settingsFolder)), storeAddress(std::move(store))
{
}

Hosts::~Hosts()
{
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index].process > 0) {
            this->signal(index, SIGKILL);
            this->signal(index, SIGCONT);
            this->reap(index);
        }
    }
}

void Hosts::start(int count, const nlohmann::json &changes)
{
    const std::size_t first = this->hosts.size();
    for (int number = 0; number < count; ++number) {
        Host host;
        host.name = "host-" + std::to_string(this->hosts.size() + 1);
        host.settings = {{"name", host.name},
                         {"role", "entry"},
                         {"region", "nordeste"},
                         {"dataCentre", "recife-a"},
                         {"regions", {{"recife-a", "nordeste"}}},
                         {"storeAddress", this->storeAddress},
                         {"linkMbps", 1000.0},
                         {"memoryMb", 260},
                         {"maxDescriptors", 4100},
                         {"stopGraceS", 8},
                         {"revocationBoundMs", 0}};
        for (const char *address : {"entryAddress", "readyAddress", "directoryAddress", "controlAddress", "metricsAddress", "peerAddress"}) {
            host.settings[address] = loopback(freePort());
        }
        host.settings.merge_patch(changes);
        this->hosts.push_back(std::move(host));
    }
    // The datagram addresses of hosts on one machine differ, so the seeds of the template, which name the same port on other machines,
    // can't be used; the hosts find each other in the store.
    for (std::size_t index = first; index < this->hosts.size(); ++index) {
        this->launch(this->hosts[index]);
    }
}

void Hosts::launch(Host &host) const
{
    const std::string settingsFile = this->folder + "/" + host.name + ".json";
    const std::string logFile = this->folder + "/" + host.name + ".log";
    std::ofstream(settingsFile) << host.settings.dump(2);
    host.process = ::fork();
    if (host.process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (host.process == 0) {
        // A case that is killed leaves no hosts behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(this->daemon.c_str(), this->daemon.c_str(), "--settings", settingsFile.c_str(), nullptr);
        ::_exit(127);
    }
}

const std::vector<Hosts::Host> &Hosts::all() const
{
    return this->hosts;
}

const Hosts::Host &Hosts::host(std::size_t index) const
{
    return this->hosts.at(index);
}

bool Hosts::waitUntilReady(int seconds) const
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    for (const Host &host : this->hosts) {
        while (!isReady(host)) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(readyCheckPause);
        }
    }
    return true;
}

void Hosts::signal(std::size_t index, int number) const
{
    ::kill(this->hosts.at(index).process, number);
}

void Hosts::restart(std::size_t index)
{
    this->launch(this->hosts.at(index));
}

void Hosts::reap(std::size_t index)
{
    Host &host = this->hosts.at(index);
    ::waitpid(std::exchange(host.process, 0), nullptr, 0);
}

} // namespace Review
