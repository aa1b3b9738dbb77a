#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "EventLoop.h"
#include "JsonLog.h"
#include "ObjectStore.h"
#include "UpstreamTable.h"

namespace Bergamotramp {

/**
 * Reads from the store itself which upstreams have registered since a revision, for decisions that may not rely on a watch: a watch that
 * is lost looks like one without changes. Requests that come while a call runs share the next call.
 */
class RegistrationReader
{
public:
    /** A request that has got no answer of the store after this time ends without one. */
    static constexpr absl::Duration maxWait = absl::Milliseconds(500);

    /** Parts of the entry host that RegistrationReader uses. */
    struct Context {
        EventLoop &loop;
        /** The store itself, not a relay. */
        ObjectStore &store;
        JsonLog &log;
        std::string kind;
        /** Returns nothing for an object that is no registration. */
        std::function<std::optional<UpstreamInfo>(const ObjectRecord &)> decode;
        /** A call to the store got no answer. */
        std::function<void()> reportUnansweredCall;
    };
    /** Gets the registrations that were written after the revision, also those that were removed again; nothing if they are not known. */
    using Handler = std::function<void(const std::optional<std::vector<UpstreamInfo>> &)>;

    explicit RegistrationReader(Context context);

    /** Reads what was written after @p revision and acknowledged before this call. @p done is called later, once. */
    void readSince(std::uint64_t revision, Handler done);

private:
    struct Request {
        std::uint64_t revision = 0;
        Handler done;
        /** Whether the request came before the call that runs, which will answer it. */
        bool inCall = false;
        LoopTimer timer;
    };
    using Requests = std::list<Request>;

    void callStore();
    void onReply(std::uint64_t revision, const WatchReply &reply);
    void answer(const Request &request, const WatchReply &reply) const;
    /** Ends a request that has waited for too long. */
    void giveUp(Requests::iterator request);

    Context context;
    Requests requests;
    bool callRuns = false;
};

} // namespace Bergamotramp
