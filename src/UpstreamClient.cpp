#include "UpstreamClient.h"

#include <httplib.h>

#include <absl/time/clock.h>

namespace Bergamotramp {

namespace {

constexpr std::size_t maxIdlePerUpstream = 64;
constexpr int statusOk = 200;
constexpr absl::Duration probeRetryDelay = absl::Milliseconds(5);

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

// Only a connection that was not established proves that no byte was sent.
bool isKnownNotSent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout || error == httplib::Error::BindIPAddress;
}

// httplib reports the same error for a read timeout and a closed connection; the time since the last byte distinguishes them.
CallOutcome outcomeFromError(httplib::Error error, absl::Duration silence, absl::Duration silenceTimeout)
{
    if (isKnownNotSent(error)) {
        return CallOutcome::NotSent;
    }
    return silence >= silenceTimeout ? CallOutcome::TimedOut : CallOutcome::ConnectionLost;
}

} // namespace

void CallCancellation::cancel()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cancelRequested = true;
    if (this->action) {
        this->action();
    }
}

bool CallCancellation::cancelled() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->cancelRequested;
}

bool CallCancellation::attach(std::function<void()> newAction)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->action = std::move(newAction);
    return !this->cancelRequested;
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
    absl::Time lastByteTime = absl::Now();
    httplib::Request request = buildRequest(call);
    request.response_handler = [&](const httplib::Response &response) {
        result.status = response.status;
        result.contentType = response.get_header_value("Content-Type");
        lastByteTime = absl::Now();
        if (receiver.headers) {
            receiver.headers(result.status, result.contentType);
        }
        return true;
    };
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        lastByteTime = absl::Now();
        return receiver.data(std::string_view(data, size));
    };
    if (!cancellation.attach([&client] { client->stop(); })) {
        result.outcome = CallOutcome::Cancelled;
        return result;
    }
    const httplib::Result httpResult = client->send(request);
    cancellation.detach();
    if (httpResult) {
        result.outcome = CallOutcome::Completed;
        this->release(address, std::move(client));
    } else if (cancellation.cancelled() || httpResult.error() == httplib::Error::Canceled) {
        result.outcome = CallOutcome::Cancelled;
    } else {
        result.outcome = outcomeFromError(httpResult.error(), absl::Now() - lastByteTime, call.silenceTimeout);
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
        const httplib::Result httpResult = client.Get("/health");
        if (httpResult) {
            return httpResult->status == statusOk ? ProbeResult::Healthy : ProbeResult::Unresponsive;
        }
        // A refused connection fails at once. One that can't be established for other reasons fails only after the whole timeout.
        if (httpResult.error() == httplib::Error::Connection && absl::Now() < end) {
            return ProbeResult::Refused;
        }
        // When a process dies, the kernel closes its connections before its listening socket, so new connections are briefly accepted and
        // then dropped. Such a connection is tried again until it is refused.
        if (absl::Now() + probeRetryDelay >= end) {
            return ProbeResult::Unresponsive;
        }
        absl::SleepFor(probeRetryDelay);
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

void UpstreamClient::release(const std::string &address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::unique_ptr<httplib::Client>> &clients = this->idle[address];
    if (clients.size() < maxIdlePerUpstream) {
        clients.push_back(std::move(client));
    }
}

} // namespace Bergamotramp
