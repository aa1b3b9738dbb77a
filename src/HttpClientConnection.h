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
    /** Ends the call of this number unless it has ended. */
    void cancel(std::uint64_t call);
    [[nodiscard]] bool usable(absl::Time now) const;
    void discard();

private:
    friend class HttpClient;

    void connected(std::shared_ptr<TcpStream> opened);
    void connect();
    void sendRequest();
    /** Goes on with a new connection when the kept one fails before the request is written. */
    void replaceStream();
    /** Whether a response is due; without one the connection is given up, or replaced for the request that waits. */
    bool responseDue();
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
    /** Calls begun on this connection. */
    std::uint64_t calls = 0;
    bool busy = false;
    /** Whether any of the present request may have reached the peer. */
    bool requestSent = false;
    bool headDelivered = false;
    /** The response being read belongs to an earlier call. */
    bool skipping = false;
    absl::Duration keepFor;
    absl::Time idleSince;
    absl::Time idleUntil;
    LoopTimer idleTimer;
};

} // namespace Bergamotramp
