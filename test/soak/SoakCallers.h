#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "HttpClient.h"
#include "SoakState.h"

namespace Bergamotramp {

/** Online callers: each sends one request at a time to a host that the directory returns, and checks the response. */
class SoakCallers
{
public:
    SoakCallers(EventLoop &loop, SoakFleet &fleet, SoakState &state, int callers, std::uint64_t seed);
    /** Cancels the open calls: the handlers of a call own its request, and the request owns the call, so neither would be freed. */
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /** Entry address of a random host among those that the directory returned last. */
    std::string pickAddress();
    /** Finished requests that were sent more than SoakBounds::recoveryTime after the last fault, and how many of them succeeded. */
    [[nodiscard]] int sentAfterRecovery() const;
    [[nodiscard]] int servedAfterRecovery() const;
    [[nodiscard]] std::size_t openRequestCount() const;

private:
    /** One kind for each route of online requests; NewRoute is the one that the newest configuration adds. */
    enum class Kind {
        ResumableStream,
        Stream,
        Plain,
        Unsafe,
        NewRoute
    };
    struct Request {
        Kind kind = Kind::Plain;
        std::string id;
        std::string path;
        std::string address;
        absl::Time sentAt;
        int configVersion = 0;
        HttpHead head;
        std::string body;
        HttpCall call;
        LoopTimer deadline;
        /** For a stream that the caller takes up: the id of the attempt that brought the first event, and the events so far. */
        std::string firstId;
        int eventsBefore = 0;
        std::string version;
    };

    void resolveHosts();
    void sendNextRequest();
    void scheduleNextRequest();
    void send(const std::shared_ptr<Request> &request);
    void recordLeavingUpstream(const Request &request);
    void handleResponse(const std::shared_ptr<Request> &request);
    void handleFailure(const std::shared_ptr<Request> &request, HttpCallError error);
    void handleTimeout(const std::shared_ptr<Request> &request);
    void checkSuccess(Request &request);
    void checkNotRun(const Request &request);
    /** Checks the complete events of a stream, also of one that broke off; returns the number of the last one. */
    int checkEvents(Request &request);
    /** Takes up a stream that broke off after some events. */
    bool takeUp(Request &broken);
    void finishRequest(const std::shared_ptr<Request> &request, bool served);
    [[nodiscard]] std::string describe(const Request &request) const;

    EventLoop &loop;
    SoakFleet &fleet;
    SoakState &state;
    std::mt19937_64 random;
    HttpClient client;
    std::vector<std::string> addresses;
    HttpCall directoryCall;
    std::string directoryBody;
    LoopTimer directoryTimer;
    LoopTimer directoryLimit;
    std::set<std::shared_ptr<Request>> openRequests;
    std::vector<LoopTimer> pauseTimers;
    std::size_t nextPauseTimer = 0;
    int sentCount = 0;
    int recoverySent = 0;
    int recoveryServed = 0;
};

} // namespace Bergamotramp
