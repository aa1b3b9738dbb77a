#include "SoakCallers.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "StreamUpstream.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration directoryPeriod = absl::Seconds(1);
constexpr absl::Duration longestPause = absl::Milliseconds(40);
// The caller waits for the answer to a time-out a little longer than the time-out itself; the promise is half a second.
constexpr absl::Duration answerSlack = absl::Milliseconds(500);
constexpr absl::Duration machineSlack = absl::Milliseconds(1500);
constexpr int ok = 200;
constexpr int notFound = 404;

std::string wholeAnswer(bool stream, const std::string &id)
{
    if (!stream) {
        return "plain answer " + id;
    }
    std::string text;
    for (int number = 1; number <= SoakBounds::events; ++number) {
        absl::StrAppend(&text, "id: ", number, "\ndata: ", StreamUpstream::eventData(number), " ", id, "\n\n");
    }
    return text;
}

bool statesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

SoakCallers::SoakCallers(EventLoop &loop, SoakFleet &fleet, SoakState &state, int callers, std::uint64_t seed)
    : loop(loop), fleet(fleet), state(state), random(seed), client(loop, {}), pauses(static_cast<std::size_t>(callers))
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        this->addresses.push_back(fleet.entryAddress(host));
    }
    this->askDirectory();
    for (int caller = 0; caller < callers; ++caller) {
        this->pause();
    }
}

SoakCallers::~SoakCallers()
{
    for (const auto &request : this->open) {
        request->call.cancel();
    }
}

void SoakCallers::askDirectory()
{
    this->directoryTimer = this->loop.after(directoryPeriod, [this] { this->askDirectory(); });
    this->directoryBody.clear();
    const std::size_t host = this->random() % this->fleet.hostCount();
    this->directoryCall = this->client.send(
        this->fleet.directoryAddress(host),
        {.method = "GET", .target = absl::StrCat("/bergamotramp/resolve?name=", SoakFleet::callerHost, "&region=north&zone=a"), .fields = {}, .body = {}},
        {.belongs = {},
         .head = [](const HttpHead &) {},
         .body = [this](std::string_view bytes) { this->directoryBody.append(bytes); },
         .completed =
             [this] {
                 const auto answer = nlohmann::json::parse(this->directoryBody, nullptr, false);
                 if (answer.is_object() && answer.contains("addresses") && !answer["addresses"].empty()) {
                     this->addresses = answer["addresses"].get<std::vector<std::string>>();
                 }
             },
         .failed = [](HttpCallError) {}});
}

std::string SoakCallers::pickAddress()
{
    return this->addresses[this->random() % this->addresses.size()];
}

void SoakCallers::pause()
{
    const absl::Duration wait = longestPause * std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    this->pauses[this->nextPause] = this->loop.after(wait, [this] { this->sendNext(); });
    this->nextPause = (this->nextPause + 1) % this->pauses.size();
}

void SoakCallers::sendNext()
{
    if (!this->state.accepting) {
        return;
    }
    const auto request = std::make_shared<Request>();
    request->kind = static_cast<Kind>(this->random() % 5);
    request->id = absl::StrCat("call-", ++this->sent);
    request->configVersion = this->state.configVersion;
    static const std::map<Kind, std::string> paths{
        {Kind::Resumable, "/resumable/x"}, {Kind::Stream, "/stream/x"}, {Kind::Plain, "/plain/x"}, {Kind::Once, "/once/x"}};
    request->path = request->kind == Kind::NewRoute ? SoakFleet::versionPath(request->configVersion) + "x" : paths.at(request->kind);
    const bool once = request->kind == Kind::Stream || request->kind == Kind::Once;
    (once ? this->state.once : this->state.repeatable).insert(request->id);
    this->send(request);
}

