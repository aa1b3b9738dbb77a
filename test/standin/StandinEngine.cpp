#include "StandinEngine.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include "StandinText.h"

namespace Bergamotramp {

/** A running or cancelled stream. */
struct StandinEngine::Stream {
    std::string id;
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::int64_t produced = 0;
    bool chat = false;
    bool resumed = false;
    bool holdsSlot = false;
    bool finished = false;
    absl::Time due;
    EngineScheduler::ClientGone clientGone;
};

namespace {

constexpr std::int64_t defaultMaxTokens = 16;
constexpr std::size_t maxResumableStreams = 1000;
constexpr const char *okBody = R"({"status":"ok"})";

void setErrorResponse(httplib::Response &response, int status, const std::string &message)
{
    setJsonResponse(response, status, nlohmann::json{{"error", {{"message", message}}}}.dump());
}

nlohmann::json makeChoice(bool chat, bool complete, const std::string &text, bool last)
{
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (last) {
        choice["finish_reason"] = "stop";
    }
    if (!chat) {
        choice["text"] = text;
    } else if (complete) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["delta"] = text.empty() ? nlohmann::json::object() : nlohmann::json{{"content", text}};
    }
    return choice;
}

nlohmann::json makeUsage(const std::string &prompt, std::int64_t tokens)
{
    const auto promptTokens = static_cast<std::int64_t>(prompt.size() / 4 + 1);
    return {{"prompt_tokens", promptTokens}, {"completion_tokens", tokens}, {"total_tokens", promptTokens + tokens}};
}

std::string formatEvent(const nlohmann::json &json)
{
    return "data: " + json.dump() + "\n\n";
}

} // namespace

StandinEngine::StandinEngine(StandinEngineSettings settings) : settings(std::move(settings)), scheduler(this->settings.speed), cache(this->settings.cacheBlocks)
{
    this->server = std::make_unique<StandinServer>(
        this->settings.port,
        [this](const httplib::Request &request, httplib::Response &response, StandinConnection &connection) { this->handle(request, response, connection); });
}

StandinEngine::~StandinEngine()
{
    this->scheduler.stop();
    this->server->stop();
}

std::string StandinEngine::address() const
{
    return this->server->address();
}

StandinEngineCounters StandinEngine::counters()
{
    const EngineLoad load = this->scheduler.loadAt(absl::Now());
    const std::int64_t peak = this->scheduler.maxRunning();
    const std::lock_guard<std::mutex> lock(this->mutex);
    StandinEngineCounters result = this->counts;
    result.running = load.running;
    result.waiting = load.waiting;
    result.maxRunning = peak;
    return result;
}

void StandinEngine::handle(const httplib::Request &request, httplib::Response &response, StandinConnection &connection)
{
    try {
        const bool completion = request.path == "/v1/completions" || request.path == "/v1/chat/completions";
        if (completion && request.method == "POST") {
            this->handleCompletion(request, response, connection);
        } else if (request.path == "/admin/orders" && request.method == "POST") {
            this->handleOrder(request, response);
        } else if (request.path == "/control" && request.method == "POST") {
            this->applyControl(request.body);
            setJsonResponse(response, 200, "{}");
        } else {
            this->handleQuery(request, response);
        }
    } catch (const nlohmann::json::exception &error) {
        setErrorResponse(response, 400, error.what());
    }
}

void StandinEngine::handleQuery(const httplib::Request &request, httplib::Response &response)
{
    if (request.path == "/health") {
        setJsonResponse(response, 200, okBody);
    } else if (request.path == "/load") {
        setJsonResponse(response, 200, this->loadJson());
    } else if (request.path == "/cache-events") {
        std::uint64_t since = 0;
        setJsonResponse(response, 200, this->cacheEventsJson(absl::SimpleAtoi(request.get_param_value("since"), &since) ? since : 0));
    } else if (request.path == "/control/counters") {
        setJsonResponse(response, 200, this->countersJson());
    } else if (request.path == "/control/runs") {
        setJsonResponse(response, 200, this->runsJson(request.get_param_value("hash")));
    } else if (request.path == "/control/orders") {
        const std::lock_guard<std::mutex> lock(this->mutex);
        setJsonResponse(response, 200, this->orders.dump());
    } else {
        setErrorResponse(response, 404, "no such path");
    }
}

void StandinEngine::handleCompletion(const httplib::Request &request, httplib::Response &response, StandinConnection &connection)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const StreamPointer stream = this->openStream(request, body, response);
    if (!stream) {
        return;
    }
    stream->clientGone = [&connection] { return connection.peerClosed(); };
    if (!this->startStream(*stream)) {
        this->cancelStream(*stream);
        connection.drop();
        return;
    }
    if (stream->prompt.find(crashMarker) != std::string::npos) {
        this->cancelStream(*stream);
        this->crash();
        return;
    }
    if (stream->prompt.find(failMarker) != std::string::npos) {
        this->finishStream(*stream);
        setErrorResponse(response, 500, "the prompt asks for a failure");
        return;
    }
    const bool responseStarted = body.value("stream", false) ? this->respondStreaming(stream, response) : this->respondComplete(*stream, response);
    if (!responseStarted) {
        this->cancelStream(*stream);
        connection.drop();
    }
}

