#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "HttpClient.h"
#include "TcpStream.h"

namespace Bergamotramp {

/** One connection of an HTTP client. Carries one call at a time and stays open between calls. */
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(HttpClient &client, std::string address);

    void startCall(const HttpRequest &request, HttpCallEvents events);
    /** Cancels the call with this number if it is still in progress. */
    void cancel(std::uint64_t call);
    [[nodiscard]] bool isReusable(absl::Time now) const;
    void discard();

private:
    friend class HttpClient;

    void onConnected(std::shared_ptr<TcpStream> opened);
    void connect();
    void sendRequest();
    /** Opens a new connection for the request when the reused one fails before the request is written. */
    void replaceStream();
    /**
     * Returns whether a response can arrive now. Otherwise the connection is unusable: discards it if no call is in progress, or
     * replaces it if a request is still to be sent.
     */
    bool checkResponseExpected();
    void onData(std::string_view bytes);
    void onEnded(StreamEnd how);
    /** Whether the orderly end of the connection completes the response. */
    bool endCompletesResponse();
    /** Returns whether the call is still in progress; its head callback may have cancelled it. */
    bool processHead();
    void complete();
    void fail(HttpCallError error);
    void resetParser();
    void applyKeepAliveTimeout();

    HttpClient *client;
    std::string address;
    std::shared_ptr<TcpStream> stream;
    std::string serializedRequest;
    HttpCallEvents events;
    std::unique_ptr<HttpResponseParser> parser;
    std::string unparsed;
    /** Number of calls started on this connection. */
    std::uint64_t callCount = 0;
    bool callInProgress = false;
    /** Whether a part of the current request may have reached the peer. */
    bool requestSent = false;
    bool headProcessed = false;
    /** Whether the response being read is an informational (1xx) one or belongs to another call. */
    bool skippingResponse = false;
    /** Responses that were skipped since the current call began. */
    int skippedResponses = 0;
    absl::Duration keepAliveDuration;
    absl::Time idleSince;
    absl::Time reusableUntil;
    LoopTimer idleTimer;
};

} // namespace Bergamotramp
