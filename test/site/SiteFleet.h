#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "EntryHost.h"
#include "LoopRunner.h"
#include "Platform.h"
#include "StandinObjectStore.h"
#include "StandinUpstream.h"

namespace Bergamotramp {

/** Entry hosts with stand-ins for the platform's store and upstreams, all on one event loop. */
class SiteFleet : public testing::Test
{
public:
    static constexpr const char *callerHost = "site.example";

    /** The response that a caller receives. */
    struct Answer {
        HttpHead head;
        std::string body;
        bool completed = false;
        bool failed = false;
        HttpCall call;

        [[nodiscard]] bool ended() const
        {
            return this->completed || this->failed;
        }
    };

protected:
    struct RunningHost {
        std::unique_ptr<EntryMetrics> metrics;
        std::unique_ptr<JsonLog> log;
        std::unique_ptr<EntryHost> host;
        bool stopped = false;
    };

    SiteFleet();

    /** Starts a host without waiting until it is ready. An empty @p storeAddress stands for the fleet's store. */
    RunningHost &startHost(const std::string &name, const std::string &storeAddress = "", const std::string &dataCentre = "a");
    /** Starts hosts and waits until each is ready and knows all others. */
    void startHosts(int count);
    /** Waits until each host that was started is ready and knows all others. */
    void waitUntilHostsKnowEachOther();
    /** Destroys a host without a planned stop, as in a crash. */
    void crashHost(RunningHost &host);
    void addUpstream(const std::string &service, int events, absl::Duration eventInterval = absl::Milliseconds(5), UpstreamOptions options = {});
    /** @p startedAtMs distinguishes the runs of an upstream under one id: its number of starts by default; 0 leaves it out. */
    void registerUpstream(const StandinUpstream &upstream, const std::string &service, const std::string &state, std::optional<std::int64_t> startedAtMs = {});
    void writeConfig(int version, int timeoutMs = 5000);
    /** Writes a configuration without the route of this name. */
    void writeConfigWithout(const std::string &route, int version);
    std::shared_ptr<Answer> send(
        const RunningHost &host, const std::string &method, const std::string &target, const HttpFields &fields, const std::string &body = "");
    /** Sends a request and waits for the whole response. */
    Answer &request(const RunningHost &host, const std::string &path, const std::string &id);
    Answer &wait(const std::shared_ptr<Answer> &answer);
    std::shared_ptr<Answer> sendSubmission(const RunningHost &host, const std::string &id, int items);
    /** Submits a job of @p items items and returns the status. */
    int submit(const RunningHost &host, const std::string &id, int items);
    /** Reads one page of results from position @p after on; an object with only the status when it is not 200. */
    nlohmann::json readJob(const RunningHost &host, const std::string &id, std::size_t after);
    /** Reads pages until all items have a result, for 40 s at the longest. */
    nlohmann::json readWholeJob(const RunningHost &host, const std::string &id, std::size_t items);
    /** The body of a stream with the events from @p first to @p events. */
    [[nodiscard]] static std::string wholeStream(int events, int first = 1);

    /** Shares of the services in the batch, plain and resumable routes of the next configuration; null for a single service. */
    nlohmann::json split;
    /** Organisations of the next configuration; null for a configuration without any. It then has no public routes either. */
    nlohmann::json organisations;
    /** Added to each request of a caller. */
    HttpFields callerFields;
    /** The calls that hosts have got from other hosts. */
    std::vector<HttpRequest> forwardedCalls;
    /** Changes the settings of each host that is started from then on. May be empty. */
    std::function<void(EntrySettings &)> adjustSettings;
    EventLoop loop;
    /** Of the hosts that are started from now on. */
    absl::Duration revocationBound = absl::ZeroDuration();
    int nullDevice;
    StandinObjectStore store{this->loop};
    std::vector<std::unique_ptr<StandinUpstream>> upstreams;
    HttpClient client{this->loop, {}};
    std::vector<std::unique_ptr<RunningHost>> hosts;
    std::vector<std::shared_ptr<Answer>> answers;
};

} // namespace Bergamotramp