StandinEngine::StreamPointer StandinEngine::openStream(const httplib::Request &request, const nlohmann::json &body, httplib::Response &response)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->refuse) {
        setErrorResponse(response, 503, "refused");
        return nullptr;
    }
    auto stream = std::make_shared<Stream>();
    const std::string resumeId = request.get_header_value("X-Resume-Stream");
    if (resumeId.empty()) {
        stream->prompt = standinPrompt(body);
        stream->maxTokens = body.value("max_tokens", defaultMaxTokens);
    } else {
        const auto found =
            std::find_if(this->resumableStreams.begin(), this->resumableStreams.end(), [&](const auto &kept) { return kept.second.id == resumeId; });
        if (found == this->resumableStreams.end() || found->first < absl::Now()) {
            setErrorResponse(response, 409, "the stream's state is gone");
            return nullptr;
        }
        *stream = std::move(found->second);
        this->resumableStreams.erase(found);
        stream->resumed = true;
        // Tokens that were sent but not received are sent again.
        const std::string received = request.get_header_value("X-Resume-From");
        if (!received.empty()) {
            stream->produced = std::min<std::int64_t>(stream->produced, std::strtoll(received.c_str(), nullptr, 10));
        }
        ++this->counts.resumed;
    }
    stream->id = request.get_header_value("X-Request-Id");
    stream->chat = request.path == "/v1/chat/completions";
    ++this->counts.started;
    ++this->runsByPromptHash[standinHash(stream->prompt)];
    if (this->corruptEach > 0 && this->counts.started % this->corruptEach == 0) {
        stream->prompt += " of somebody else";
    }
    return stream;
}

bool StandinEngine::startStream(Stream &stream)
{
    if (!this->scheduler.acquireSlot(stream.clientGone)) {
        return false;
    }
    stream.holdsSlot = true;
    std::size_t uncached = 0;
    if (!stream.resumed) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        uncached = stream.prompt.size() - this->cache.store(stream.prompt, absl::Now());
    }
    stream.due = absl::Now() + this->scheduler.promptTime(uncached);
    return this->scheduler.waitUntil(stream.due, stream.clientGone);
}

bool StandinEngine::produceToken(Stream &stream, std::string &text)
{
    stream.due = this->scheduler.nextTokenTime(stream.due);
    if (!this->scheduler.waitUntil(stream.due, stream.clientGone)) {
        return false;
    }
    text = standinToken(stream.prompt, stream.produced);
    ++stream.produced;
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts.tokens;
    return true;
}

// Releases the slot before the client receives the end of the stream, so that it is free for a client that sends its next request at once.
void StandinEngine::finishStream(Stream &stream)
{
    stream.finished = true;
    stream.holdsSlot = false;
    this->scheduler.releaseSlot();
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts.finished;
}

void StandinEngine::cancelStream(const Stream &stream)
{
    if (stream.holdsSlot) {
        this->scheduler.releaseSlot();
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->counts.cancelled;
    if (stream.id.empty()) {
        return;
    }
    Stream kept = stream;
    kept.clientGone = nullptr;
    kept.holdsSlot = false;
    this->resumableStreams.emplace_back(absl::Now() + this->settings.resumeRetention, std::move(kept));
    if (this->resumableStreams.size() > maxResumableStreams) {
        this->resumableStreams.pop_front();
    }
}

bool StandinEngine::respondStreaming(const StreamPointer &stream, httplib::Response &response)
{
    // The headers are sent with the first token, so that the time to the first byte equals the time to the first token.
    std::string first;
    if (stream->produced < stream->maxTokens && !this->produceToken(*stream, first)) {
        return false;
    }
    const auto provideChunk = [this, stream, first](std::size_t offset, httplib::DataSink &sink) {
        std::string text = offset == 0 ? first : "";
        if (text.empty() && stream->produced >= stream->maxTokens) {
            this->finishStream(*stream);
            const std::string end = formatFinalEvents(*stream);
            sink.write(end.data(), end.size());
            sink.done();
            return true;
        }
        if (text.empty() && !this->produceToken(*stream, text)) {
            return false;
        }
        const std::string event = formatEvent(
            {{"id", stream->id}, {"choices", nlohmann::json::array({makeChoice(stream->chat, false, text, false)})}, {"token_index", stream->produced - 1}});
        return sink.write(event.data(), event.size());
    };
    response.status = 200;
    response.set_chunked_content_provider("text/event-stream", provideChunk, [this, stream](bool) {
        if (!stream->finished) {
            this->cancelStream(*stream);
        }
    });
    return true;
}

std::string StandinEngine::formatFinalEvents(const Stream &stream)
{
    const nlohmann::json choices = nlohmann::json::array({makeChoice(stream.chat, false, "", true)});
    return formatEvent({{"id", stream.id}, {"choices", choices}, {"usage", makeUsage(stream.prompt, stream.produced)}}) + "data: [DONE]\n\n";
}

bool StandinEngine::respondComplete(Stream &stream, httplib::Response &response)
{
    std::string answer;
    std::string text;
    while (stream.produced < stream.maxTokens) {
        if (!this->produceToken(stream, text)) {
            return false;
        }
        answer += text;
    }
    this->finishStream(stream);
    const nlohmann::json body = {{"id", stream.id},
                                 {"choices", nlohmann::json::array({makeChoice(stream.chat, true, answer, true)})},
                                 {"usage", makeUsage(stream.prompt, stream.produced)}};
    setJsonResponse(response, 200, body.dump());
    return true;
}

void StandinEngine::handleOrder(const httplib::Request &request, httplib::Response &response)
{
    std::int64_t token = 0;
    const bool hasToken = absl::SimpleAtoi(request.get_header_value("X-Fencing-Token"), &token);
    const nlohmann::json order = nlohmann::json::parse(request.body);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool stale = this->settings.honourFencing && (!hasToken || token < this->highestFencingToken);
    this->highestFencingToken = std::max(this->highestFencingToken, token);
    this->orders.push_back({{"token", token}, {"order", order}, {"accepted", !stale}});
    if (stale) {
        ++this->counts.ordersRefused;
        setErrorResponse(response, 409, "the fencing token is stale");
    } else {
        ++this->counts.ordersAccepted;
        this->counts.ordersEffective += order == this->loadedOrder ? 0 : 1;
        this->loadedOrder = order;
        setJsonResponse(response, 200, okBody);
    }
}

void StandinEngine::crash()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        ++this->counts.crashes;
    }
    if (this->settings.onCrash) {
        this->settings.onCrash();
    }
    this->server->dropConnections();
}

