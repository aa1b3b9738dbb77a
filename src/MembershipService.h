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
 * Connects the Membership state machine to the transport, the timers and the platform's host list. Thread-safe.
 * Hooks run on the transport's, the timers' or the service's own thread and must not block. handle() must not be called once
 * the destructor runs.
 */
class MembershipService
{
public:
    /** Starts probing peers at once; @p context must outlive the service. Uses its transport, timers, store (for the host list) and events. */
    explicit MembershipService(const HostContext &context);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Hosts that are alive or suspect, this host included unless it is leaving. Sorted by name. */
    [[nodiscard]] std::vector<HostInfo> liveHosts() const;
    /** All known hosts, this one included, with their states. Sorted by name. */
    [[nodiscard]] std::vector<std::pair<HostInfo, wire::MemberState>> members() const;
    /** Calls @p hook after each change of liveHosts(). */
    void onChange(std::function<void()> hook);
    /**
     * @p current returns the configuration generation to send with probes; @p onNewerGeneration is called when a peer's message carries a
     * greater one. Empty functions remove the hooks. The previous hooks are not called any more once this has returned and handle() is no
     * longer called.
     */
    void setGenerationHooks(std::function<std::uint64_t()> current,
                            std::function<void(const std::string &peerAddress, std::uint64_t generation)> onNewerGeneration);
    /** Handles Ping, PingAck and PingRequest messages of peers; does not block. */
    void handle(const wire::Envelope &envelope);
    /** Announces to the other hosts that this host is leaving. */
    void leave();
    /** State for the admin interface. */
    [[nodiscard]] nlohmann::json status() const;

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation;
};

} // namespace Bergamotramp
