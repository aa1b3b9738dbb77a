#include "ModelExchange.h"

#include <array>
#include <future>

#include <absl/time/clock.h>
#include <gtest/gtest.h>

#include "EventLog.h"
#include "Metrics.h"
#include "StandinEngine.h"
#include "StandinText.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration testTimeout = absl::Seconds(60);

StandinEngineSettings engineSettings()
{
    StandinEngineSettings settings;
    settings.speed.tokenInterval = absl::Milliseconds(20);
    return settings;
}

/** A host whose model service has two engines with one slot each. */
class ModelExchangeTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ServiceSpec spec;
        spec.name = "modelo";
        spec.slotsPerUpstream = 1;
        spec.online.reserveShare = 0.0;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            spec.upstreams.push_back({"e" + std::to_string(index), this->engines.at(index).address(), "nordeste", "recife-a", false});
        }
        Catalogue catalogue;
        catalogue.generation = 1;
        catalogue.services = {spec};
        this->services = std::make_shared<const Catalogue>(catalogue);
        this->context.settings.name = "h1";
        this->context.settings.region = "nordeste";
        this->context.transport = &this->transport;
        this->context.timers = &this->timers;
        HostInfo self;
        self.name = "h1";
        self.region = "nordeste";
        self.peerAddress = this->transport.address();
        this->context.liveHosts = [self] { return std::vector<HostInfo>{self}; };
        this->context.catalogue = [this] { return this->services; };
        this->slots = std::make_unique<SlotService>(this->context);
    }

    [[nodiscard]] ModelRequest batchRequest(const std::string &prompt, int tokens) const
    {
        ModelRequest request;
        request.id = "r1";
        request.service = *this->services->find("modelo");
        request.path = "/v1/completions";
        request.body = {{"model", "modelo"}, {"prompt", prompt}, {"max_tokens", tokens}};
        request.organisation = "acme";
        request.fingerprint = 7;
        request.workClass = wire::WORK_CLASS_BATCH;
        request.deadline = absl::Now() + testTimeout;
        request.due = absl::Now() + testTimeout;
        return request;
    }

    SlotTicket acquireOnlineSlot()
    {
        SlotDemand demand;
        demand.service = "modelo";
        demand.organisation = "acme";
        demand.deadline = absl::Now() + testTimeout;
        const auto answer = this->slots->acquire(demand, [] {});
        EXPECT_TRUE(std::holds_alternative<SlotTicket>(answer));
        return std::holds_alternative<SlotTicket>(answer) ? std::get<SlotTicket>(answer) : SlotTicket();
    }

    StandinEngine &engineOf(const SlotTicket &ticket)
    {
        return this->engines.at(ticket.upstream == "e0" ? 0 : 1);
    }

    static void waitFor(StandinEngine &engine, std::uint64_t StandinEngineCounters::*counter, std::uint64_t value)
    {
        const absl::Time limit = absl::Now() + testTimeout;
        while (engine.counters().*counter < value && absl::Now() < limit) {
            absl::SleepFor(absl::Milliseconds(1));
        }
        EXPECT_GE(engine.counters().*counter, value);
    }

    std::array<StandinEngine, 2> engines{StandinEngine(engineSettings()), StandinEngine(engineSettings())};
    Transport transport{"127.0.0.1:0", Transport::Hooks{[](const wire::Envelope &) {}, [](wire::Envelope &) {}}};
    TimerService timers;
    HostContext context;
    std::shared_ptr<const Catalogue> services;
    std::unique_ptr<SlotService> slots;
    UpstreamClient upstreams{absl::Seconds(1)};
    EventLog events{"h1", ""};
    RetryLimiter retryLimiter;
    Metrics metrics;
    WorkerPool workers{8};
};

// Guards against repeated text in an answer that is preempted twice. The second attempt is preempted before it has sent as much
// text as the first one, so the attempt that resumes it begins with text that the caller already has.
TEST_F(ModelExchangeTest, resumedStreamBehindAnEarlierAttemptRepeatsNothing)
{
    constexpr int tokens = 60;
    constexpr std::uint64_t firstTokens = 40;
    constexpr std::uint64_t secondTokens = 5;
    const GrantOutcome completed;
    SlotTicket online = this->acquireOnlineSlot();
    StandinEngine &second = this->engineOf(online);
    auto answer = std::async(std::launch::async, [this] {
        ModelExchange exchange(this->batchRequest("cut path", tokens),
                               {this->slots.get(), &this->upstreams, &this->workers, &this->events, &this->retryLimiter, &this->metrics});
        while (exchange.next()) {
        }
        return exchange.answer().text();
    });
    StandinEngine &first = &second == this->engines.data() ? this->engines[1] : this->engines[0];
    waitFor(first, &StandinEngineCounters::tokens, firstTokens);
    const SlotTicket preempting = this->acquireOnlineSlot();
    EXPECT_EQ(&this->engineOf(preempting), &first);
    this->slots->release(online, completed);
    waitFor(second, &StandinEngineCounters::tokens, secondTokens);
    online = this->acquireOnlineSlot();
    EXPECT_EQ(&this->engineOf(online), &second);
    // The engine can resume a stream once it has detected that the client disconnected.
    waitFor(second, &StandinEngineCounters::cancelled, 1);
    this->slots->release(online, completed);
    EXPECT_EQ(answer.get(), standinAnswer("cut path", tokens));
    EXPECT_EQ(second.counters().resumed, 1U);
    this->slots->release(preempting, completed);
}

} // namespace

} // namespace Bergamotramp
