#include "JobChangeNotifier.h"

#include <absl/strings/str_cat.h>

#include "LimitedJson.h"

namespace Bergamotramp {

namespace {

constexpr const char *noticePath = "/peer/job-changed";
constexpr absl::Duration acknowledgementTimeout = absl::Milliseconds(600);
constexpr int httpOk = 200;

} // namespace

bool JobChangeNotice::matches(const HttpRequest &request)
{
    return request.path() == noticePath;
}

JobChangeNotice JobChangeNotice::fromRequest(const HttpRequest &request)
{
    JobChangeNotice notice{.jobId = request.query("job"), .header = std::nullopt};
    // Hosts of an earlier version send no header.
    if (const nlohmann::json json = parseLimitedJsonOrDiscard(request.body); json.is_object()) {
        try {
            notice.header = ObjectRecord::fromJson(json);
        } catch (const nlohmann::json::exception &) {
            return notice;
        }
    }
    if (notice.header && notice.header->name != notice.jobId) {
        notice.header.reset();
    }
    return notice;
}

HttpRequest JobChangeNotice::toRequest() const
{
    HttpRequest request{.method = "POST", .target = absl::StrCat(noticePath, "?job=", percentEncode(this->jobId)), .fields = {}, .body = {}};
    if (this->header) {
        request.fields.add("Content-Type", "application/json");
        request.body = this->header->toJson().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return request;
}

JobChangeNotifier::JobChangeNotifier(EventLoop &loop, const PeerTable &peers, JsonLog &log, SendFunction send)
    : loop(loop), peers(peers), log(log), sendRequest(std::move(send))
{
}

void JobChangeNotifier::notify(const std::string &runner, const JobChangeNotice &notice)
{
    const auto pending = std::make_shared<Pending>(Pending{.runner = runner, .notice = notice, .repeatUntil = this->loop.now() + maxRepeatTime});
    this->pendingNotices.insert(pending);
    this->send(pending);
}

// A host that is silent for a while may go on running the job, so the notice doesn't depend on whether the host is live.
void JobChangeNotifier::send(const std::shared_ptr<Pending> &pending)
{
    const Peer *peer = this->peers.find(pending->runner);
    if (peer == nullptr) {
        this->pendingNotices.erase(pending);
        return;
    }
    this->sendRequest(peer->controlAddress, pending->notice.toRequest(), acknowledgementTimeout, [this, pending](const std::optional<HttpResponse> &response) {
        if (response && response->head.status == httpOk) {
            this->pendingNotices.erase(pending);
        } else {
            this->repeatLater(pending);
        }
    });
}

void JobChangeNotifier::repeatLater(const std::shared_ptr<Pending> &pending)
{
    if (this->loop.now() >= pending->repeatUntil) {
        this->log.write("job_notice_unacknowledged", {{"job", pending->notice.jobId}, {"host", pending->runner}});
        this->pendingNotices.erase(pending);
        return;
    }
    pending->timer = this->loop.after(repeatPause, [this, weak = std::weak_ptr<Pending>(pending)] {
        if (const auto due = weak.lock()) {
            this->send(due);
        }
    });
}

} // namespace Bergamotramp
