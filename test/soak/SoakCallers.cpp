#include "SoakCallers.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "StandinUpstream.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration directoryPeriod = absl::Seconds(1);
constexpr absl::Duration maxPause = absl::Milliseconds(40);
// A host responds to a request at the latest half a second after the time-out of the request.
constexpr absl::Duration timeoutResponseSlack = absl::Milliseconds(500);
constexpr absl::Duration machineLoadSlack = absl::Milliseconds(1500);
constexpr std::string_view signaturePrefix = "by-";
constexpr int ok = 200;
constexpr int notFound = 404;

/** The whole body of a successful response, which begins after event @p eventsBefore if it is a stream. */
std::string expectedBody(bool stream, const std::string &id, int eventsBefore, const std::string &version)
{
    if (!stream) {
        return absl::StrCat("plain answer ", id, " ", version);
    }
    std::string text;
    for (int number = eventsBefore + 1; number <= SoakBounds::eventsPerResponse; ++number) {
        absl::StrAppend(&text, "id: ", number, "\ndata: ", StandinUpstream::eventData(number), " ", id, " ", version, "\n\n");
    }
    return text;
}

/** The software version that a plain response names, which is its last word. */
std::string versionOfPlainBody(const std::string &body)
{
    return body.substr(body.rfind(' ') + 1);
}

bool meansNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

SoakCallers::SoakCallers(EventLoop &loop, SoakFleet &fleet, SoakState &state, int callers, std::uint64_t seed)
    : loop(loop), fleet(fleet), state(state), random(seed), client(loop, {}), pauseTimers(static_cast<std::size_t>(callers))
{
    for (std::size_t host = 0; host < fleet.hostCount(); ++host) {
        this->addresses.push_back(fleet.entryAddress(host));
    }
    this->resolveHosts();
    for (int caller = 0; caller < callers; ++caller) {
        this->scheduleNextRequest();
    }
}

SoakCallers::~SoakCallers()
{
    for (const auto &request : this->openRequests) {
        request->call.cancel();
    }
}

