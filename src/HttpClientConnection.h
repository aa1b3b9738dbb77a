#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "HttpClient.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** One connection of an HTTP client; carries one call at a time and is kept between calls. */
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(HttpClient &client, std::string address);

    void begin(const HttpRequest &request, HttpCallEvents events);
    void cancel();
    [[nodiscard]] bool usable(absl::Time now) const;
    void discard();

private:
    friend class HttpClient;

    void connected(std::shared_ptr<TcpStream> opened);
    void sendRequest();
    void onData(std::string_view bytes);
    void onEnded(StreamEnd how);
    bool readHead();
    void complete();
    void fail(HttpCallError error);
    void expectResponse();
    void learnIdleTimeout();

    HttpClient *client;
    std::string address;
    std::shared_ptr<TcpStream> stream;
    std::string requestText;
    HttpCallEvents events;
    std::unique_ptr<HttpResponseParser> parser;
    std::string unparsed;
    bool busy = false;
    bool headDelivered = false;
    /** The response being read belongs to an earlier call. */
    bool skipping = false;
    absl::Duration keepFor;
    absl::Time idleUntil;
    LoopTimer idleTimer;
};

} // namespace Bergamotramp
