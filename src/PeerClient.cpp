#include "PeerClient.h"

#include <utility>

namespace Bergamotramp {

namespace {

constexpr absl::Duration connectTimeout = absl::Milliseconds(200);

} // namespace

PeerClient::PeerClient(EventLoop &loop) : loop(loop), client(loop, {.connectTimeout = connectTimeout})
{
}

PeerClient::~PeerClient()
{
    // The handlers of a call own the call, so it is cancelled to break this cycle.
    for (const auto &call : std::exchange(this->calls, {})) {
        call->timer.cancel();
        call->call.cancel();
    }
}

void PeerClient::send(const std::string &address, const HttpRequest &request, absl::Duration timeout, AnswerHandler done)
{
    const auto call = std::make_shared<Call>();
    const auto response = std::make_shared<HttpResponse>();
    this->calls.insert(call);
    const auto finish = [this, call, done = std::move(done)](const std::optional<HttpResponse> &result) {
        if (this->calls.erase(call) > 0) {
            call->timer.cancel();
            call->call.cancel();
            done(result);
        }
    };
    call->timer = this->loop.after(timeout, [finish] { finish(std::nullopt); });
    call->call = this->client.send(address,
                                   request,
                                   {.matchesRequest = {},
                                    .head = [response](const HttpHead &head) { response->head = head; },
                                    .body = [response](std::string_view bytes) { response->body.append(bytes); },
                                    .completed = [finish, response] { finish(*response); },
                                    .failed = [finish](HttpCallError) { finish(std::nullopt); }});
}

} // namespace Bergamotramp