void SoakCallers::send(const std::shared_ptr<Request> &request)
{
    request->address = this->pickAddress();
    request->sent = this->loop.now();
    this->open.insert(request);
    request->deadline = this->loop.after(SoakBounds::requestTimeout + answerSlack + machineSlack, [this, weak = std::weak_ptr<Request>(request)] {
        if (const auto late = weak.lock()) {
            this->unanswered(late);
        }
    });
    request->call = this->client.send(request->address,
                                      {.method = "POST",
                                       .target = request->path,
                                       .fields = {{"Host", SoakFleet::callerHost},
                                                  {"X-Request-Id", request->id},
                                                  {"X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(SoakBounds::requestTimeout))}},
                                       .body = "question"},
                                      {.belongs = {},
                                       .head = [raw = request.get()](const HttpHead &head) { raw->head = head; },
                                       .body = [raw = request.get()](std::string_view bytes) { raw->body.append(bytes); },
                                       .completed = [this, request] { this->answered(request); },
                                       .failed = [this, request](HttpCallError error) { this->failed(request, error); }});
}

std::string SoakCallers::describe(const Request &request) const
{
    return absl::StrCat(request.id,
                        " ",
                        request.path,
                        " at ",
                        request.address,
                        " sent ",
                        absl::ToDoubleMilliseconds(this->loop.now() - request.sent),
                        " ms ago, status ",
                        request.head.status);
}

void SoakCallers::answered(const std::shared_ptr<Request> &request)
{
    const int status = request->head.status;
    this->state.report.count(absl::StrCat("answers ", status));
    if (status == ok) {
        this->checkSuccess(*request);
    } else if (statesNotRun(status)) {
        this->checkRefusal(*request);
    } else if (status == notFound) {
        const bool newest = request->kind != Kind::NewRoute || request->configVersion == this->state.configVersion;
        const bool due = request->kind != Kind::NewRoute || request->sent > this->state.configAcknowledged + SoakBounds::configInForce;
        if (newest && due && this->state.calmAt(request->sent)) {
            this->state.report.broken("a configuration is in force in time", this->describe(*request));
        }
    }
    this->finish(request, status == ok);
}

void SoakCallers::checkSuccess(const Request &request)
{
    const bool stream = request.kind == Kind::Resumable || request.kind == Kind::Stream;
    if (!request.head.fields.find("X-Response-Signature")) {
        this->state.report.broken("a success is an upstream's own", this->describe(request));
    }
    if (request.body != wholeAnswer(stream, request.id)) {
        this->state.report.broken("each caller gets the whole answer to its own request", absl::StrCat(this->describe(request), ": ", request.body));
    }
}

void SoakCallers::checkRefusal(const Request &request)
{
    this->state.refused.insert(request.id);
    if (this->state.runs.runs(request.id) > 0) {
        this->state.report.broken("what is refused as not run has not run", this->describe(request));
    }
}

void SoakCallers::failed(const std::shared_ptr<Request> &request, HttpCallError error)
{
    this->state.report.count(error == HttpCallError::NotSent ? "not connected" : "connections broken");
    // A request that crosses the end of a kept connection and is not passed on is the caller's to send again.
    const bool passedOn = this->state.runs.runs(request->id) > 0;
    if (error != HttpCallError::NotSent && passedOn && this->state.calmAt(request->sent)) {
        this->state.report.broken("no request that was passed on is cut off in calm times", this->describe(*request));
    }
    if (error == HttpCallError::BadResponse) {
        this->state.report.broken("a host speaks the protocol", this->describe(*request));
    }
    this->finish(request, false);
}

void SoakCallers::unanswered(const std::shared_ptr<Request> &request)
{
    this->state.report.count("unanswered");
    if (this->state.calmAt(request->sent)) {
        this->state.report.broken("every request gets a final answer by its time-out", this->describe(*request));
    }
    request->call.cancel();
    this->finish(request, false);
}

void SoakCallers::finish(const std::shared_ptr<Request> &request, bool served)
{
    if (request->sent > this->state.calmSince + SoakBounds::recovery) {
        ++this->recoverySent;
        this->recoveryServed += served ? 1 : 0;
    }
    request->deadline.cancel();
    this->open.erase(request);
    this->pause();
}

int SoakCallers::sentAfterRecovery() const
{
    return this->recoverySent;
}

int SoakCallers::servedAfterRecovery() const
{
    return this->recoveryServed;
}

std::size_t SoakCallers::waiting() const
{
    return this->open.size();
}

} // namespace Bergamotramp
