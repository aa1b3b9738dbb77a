#include "StoreClient.h"

#include <httplib.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "LimitedJson.h"

namespace Bergamotramp {

namespace {

constexpr std::size_t maxIdleConnections = 16;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr const char *objectType = "application/octet-stream";

httplib::Headers preconditionHeaders(Precondition precondition)
{
    switch (precondition.kind) {
    case Precondition::Kind::Absent:
        return {{"If-None-Match", "*"}};
    case Precondition::Kind::Version:
        return {{"If-Match", absl::StrCat("\"", precondition.version, "\"")}};
    case Precondition::Kind::None:
        break;
    }
    return {};
}

std::uint64_t versionOf(const httplib::Response &response)
{
    std::string tag = response.get_header_value("ETag");
    std::erase(tag, '"');
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(tag, &version)) {
        throw StoreError("the response of the store has no valid ETag");
    }
    return version;
}

std::string objectPath(const std::string &key)
{
    return "/v1/objects/" + key;
}

// Only a failure to connect proves that the store has not received the call.
bool certainlyNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

nlohmann::json parseBody(const httplib::Result &result, const std::string &call)
{
    if (!result) {
        throw StoreError(absl::StrCat(call, ": ", httplib::to_string(result.error())));
    }
    if (result->status != statusOk) {
        throw StoreError(absl::StrCat(call, ": status ", result->status));
    }
    nlohmann::json body = parseLimitedJsonOrDiscard(result->body);
    if (body.is_discarded()) {
        throw StoreError(absl::StrCat(call, ": the response is not JSON"));
    }
    return body;
}

} // namespace

/** Takes a connection from the pool for one call and returns it to the pool on destruction. */
class StoreClient::PooledConnection
{
public:
    explicit PooledConnection(StoreClient &owner) : owner(owner), client(owner.acquire())
    {
    }
    ~PooledConnection()
    {
        this->owner.release(std::move(this->client));
    }
    PooledConnection(const PooledConnection &) = delete;
    PooledConnection &operator=(const PooledConnection &) = delete;
    httplib::Client *operator->()
    {
        return this->client.get();
    }

private:
    StoreClient &owner;
    std::unique_ptr<httplib::Client> client;
};

StoreClient::StoreClient(StoreSettings settings) : settings(std::move(settings))
{
}

StoreClient::~StoreClient() = default;

std::unique_ptr<httplib::Client> StoreClient::acquire()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->idleConnections.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(this->idleConnections.back());
            this->idleConnections.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>("http://" + this->settings.address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    const auto timeout = absl::ToChronoMicroseconds(this->settings.timeout);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

std::string StoreClient::describeCall(const std::string &verb, const std::string &object) const
{
    return absl::StrCat("store ", this->settings.address, ": ", verb, object);
}

void StoreClient::release(std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idleConnections.size() < maxIdleConnections) {
        this->idleConnections.push_back(std::move(client));
    }
}

std::optional<StoredObject> StoreClient::get(const std::string &key)
{
    ++this->reads;
    PooledConnection connection(*this);
    const httplib::Result result = connection->Get(objectPath(key));
    if (!result) {
        throw StoreError(absl::StrCat(this->describeCall("reading ", key), ": ", httplib::to_string(result.error())));
    }
    if (result->status == statusNotFound) {
        return std::nullopt;
    }
    if (result->status != statusOk) {
        throw StoreError(absl::StrCat(this->describeCall("reading ", key), ": status ", result->status));
    }
    return StoredObject{key, result->body, versionOf(*result)};
}

namespace {

WriteResult outcomeOf(const httplib::Result &result)
{
    if (!result) {
        return {certainlyNotSent(result.error()) ? WriteOutcome::Unavailable : WriteOutcome::Unanswered, 0};
    }
    if (result->status == statusPreconditionFailed) {
        return {WriteOutcome::Conflict, 0};
    }
    if (result->status != statusOk) {
        return {WriteOutcome::Unavailable, 0};
    }
    return {WriteOutcome::Applied, versionOf(*result)};
}

} // namespace