void StandinEngine::applyControl(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body);
    this->scheduler.updateSpeed([&json](EngineSpeed &speed) {
        speed.slowFactor = json.value("slowFactor", speed.slowFactor);
        speed.slots = json.value("slots", speed.slots);
        speed.slowdownPerStream = json.value("growth", speed.slowdownPerStream);
        speed.tokenInterval = absl::Microseconds(json.value("tokenIntervalUs", absl::ToInt64Microseconds(speed.tokenInterval)));
        speed.promptByteTime = absl::Microseconds(json.value("promptByteUs", absl::ToInt64Microseconds(speed.promptByteTime)));
    });
    const auto readMilliseconds = [&json](const char *key, absl::Duration &value) {
        value = absl::Milliseconds(json.value(key, absl::ToInt64Milliseconds(value)));
    };
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->refuse = json.value("refuse", this->refuse);
    this->corruptEach = json.value("corruptEach", this->corruptEach);
    this->settings.honourFencing = json.value("honourFencing", this->settings.honourFencing);
    this->settings.eventGap = json.value("eventGap", this->settings.eventGap);
    readMilliseconds("loadLagMs", this->settings.loadLag);
    readMilliseconds("eventLagMs", this->settings.eventLag);
    readMilliseconds("resumeRetentionMs", this->settings.resumeRetention);
}

std::string StandinEngine::cacheEventsJson(std::uint64_t since)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t next = since;
    for (const CacheEvent &event : this->cache.events(since, absl::Now() - this->settings.eventLag, this->settings.eventGap)) {
        events.push_back({{"sequence", event.sequence}, {"kind", event.stored ? "stored" : "evicted"}, {"block", event.block}});
        next = event.sequence;
    }
    return nlohmann::json{{"events", events}, {"next", next}}.dump();
}

std::string StandinEngine::loadJson()
{
    absl::Duration lag;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        lag = this->settings.loadLag;
    }
    const EngineLoad load = this->scheduler.loadAt(absl::Now() - lag);
    return nlohmann::json{{"running", load.running}, {"waiting", load.waiting}, {"slots", this->scheduler.currentSpeed().slots}}.dump();
}

std::string StandinEngine::countersJson()
{
    const StandinEngineCounters current = this->counters();
    const std::lock_guard<std::mutex> lock(this->mutex);
    return nlohmann::json{{"started", current.started},
                          {"finished", current.finished},
                          {"cancelled", current.cancelled},
                          {"resumed", current.resumed},
                          {"crashes", current.crashes},
                          {"tokens", current.tokens},
                          {"running", current.running},
                          {"waiting", current.waiting},
                          {"maxRunning", current.maxRunning},
                          {"ordersTaken", current.ordersAccepted},
                          {"ordersRefused", current.ordersRefused},
                          {"ordersEffective", current.ordersEffective},
                          {"loaded", this->loadedOrder}}
        .dump();
}

std::string StandinEngine::runsJson(const std::string &hash)
{
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(hash, &number)) {
        return R"({"runs":0})";
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->runsByPromptHash.find(number);
    return nlohmann::json{{"runs", found == this->runsByPromptHash.end() ? 0 : found->second}}.dump();
}

} // namespace Bergamotramp