void SoakCallers::resolveHosts()
{
    this->directoryTimer = this->loop.after(directoryPeriod, [this] { this->resolveHosts(); });
    this->directoryBody.clear();
    const std::size_t host = this->random() % this->fleet.hostCount();
    this->directoryCall = this->client.send(
        this->fleet.directoryAddress(host),
        {.method = "GET", .target = absl::StrCat("/bergamotramp/resolve?name=", SoakFleet::virtualHost, "&region=north&zone=a"), .fields = {}, .body = {}},
        {.matchesRequest = {},
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

void SoakCallers::scheduleNextRequest()
{
    const absl::Duration wait = maxPause * std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    this->pauseTimers[this->nextPauseTimer] = this->loop.after(wait, [this] { this->sendNextRequest(); });
    this->nextPauseTimer = (this->nextPauseTimer + 1) % this->pauseTimers.size();
}

void SoakCallers::sendNextRequest()
{
    if (!this->state.accepting) {
        return;
    }
    const auto request = std::make_shared<Request>();
    request->kind = static_cast<Kind>(this->random() % 5);
    request->id = absl::StrCat("call-", ++this->sentCount);
    request->configVersion = this->state.configVersion;
    static const std::map<Kind, std::string> paths{
        {Kind::ResumableStream, "/resumable/x"}, {Kind::Stream, "/stream/x"}, {Kind::Plain, "/plain/x"}, {Kind::Unsafe, "/once/x"}};
    request->path = request->kind == Kind::NewRoute ? SoakFleet::versionPath(request->configVersion) + "x" : paths.at(request->kind);
    const bool singleRun = request->kind == Kind::Stream || request->kind == Kind::Unsafe;
    (singleRun ? this->state.singleRunRequests : this->state.retryableRequests).insert(request->id);
    this->send(request);
}

void SoakCallers::send(const std::shared_ptr<Request> &request)
{
    request->address = this->pickAddress();
    request->sentAt = this->loop.now();
    this->state.sentRequests[request->id] = {request->address, request->sentAt};
    this->openRequests.insert(request);
    request->deadline = this->loop.after(SoakBounds::requestTimeout + timeoutResponseSlack + machineLoadSlack, [this, weak = std::weak_ptr<Request>(request)] {
        if (const auto late = weak.lock()) {
            this->handleTimeout(late);
        }
    });
    HttpFields fields{{"Host", SoakFleet::virtualHost},
                      {"X-Request-Id", request->id},
                      {"X-Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(SoakBounds::requestTimeout))}};
    if (request->eventsBefore > 0) {
        fields.add("Last-Event-Id", absl::StrCat(request->eventsBefore));
        fields.add("Resumes", request->firstId);
    }
    request->call = this->client.send(request->address,
                                      {.method = "POST", .target = request->path, .fields = fields, .body = "question"},
                                      {.matchesRequest = {},
                                       .head =
                                           [this, raw = request.get()](const HttpHead &head) {
                                               raw->head = head;
                                               this->recordLeavingUpstream(*raw);
                                           },
                                       .body = [raw = request.get()](std::string_view bytes) { raw->body.append(bytes); },
                                       .completed = [this, request] { this->handleResponse(request); },
                                       .failed = [this, request](HttpCallError error) { this->handleFailure(request, error); }});
}

void SoakCallers::recordLeavingUpstream(const Request &request)
{
    const auto signature = request.head.fields.find("X-Response-Signature");
    if (!request.head.fields.find("Server-Leaving") || !signature || !signature->starts_with(signaturePrefix)) {
        return;
    }
    this->state.report.increment("answers of leaving upstreams");
    const std::string upstream(signature->substr(signaturePrefix.size()));
    const absl::Time interrupted = this->fleet.interruptedAt(request.address);
    absl::Time &passedOn = this->state.leavingPassedOnAt.try_emplace({upstream, request.address}, this->loop.now()).first->second;
    if (passedOn < interrupted) {
        passedOn = this->loop.now();
    }
}

std::string SoakCallers::describe(const Request &request) const
{
    return absl::StrCat(request.id,
                        " ",
                        request.path,
                        " at ",
                        request.address,
                        " sent ",
                        absl::ToDoubleMilliseconds(this->loop.now() - request.sentAt),
                        " ms ago, status ",
                        request.head.status);
}

void SoakCallers::handleResponse(const std::shared_ptr<Request> &request)
{
    const int status = request->head.status;
    this->state.report.increment(absl::StrCat("answers ", status));
    if (status == ok) {
        this->checkSuccess(*request);
    } else if (meansNotRun(status)) {
        this->checkNotRun(*request);
    } else if (status == notFound) {
        const bool usesNewestConfig = request->kind != Kind::NewRoute || request->configVersion == this->state.configVersion;
        const bool shouldBeInForce = request->kind != Kind::NewRoute || request->sentAt > this->state.configAcknowledgedAt + SoakBounds::configPropagationTime;
        if (usesNewestConfig && shouldBeInForce && this->state.isSettledAt(request->sentAt)) {
            this->state.report.recordViolation("a configuration takes effect in time", this->describe(*request));
        }
    }
    this->finishRequest(request, status == ok);
}

int SoakCallers::checkEvents(Request &request)
{
    int last = request.eventsBefore;
    for (const absl::string_view frame : absl::StrSplit(request.body, "\n\n", absl::SkipEmpty())) {
        const std::string prefix = absl::StrCat("id: ", last + 1, "\ndata: ", StandinUpstream::eventData(last + 1), " ", request.id, " ");
        if (!absl::StartsWith(frame, prefix)) {
            // The rest of a stream that broke off may be the beginning of an event.
            return last;
        }
        const std::string version(frame.substr(prefix.size()));
        if (!request.version.empty() && version != request.version) {
            this->state.report.recordViolation("a stream holds events of one software version", absl::StrCat(this->describe(request), ": ", request.body));
        }
        request.version = version;
        ++last;
    }
    return last;
}

bool SoakCallers::takeUp(Request &broken)
{
    if (broken.kind != Kind::ResumableStream || !this->state.accepting || broken.head.status != ok) {
        return false;
    }
    // The last frame may be incomplete, and its end can look like the end of an event.
    broken.body.resize(broken.body.rfind("\n\n") == std::string::npos ? 0 : broken.body.rfind("\n\n") + 2);
    const int last = this->checkEvents(broken);
    if (last == 0 || last == SoakBounds::eventsPerResponse) {
        return false;
    }
    const auto next = std::make_shared<Request>();
    next->kind = broken.kind;
    next->id = absl::StrCat("call-", ++this->sentCount);
    next->path = broken.path;
    next->configVersion = broken.configVersion;
    next->firstId = broken.firstId.empty() ? broken.id : broken.firstId;
    next->eventsBefore = last;
    next->version = broken.version;
    this->state.retryableRequests.insert(next->id);
    this->state.report.increment("streams taken up");
    this->send(next);
    return true;
}

void SoakCallers::checkSuccess(Request &request)
{
    const bool stream = request.kind == Kind::ResumableStream || request.kind == Kind::Stream;
    if (!request.head.fields.find("X-Response-Signature")) {
        this->state.report.recordViolation("a success response comes from an upstream", this->describe(request));
    }
    if (request.eventsBefore > 0) {
        this->state.report.increment("streams continued");
    }
    if (stream) {
        this->checkEvents(request);
    } else {
        request.version = versionOfPlainBody(request.body);
    }
    const bool whole = SoakFleet::isSoftwareVersion(request.version) && request.body == expectedBody(stream, request.id, request.eventsBefore, request.version);
    if (!whole) {
        this->state.report.recordViolation("each caller gets the whole answer to its own request", absl::StrCat(this->describe(request), ": ", request.body));
    }
}

void SoakCallers::checkNotRun(const Request &request)
{
    this->state.reportedNotRun.insert(request.id);
    if (this->state.upstreamRuns.runCount(request.id) > 0) {
        this->state.report.recordViolation("what is refused as not run has not run", this->describe(request));
    }
}

void SoakCallers::handleFailure(const std::shared_ptr<Request> &request, HttpCallError error)
{
    this->state.report.increment(error == HttpCallError::NotSent ? "not connected" : "connections broken");
    // A host may close an idle keep-alive connection just as a request arrives on it. If the request has not reached an upstream, the caller
    // has to send it again, and this is no violation.
    const bool reachedUpstream = this->state.upstreamRuns.runCount(request->id) > 0;
    if (error != HttpCallError::NotSent && reachedUpstream && this->state.isSettledAt(request->sentAt)) {
        this->state.report.recordViolation("no request that was passed on is cut off in calm times", this->describe(*request));
    }
    if (error == HttpCallError::BadResponse) {
        this->state.report.recordViolation("a host sends valid HTTP responses", this->describe(*request));
    }
    if (error == HttpCallError::NotSent || !this->takeUp(*request)) {
        this->finishRequest(request, false);
        return;
    }
    request->deadline.cancel();
    this->openRequests.erase(request);
}

void SoakCallers::handleTimeout(const std::shared_ptr<Request> &request)
{
    this->state.report.increment("unanswered");
    if (this->state.isSettledAt(request->sentAt)) {
        this->state.report.recordViolation("every request gets a final answer by its time-out", this->describe(*request));
    }
    request->call.cancel();
    this->finishRequest(request, false);
}

void SoakCallers::finishRequest(const std::shared_ptr<Request> &request, bool served)
{
    if (request->sentAt > this->state.faultFreeSince + SoakBounds::recoveryTime) {
        ++this->recoverySent;
        this->recoveryServed += served ? 1 : 0;
    }
    request->deadline.cancel();
    this->openRequests.erase(request);
    this->scheduleNextRequest();
}

int SoakCallers::sentAfterRecovery() const
{
    return this->recoverySent;
}

int SoakCallers::servedAfterRecovery() const
{
    return this->recoveryServed;
}

std::size_t SoakCallers::openRequestCount() const
{
    return this->openRequests.size();
}

} // namespace Bergamotramp
