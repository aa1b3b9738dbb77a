#include "PeerClient.h"

#include <utility>

#include "HttpServer.h"

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
    const auto echoed = std::make_shared<bool>(false);
    const auto finish = [this, call, done = std::move(done)](const std::optional<HttpResponse> &result) {
        if (this->calls.erase(call) > 0) {
            call->timer.cancel();
            call->call.cancel();
            done(result);
        }
    };
    call->timer = this->loop.after(timeout, [finish] { finish(std::nullopt); });
    HttpRequest identified = request;
    const std::string callId = std::to_string(++this->callNumber);
    identified.fields.set(callIdField, callId);
    call->call = this->client.send(address,
                                   identified,
                                   {.matchesRequest =
                                        [callId](const HttpHead &head) {
                                            // Hosts of an earlier version do not repeat the id.
                                            return head.fields.find(callIdField).value_or(callId) == callId;
                                        },
                                    .head =
                                        [response, echoed](const HttpHead &head) {
                                            *echoed = head.fields.find(callIdField).has_value();
                                            response->head = head;
                                            response->head.fields.remove(callIdField);
                                        },
                                    .body = [response](std::string_view bytes) { response->body.append(bytes); },
                                    .completed = [finish, response] { finish(*response); },
                                    .failed = [finish](HttpCallError) { finish(std::nullopt); },
                                    .isDistinguishable = [echoed] { return *echoed; }});
}

} // namespace Bergamotramp
