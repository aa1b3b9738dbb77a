#pragma once

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "HttpClient.h"
#include "SoakState.h"

namespace Bergamotramp {

/** Online callers: each sends one request after the other to the hosts that the directory names, and checks the answers. */
class SoakCallers
{
public:
    SoakCallers(EventLoop &loop, SoakFleet &fleet, SoakState &state, int callers, std::uint64_t seed);
    /** Ends the calls under way, whose handlers hold their requests. */
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /** Address of a host for a new request. */
    std::string pickAddress();
    /** Requests of the last recovery phase, and how many of them were served. */
    [[nodiscard]] int sentAfterRecovery() const;
    [[nodiscard]] int servedAfterRecovery() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    enum class Kind {
        Resumable,
        Stream,
        Plain,
        Once,
        NewRoute
    };
    struct Request {
        Kind kind = Kind::Plain;
        std::string id;
        std::string path;
        std::string address;
        absl::Time sent;
        int configVersion = 0;
        HttpHead head;
        std::string body;
        HttpCall call;
        LoopTimer deadline;
    };

    void askDirectory();
    void sendNext();
    void pause();
    void send(const std::shared_ptr<Request> &request);
    void answered(const std::shared_ptr<Request> &request);
    void failed(const std::shared_ptr<Request> &request, HttpCallError error);
    void unanswered(const std::shared_ptr<Request> &request);
    void checkSuccess(const Request &request);
    void checkRefusal(const Request &request);
    void finish(const std::shared_ptr<Request> &request, bool served);
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
    std::set<std::shared_ptr<Request>> open;
    std::vector<LoopTimer> pauses;
    std::size_t nextPause = 0;
    int sent = 0;
    int recoverySent = 0;
    int recoveryServed = 0;
};

} // namespace Bergamotramp
