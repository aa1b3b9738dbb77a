#include "StandinUpstream.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxConnections = 1000;
constexpr int eventsBeforeCut = 2;
constexpr std::size_t endlessChunkBytes = 64 * 1024;
constexpr absl::Duration endlessChunkInterval = absl::Milliseconds(1);

std::string headerField(const HttpRequest &request, std::string_view name)
{
    return std::string(request.fields.find(name).value_or(std::string_view()));
}

} // namespace

StandinUpstream::StandinUpstream(EventLoop &loop, std::string id, int events, absl::Duration eventInterval, UpstreamOptions upstreamOptions)
    : loop(loop), upstreamId(std::move(id)), events(events), eventInterval(eventInterval), options(std::move(upstreamOptions))
{
    this->listen(this->options.address);
}

void StandinUpstream::listen(const std::string &address)
{
    this->server =
        std::make_shared<HttpServer>(this->loop, address, maxConnections, [this](const std::shared_ptr<HttpExchange> &exchange) { this->handle(exchange); });
    this->boundAddress = this->server->address();
}

void StandinUpstream::resetConnections()
{
    for (const auto &run : std::exchange(this->activeRuns, {})) {
        run->exchange->abort();
    }
}

void StandinUpstream::crash()
{
    this->resetConnections();
    // The server may be the caller, so it is destroyed by the loop.
    this->server->stopAccepting();
    this->loop.post([stopped = std::exchange(this->server, nullptr)] {});
    this->restartTimer = this->loop.after(this->options.restartDelay, [this] {
        ++this->startCount;
        // The former port may belong to another process by now.
        this->listen("127.0.0.1:0");
        if (this->options.onRestarted) {
            this->options.onRestarted();
        }
    });
}

bool StandinUpstream::down() const
{
    return this->server == nullptr;
}

int StandinUpstream::starts() const
{
    return this->startCount;
}

std::string StandinUpstream::address() const
{
    return this->boundAddress;
}

const std::string &StandinUpstream::id() const
{
    return this->upstreamId;
}

const std::string &StandinUpstream::softwareVersion() const
{
    return this->options.softwareVersion;
}

void StandinUpstream::setSoftwareVersion(const std::string &version)
{
    this->options.softwareVersion = version;
}

void StandinUpstream::setMode(UpstreamMode newMode)
{
    this->mode = newMode;
}

void StandinUpstream::setLeaving(bool nowLeaving)
{
    this->leaving = nowLeaving;
}

void StandinUpstream::setLimit(std::optional<double> requestsPerSecond)
{
    this->limit = requestsPerSecond;
}

std::size_t StandinUpstream::received() const
{
    return this->arrivalTimes.size();
}

const std::vector<absl::Time> &StandinUpstream::arrivals() const
{
    return this->arrivalTimes;
}

const std::map<std::string, int> &StandinUpstream::runs() const
{
    return this->runCounts;
}

std::size_t StandinUpstream::running() const
{
    return this->activeRuns.size();
}

std::string StandinUpstream::eventData(int number)
{
    return absl::StrCat("token-", number);
}

HttpFields StandinUpstream::responseFields(const HttpRequest &request) const
{
    return this->withStatements({{"X-Request-Id", headerField(request, "X-Request-Id")}, {"X-Response-Signature", absl::StrCat("by-", this->upstreamId)}});
}

HttpFields StandinUpstream::withStatements(HttpFields fields) const
{
    if (this->leaving) {
        fields.add("Server-Leaving", "1");
    }
    if (this->limit) {
        fields.add("Server-Limit", absl::StrCat(*this->limit));
    }
    return fields;
}

bool StandinUpstream::refuse(const std::shared_ptr<HttpExchange> &exchange)
{
    if (headerField(exchange->request(), "X-Expect-Instance") != this->upstreamId) {
        exchange->respond({.head = {.status = 421, .fields = this->withStatements({{"X-Instance-Id", this->upstreamId}})}, .body = {}});
        return true;
    }
    const bool full = this->options.slots > 0 && this->activeRuns.size() >= this->options.slots;
    if (full || this->mode == UpstreamMode::Full) {
        exchange->respond({.head = {.status = 503, .fields = this->withStatements({{"X-Not-Executed", "1"}})}, .body = {}});
        return true;
    }
    return false;
}

