#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "JsonLog.h"
#include "ObjectStore.h"
#include "PeerClient.h"
#include "PeerTable.h"

namespace Bergamotramp {

/** A notice that a job has changed, as one host sends it to another. */
struct JobChangeNotice {
    std::string jobId;
    /** The changed header; std::nullopt if the sender does not know it. */
    std::optional<ObjectRecord> header;

    /** Whether @p request is a notice. */
    [[nodiscard]] static bool matches(const HttpRequest &request);
    /** Decodes a request that matches(). A header that can't be read is left out. */
    static JobChangeNotice fromRequest(const HttpRequest &request);
    [[nodiscard]] HttpRequest toRequest() const;
    bool operator==(const JobChangeNotice &) const = default;
};

/** Notifies the hosts that run jobs of changes to them, and repeats each notice until it is acknowledged. */
class JobChangeNotifier
{
public:
    /** Time after which the watch of the notified host has reported the change, so that a notice is not repeated any longer. */
    static constexpr absl::Duration maxRepeatTime = absl::Seconds(30);
    /** Pause before an unacknowledged notice is repeated. */
    static constexpr absl::Duration repeatPause = absl::Milliseconds(300);

    /** Sends a request to the control address of another host. */
    using SendFunction = std::function<void(const std::string &address, const HttpRequest &, absl::Duration timeout, PeerClient::AnswerHandler done)>;

    JobChangeNotifier(EventLoop &loop, const PeerTable &peers, JsonLog &log, SendFunction send);

    /** Notifies the host @p runner. Ignored if this host doesn't know it. */
    void notify(const std::string &runner, const JobChangeNotice &notice);

private:
    struct Pending {
        std::string runner;
        JobChangeNotice notice;
        absl::Time repeatUntil;
        LoopTimer timer{};
    };

    void send(const std::shared_ptr<Pending> &pending);
    void repeatLater(const std::shared_ptr<Pending> &pending);

    EventLoop &loop;
    const PeerTable &peers;
    JsonLog &log;
    SendFunction sendRequest;
    std::set<std::shared_ptr<Pending>> pendingNotices;
};

} // namespace Bergamotramp
