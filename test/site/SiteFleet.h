#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "EntryHost.h"
#include "LoopRunner.h"
#include "ObjectApi.h"
#include "Platform.h"
#include "StreamUpstream.h"

namespace Bergamotramp {

/** Entry hosts before a store and upstreams that speak the platform's protocol, all on one event loop. */
class SiteFleet : public testing::Test
{
public:
    static constexpr const char *callerHost = "site.example";

    /** What a caller got. */
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

    /** Starts a host; it is not waited for. */
    RunningHost &startHost(const std::string &name);
    /** Starts hosts and waits until each is ready and knows the others. */
    void startHosts(int count);
    /** Ends a host as a crash does. */
    void kill(RunningHost &host);
    void addUpstream(const std::string &service, int events, absl::Duration eventInterval = absl::Milliseconds(5));
    void registerUpstream(const StreamUpstream &upstream, const std::string &service, const std::string &state);
    void writeConfig(int version, int timeoutMs = 5000);
    std::shared_ptr<Answer> send(
        const RunningHost &host, const std::string &method, const std::string &target, const HttpFields &fields, const std::string &body = "");
    Answer &request(const RunningHost &host, const std::string &path, const std::string &id);
    Answer &wait(const std::shared_ptr<Answer> &answer);
    /** Submits a job of @p items items and returns the status. */
    int submit(const RunningHost &host, const std::string &id, int items);
    nlohmann::json readJob(const RunningHost &host, const std::string &id, std::size_t after);
    /** Reads until all items are listed. */
    nlohmann::json readWholeJob(const RunningHost &host, const std::string &id, std::size_t items);
    [[nodiscard]] static std::string wholeStream(int events, int first = 1);

    EventLoop loop;
    int nullDevice;
    ObjectApi store{this->loop};
    std::vector<std::unique_ptr<StreamUpstream>> upstreams;
    HttpClient client{this->loop, {}};
    std::vector<std::unique_ptr<RunningHost>> hosts;
    std::vector<std::shared_ptr<Answer>> answers;
};

} // namespace Bergamotramp
