#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace Review {

/** The entry hosts of a case: processes of bergamotramp-entryd on loopback, with the settings that the deploy template fills in. */
class Hosts
{
public:
    struct Host {
        std::string name;
        pid_t process = 0;
        nlohmann::json settings;

        [[nodiscard]] int port(const std::string &address) const;
    };

    /** @p daemon is the program of the deploy file's run command; settings and logs are written to @p folder. */
    Hosts(std::string daemon, std::string folder, std::string storeAddress);
    ~Hosts();
    Hosts(const Hosts &) = delete;
    Hosts &operator=(const Hosts &) = delete;

    /** Adds @p count hosts in one zone and starts them. @p changes are merged into their settings. */
    void start(int count, const nlohmann::json &changes = nlohmann::json::object());
    [[nodiscard]] const std::vector<Host> &all() const;
    [[nodiscard]] const Host &host(std::size_t index) const;
    /** Waits until all hosts are ready; false if they are not after @p seconds. */
    [[nodiscard]] bool waitUntilReady(int seconds) const;
    void signal(std::size_t index, int number) const;
    /** Starts a host again whose process has ended. */
    void restart(std::size_t index);
    /** Waits for the end of a host's process. */
    void reap(std::size_t index);

private:
    void launch(Host &host) const;

    std::string daemon;
    std::string folder;
    std::string storeAddress;
    std::vector<Host> hosts;
};

/** A TCP port of loopback that is free, also for datagrams. */
int freePort();

} // namespace Review
