#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "HostContext.h"
#include "bergamotramp.pb.h"

namespace Bergamotramp {

/**
 * Runs Membership over the transport, the timers and the host list. Thread-safe.
 * Hooks run on the transport's, the timers' or the service's own thread and must not block. handle() must not be called once
 * the destructor runs.
 */
class MembershipService
{
public:
    /** Starts probing at once; @p context outlives the service. Uses its transport, timers, store (host list) and events. */
    explicit MembershipService(const HostContext &context);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Hosts that are alive or suspect, this host included unless it is leaving. Sorted by name. */
    [[nodiscard]] std::vector<HostInfo> liveHosts() const;
    /** All hosts heard of, this one included, with their states. Sorted by name. */
    [[nodiscard]] std::vector<std::pair<HostInfo, wire::MemberState>> members() const;
    /** Calls @p hook after each change of the live set. */
    void onChange(std::function<void()> hook);
    /**
     * @p current gives the generation to send with probes; @p seenGreater is called when a peer's probe carries a greater one.
     * Empty functions detach the hooks; once this returns and handle() is no longer called, the former ones are not used any more.
     */
    void setGenerationHooks(std::function<std::uint64_t()> current, std::function<void(const std::string &peerAddress, std::uint64_t generation)> seenGreater);
    /** Takes Ping, PingAck and PingRequest; does not block. */
    void handle(const wire::Envelope &envelope);
    /** Announces that this host is leaving. */
    void leave();
    /** State for the admin interface. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