void StandinUpstream::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    this->arrivalTimes.push_back(this->loop.now());
    if (this->down()) {
        exchange->abort();
        return;
    }
    if (this->options.onRequest) {
        this->options.onRequest(request);
    }
    if (this->refuse(exchange)) {
        return;
    }
    ++this->runCounts[headerField(request, "X-Request-Id")];
    if (this->options.onRun) {
        this->options.onRun(headerField(request, "X-Request-Id"));
    }
    if (this->mode == UpstreamMode::Failing || this->mode == UpstreamMode::FailingPermanently) {
        exchange->respond({.head = {.status = this->mode == UpstreamMode::Failing ? 500 : 422, .fields = this->responseFields(request)}, .body = "failed"});
        return;
    }
    if (this->mode == UpstreamMode::AnswersLost) {
        exchange->abort();
        return;
    }
    const auto run = std::make_shared<Run>(Run{.exchange = exchange, .nextEvent = 1, .timer = {}});
    int lastEventId = 0;
    if (absl::SimpleAtoi(headerField(request, "Last-Event-Id"), &lastEventId)) {
        run->nextEvent = lastEventId + 1;
    }
    this->activeRuns.insert(run);
    exchange->onCallerDisconnected([this, weak = std::weak_ptr<Run>(run)] {
        if (const auto left = weak.lock()) {
            this->activeRuns.erase(left);
        }
    });
    if (this->mode == UpstreamMode::Silent) {
        return;
    }
    if (this->mode == UpstreamMode::EndlessBody) {
        this->startStream(run);
        this->sendForEver(run, std::string(endlessChunkBytes, 'x'), endlessChunkInterval);
        return;
    }
    if (this->mode == UpstreamMode::TrickledEvent) {
        this->startStream(run);
        this->sendForEver(run, ":", this->eventInterval);
        return;
    }
    run->timer = this->loop.after(this->eventInterval, [this, weak = std::weak_ptr<Run>(run)] {
        if (const auto due = weak.lock()) {
            this->sendNextEvent(due);
        }
    });
}

void StandinUpstream::startStream(const std::shared_ptr<Run> &run)
{
    if (!run->exchange->started()) {
        HttpFields fields = this->responseFields(run->exchange->request());
        fields.add("Content-Type", "text/event-stream");
        run->exchange->startBody({.status = 200, .fields = fields});
    }
}

void StandinUpstream::sendForEver(const std::shared_ptr<Run> &run, const std::string &bytes, absl::Duration interval)
{
    run->exchange->sendBody(bytes);
    this->endlessBytesSent += bytes.size();
    run->timer = this->loop.after(interval, [this, weak = std::weak_ptr<Run>(run), bytes, interval] {
        if (const auto due = weak.lock()) {
            this->sendForEver(due, bytes, interval);
        }
    });
}

std::size_t StandinUpstream::endlessBytes() const
{
    return this->endlessBytesSent;
}

std::string StandinUpstream::requestTag(const HttpRequest &request) const
{
    return absl::StrCat(this->options.tagsResponses ? absl::StrCat(" ", headerField(request, "X-Request-Id")) : std::string(),
                        this->options.tagsVersion ? absl::StrCat(" ", this->options.softwareVersion) : std::string());
}

void StandinUpstream::sendNextEvent(const std::shared_ptr<Run> &run)
{
    if (!run->exchange->started() && this->options.crashesOn && this->options.crashesOn(run->exchange->request())) {
        this->crash();
        return;
    }
    if (this->events == 0) {
        this->activeRuns.erase(run);
        run->exchange->respond({.head = {.status = 200, .fields = this->responseFields(run->exchange->request())},
                                .body = absl::StrCat("plain answer", this->requestTag(run->exchange->request()))});
        return;
    }
    this->startStream(run);
    if (this->mode == UpstreamMode::CutsStreams && run->nextEvent > eventsBeforeCut) {
        run->exchange->sendBody(absl::StrCat("id: ", run->nextEvent, "\ndata: tok"));
        this->activeRuns.erase(run);
        run->exchange->abort();
        return;
    }
    run->exchange->sendBody(absl::StrCat("id: ", run->nextEvent, "\ndata: ", eventData(run->nextEvent), this->requestTag(run->exchange->request()), "\n\n"));
    if (++run->nextEvent > this->events) {
        this->activeRuns.erase(run);
        run->exchange->finishBody();
        return;
    }
    run->timer = this->loop.after(this->eventInterval, [this, weak = std::weak_ptr<Run>(run)] {
        if (const auto due = weak.lock()) {
            this->sendNextEvent(due);
        }
    });
}

} // namespace Bergamotramp
