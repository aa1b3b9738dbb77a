#include "UpstreamClient.h"

#include <httplib.h>

#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxIdlePerUpstream = 64;
constexpr int statusOk = 200;
constexpr absl::Duration probePause = absl::Milliseconds(5);

httplib::Request buildRequest(const UpstreamCall &call)
{
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    for (const auto &[name, value] : call.headers) {
        request.headers.emplace(name, value);
    }
    if (!call.body.empty()) {
        request.headers.emplace("Content-Type", call.contentType);
        request.body = call.body;
    }
    return request;
}

// Only a connection that was never made proves that no byte was sent.
bool certainlyNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

// httplib reports a read timeout and a closed connection alike, so the time since the last byte tells them apart.
CallOutcome outcomeOfError(httplib::Error error, absl::Duration silence, absl::Duration silenceTimeout)
{
    if (certainlyNotSent(error)) {
        return CallOutcome::NotSent;
    }
    return silence >= silenceTimeout ? CallOutcome::Silent : CallOutcome::Broken;
}

} // namespace

void CallCancellation::cancel()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->requested = true;
    if (this->action) {
        this->action();
    }
}

bool CallCancellation::cancelled() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->requested;
}

bool CallCancellation::attach(std::function<void()> newAction)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->action = std::move(newAction);
    return !this->requested;
}

void CallCancellation::detach()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->action = nullptr;
}

UpstreamClient::UpstreamClient(absl::Duration connectTimeout) : connectTimeout(connectTimeout)
{
}

UpstreamClient::~UpstreamClient() = default;

CallResult UpstreamClient::call(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation)
{
    std::string body;
    const Receiver receiver{nullptr, [&body](std::string_view piece) {
                                body.append(piece);
                                return true;
                            }};
    CallResult result = this->stream(address, call, cancellation, receiver);
    result.body = std::move(body);
    return result;
}

CallResult UpstreamClient::stream(const std::string &address, const UpstreamCall &call, CallCancellation &cancellation, const Receiver &receiver)
{
    std::unique_ptr<httplib::Client> client = this->acquire(address);
    client->set_read_timeout(absl::ToChronoMicroseconds(call.silenceTimeout));
    client->set_write_timeout(absl::ToChronoMicroseconds(call.silenceTimeout));
    CallResult result;
    absl::Time lastByte = absl::Now();
    httplib::Request request = buildRequest(call);
    request.response_handler = [&](const httplib::Response &response) {
        result.status = response.status;
        result.contentType = response.get_header_value("Content-Type");
        lastByte = absl::Now();
        if (receiver.headers) {
            receiver.headers(result.status, result.contentType);
        }
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        lastByte = absl::Now();
        return receiver.data(std::string_view(data, size));
    };
    if (!cancellation.attach([&client] { client->stop(); })) {
        result.outcome = CallOutcome::Cancelled;
        return result;
    }
    const httplib::Result answer = client->send(request);
    cancellation.detach();
    if (answer) {
        result.outcome = CallOutcome::Completed;
        this->giveBack(address, std::move(client));
    } else if (cancellation.cancelled() || answer.error() == httplib::Error::Canceled) {
        result.outcome = CallOutcome::Cancelled;
    } else {
        result.outcome = outcomeOfError(answer.error(), absl::Now() - lastByte, call.silenceTimeout);
    }
    return result;
}

ProbeResult UpstreamClient::probe(const std::string &address, absl::Duration timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    const absl::Time end = absl::Now() + timeout;
    while (true) {
        const httplib::Result answer = client.Get("/health");
        if (answer) {
            return answer->status == statusOk ? ProbeResult::Healthy : ProbeResult::Unresponsive;
        }
        // A refused connection fails at once; one that can't be made for other reasons takes the whole timeout.
        if (answer.error() == httplib::Error::Connection && absl::Now() < end) {
            return ProbeResult::Refused;
        }
        // The kernel closes a dying process's connections before its listening socket, so for a moment new ones are taken and dropped.
        if (absl::Now() + probePause >= end) {
            return ProbeResult::Unresponsive;
        }
        absl::SleepFor(probePause);
    }
}

std::unique_ptr<httplib::Client> UpstreamClient::acquire(const std::string &address)
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<std::unique_ptr<httplib::Client>> &clients = this->idle[address];
        if (!clients.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(clients.back());
            clients.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(absl::ToChronoMicroseconds(this->connectTimeout));
    return client;
}

void UpstreamClient::giveBack(const std::string &address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::unique_ptr<httplib::Client>> &clients = this->idle[address];
    if (clients.size() < maxIdlePerUpstream) {
        clients.push_back(std::move(client));
    }
}

} // namespace Bergamotramp