WriteResult StoreClient::put(const std::string &key, const std::string &value, Precondition precondition)
{
    ++this->writes;
    PooledConnection connection(*this);
    const WriteResult result = outcomeOf(connection->Put(objectPath(key), preconditionHeaders(precondition), value, objectType));
    this->unanswered += result.outcome == WriteOutcome::Unanswered ? 1 : 0;
    return result;
}

WriteResult StoreClient::remove(const std::string &key, Precondition precondition)
{
    ++this->writes;
    PooledConnection connection(*this);
    const WriteResult result = outcomeOf(connection->Delete(objectPath(key), preconditionHeaders(precondition)));
    this->unanswered += result.outcome == WriteOutcome::Unanswered ? 1 : 0;
    return result;
}

ListPage StoreClient::list(const std::string &prefix, const std::string &after, std::size_t limit, bool withValues)
{
    ++this->reads;
    PooledConnection connection(*this);
    const httplib::Params parameters = {{"prefix", prefix}, {"after", after}, {"limit", absl::StrCat(limit)}, {"values", withValues ? "1" : "0"}};
    const nlohmann::json body = parseBody(connection->Get("/v1/list", parameters, httplib::Headers{}), this->describeCall("listing ", prefix));
    try {
        ListPage page;
        for (const nlohmann::json &object : body.at("objects")) {
            page.objects.push_back({object.at("key"), object.value("value", ""), object.at("version")});
        }
        page.complete = body.at("complete");
        page.revision = body.at("revision");
        return page;
    } catch (const nlohmann::json::exception &error) {
        throw StoreError(absl::StrCat(this->describeCall("listing ", prefix), ": ", error.what()));
    }
}

WatchResult StoreClient::watch(const std::string &prefix, std::uint64_t revision, absl::Duration wait)
{
    ++this->reads;
    // The store delays its response until there is a change, so the read timeout is extended by the wait.
    PooledConnection connection(*this);
    connection->set_read_timeout(absl::ToChronoMicroseconds(this->settings.timeout + wait));
    const httplib::Params parameters = {{"prefix", prefix}, {"since", absl::StrCat(revision)}, {"timeout_ms", absl::StrCat(absl::ToInt64Milliseconds(wait))}};
    const httplib::Result result = connection->Get("/v1/watch", parameters, httplib::Headers{});
    connection->set_read_timeout(absl::ToChronoMicroseconds(this->settings.timeout));
    const nlohmann::json body = parseBody(result, this->describeCall("watching ", prefix));
    try {
        return {body.at("keys").get<std::vector<std::string>>(), body.at("revision")};
    } catch (const nlohmann::json::exception &error) {
        throw StoreError(absl::StrCat(this->describeCall("watching ", prefix), ": ", error.what()));
    }
}

std::vector<ListedHost> StoreClient::hosts()
{
    ++this->reads;
    PooledConnection connection(*this);
    const nlohmann::json body = parseBody(connection->Get("/v1/hosts"), this->describeCall("reading ", "the host list"));
    try {
        std::vector<ListedHost> hosts;
        for (const nlohmann::json &host : body.at("hosts")) {
            hosts.push_back({host.at("name"),
                             host.at("region"),
                             host.at("dataCentre"),
                             host.at("callerAddress"),
                             host.at("peerAddress"),
                             host.at("adminAddress"),
                             host.at("state") == "leaving"});
        }
        return hosts;
    } catch (const nlohmann::json::exception &error) {
        throw StoreError(absl::StrCat(this->describeCall("reading ", "the host list"), ": ", error.what()));
    }
}

StoreCallCounts StoreClient::callCounts() const
{
    return {this->reads, this->writes, this->unanswered};
}

} // namespace Bergamotramp
