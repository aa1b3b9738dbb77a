#include "RegistrationReader.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

namespace {

// The store answers with the changes that there are. Its interface has no call for that other than a watch.
constexpr absl::Duration shortestWatch = absl::Milliseconds(1);

} // namespace

RegistrationReader::RegistrationReader(Context context) : context(std::move(context))
{
}

void RegistrationReader::readSince(std::uint64_t revision, Handler done)
{
    const auto request = this->requests.insert(this->requests.end(), {.revision = revision, .done = std::move(done), .inCall = false, .timer = {}});
    request->timer = this->context.loop.after(maxWait, [this, request] { this->giveUp(request); });
    if (!this->callRuns) {
        this->callStore();
    }
}

void RegistrationReader::callStore()
{
    this->callRuns = true;
    for (Request &request : this->requests) {
        request.inCall = true;
    }
    const std::uint64_t oldest = std::ranges::min_element(this->requests, {}, &Request::revision)->revision;
    this->context.store.watch(this->context.kind, oldest, shortestWatch, [this, oldest](const WatchReply &reply) { this->onReply(oldest, reply); });
}

void RegistrationReader::onReply(std::uint64_t revision, const WatchReply &reply)
{
    this->callRuns = false;
    Requests answered = std::exchange(this->requests, {});
    const auto firstLater = std::ranges::find_if_not(answered, &Request::inCall);
    this->requests.splice(this->requests.end(), answered, firstLater, answered.end());
    this->context.log.write("registrations_read",
                            {{"since", revision},
                             {"answered", reply.result == StoreResult::Done},
                             {"changes", static_cast<std::uint64_t>(reply.changes.size())},
                             {"requests", static_cast<std::uint64_t>(answered.size())}});
    if (!this->requests.empty()) {
        this->callStore();
    }
    for (const Request &request : answered) {
        this->answer(request, reply);
    }
    if (reply.result == StoreResult::Unanswered) {
        this->context.reportUnansweredCall();
    }
}

void RegistrationReader::answer(const Request &request, const WatchReply &reply) const
{
    if (reply.result != StoreResult::Done) {
        request.done(std::nullopt);
        return;
    }
    std::vector<UpstreamInfo> registered;
    for (const ObjectChange &change : reply.changes) {
        // The removal of a registration follows the change that wrote it, or the registration is older than the revision.
        if (change.removed || change.object.revision <= request.revision) {
            continue;
        }
        if (auto upstream = this->context.decode(change.object)) {
            registered.push_back(std::move(*upstream));
        }
    }
    request.done(registered);
}

void RegistrationReader::giveUp(Requests::iterator request)
{
    const Handler done = std::move(request->done);
    this->requests.erase(request);
    done(std::nullopt);
}

} // namespace Bergamotramp
