#include "SlotPool.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Bergamotramp {

namespace {

constexpr std::int64_t slotsPerUpstream = 2;
constexpr absl::Duration reportPeriod = absl::Seconds(1);

ServiceSpec makeSpec()
{
    ServiceSpec spec;
    spec.name = "modelo";
    spec.slotsPerUpstream = slotsPerUpstream;
    return spec;
}

std::vector<PoolUpstream> makeUpstreams(std::size_t count, std::size_t leaving)
{
    std::vector<PoolUpstream> upstreams;
    for (std::size_t index = 0; index < count; ++index) {
        upstreams.push_back({"u" + std::to_string(index), "127.0.0.1:1", slotsPerUpstream, index < leaving});
    }
    return upstreams;
}

/** One random event; @c kind selects it and the other numbers its details. */
struct Step {
    int kind = 0;
    int first = 0;
    int second = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{" << step.kind << ", " << step.first << ", " << step.second << "}";
}

rc::Gen<std::vector<Step>> steps()
{
    return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(rc::gen::set(&Step::kind, rc::gen::inRange(0, 14)),
                                                                      rc::gen::set(&Step::first, rc::gen::inRange(0, 1000)),
                                                                      rc::gen::set(&Step::second, rc::gen::inRange(0, 1000))));
}

/** Sends random events to a pool, keeps the state that the hosts know and checks the decisions of the pool against it. */
class PoolSimulation
{
public:
    PoolSimulation() : pool(makeSpec())
    {
        this->apply(this->pool.configure(makeSpec(), makeUpstreams(3, 0), this->now));
    }

    void step(const Step &step)
    {
        switch (step.kind) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4:
            this->request(step);
            break;
        case 5:
        case 6:
        case 7:
            this->release(step);
            break;
        case 8:
            this->repeatOldRequest(step);
            break;
        case 9:
            this->withdraw(step);
            break;
        case 10:
            this->loseHost("h" + std::to_string(step.first % 3));
            break;
        case 11:
            this->leaving = static_cast<std::size_t>(step.first % 3);
            this->apply(this->pool.configure(makeSpec(), makeUpstreams(3, this->leaving), this->now));
            break;
        default:
            this->advance(absl::Milliseconds(1 + step.first));
            break;
        }
        this->check();
    }

    void checkThatAllExpire()
    {
        this->advance(absl::Seconds(100));
        for (const auto &[id, request] : this->requests) {
            RC_ASSERT(!this->waiting.contains(id));
        }
        const SlotPoolStatus status = this->pool.status(this->now);
        RC_ASSERT(status.onlineQueued + status.batchQueued + status.blockedCopies + status.suspectsQueued == 0U);
    }

private:
    struct Held {
        std::string upstream;
        bool revoked = false;
        bool suspect = false;
    };

    void request(const Step &step)
    {
        PoolRequest request;
        request.id = {"h" + std::to_string(step.first % 3), this->nextNumber++};
        request.workClass = step.second % 2 == 0 ? wire::WORK_CLASS_ONLINE : wire::WORK_CLASS_BATCH;
        request.organisation = "o" + std::to_string(step.first % 4);
        request.fingerprint = static_cast<std::uint64_t>(step.second % 7);
        request.expectedTokens = static_cast<std::uint32_t>(step.first % 5 == 0 ? 5000 : 10);
        request.grantDeadline = this->now + absl::Milliseconds(10 + 20 * step.second);
        request.completionDeadline = this->now + absl::Seconds(step.first);
        if (step.first % 6 == 0) {
            request.excludedUpstreams.emplace_back("u1");
        }
        this->requests.emplace(request.id, request);
        this->waiting.insert(request.id);
        this->apply(this->pool.request(request, this->now));
    }

    // Repeats only requests that the host still knows: it would not expect a grant for a request that was denied or
    // whose host was lost.
    void repeatOldRequest(const Step &step)
    {
        if (!this->requests.empty()) {
            const auto found = std::next(this->requests.begin(), step.first % static_cast<int>(this->requests.size()));
            const bool denied = !this->waiting.contains(found->first) && !this->held.contains(found->first) && !this->released.contains(found->first);
            if (!denied && !this->lostIds.contains(found->first)) {
                this->apply(this->pool.request(found->second, this->now));
            }
        }
    }

    void release(const Step &step)
    {
        if (this->held.empty()) {
            return;
        }
        const auto found = std::next(this->held.begin(), step.first % static_cast<int>(this->held.size()));
        const GrantId id = found->first;
        GrantOutcome outcome;
        outcome.result = step.second % 10 == 0   ? wire::SLOT_RESULT_UPSTREAM_DIED
                         : step.second % 10 == 1 ? wire::SLOT_RESULT_FAILED
                                                 : wire::SLOT_RESULT_COMPLETED;
        outcome.firstToken = absl::Milliseconds(1 + step.second);
        this->held.erase(found);
        this->released.insert(id);
        this->apply(this->pool.release(id, outcome, this->now));
    }

    // A host withdraws a waiting request, or its release arrives twice.
    void withdraw(const Step &step)
    {
        if (this->requests.empty()) {
            return;
        }
        const GrantId id = std::next(this->requests.begin(), step.first % static_cast<int>(this->requests.size()))->first;
        if (this->waiting.erase(id) == 1U || this->released.contains(id)) {
            this->released.insert(id);
            GrantOutcome outcome;
            outcome.result = wire::SLOT_RESULT_CANCELLED;
            this->apply(this->pool.release(id, outcome, this->now));
        }
    }

    void loseHost(const std::string &host)
    {
        std::erase_if(this->held, [&](const auto &item) { return item.first.host == host; });
        std::erase_if(this->waiting, [&](const GrantId &id) { return id.host == host; });
        for (const auto &[id, request] : this->requests) {
            if (id.host == host) {
                this->lostIds.insert(id);
            }
        }
        this->apply(this->pool.removeHost(host, this->now));
    }

    void advance(absl::Duration duration)
    {
        while (duration > absl::ZeroDuration()) {
            this->now += std::min(duration, reportPeriod);
            duration -= reportPeriod;
            for (const std::string host : {"h0", "h1", "h2"}) {
                std::vector<HeldGrant> report;
                for (const auto &[id, slot] : this->held) {
                    if (id.host == host) {
                        report.push_back({id.number, slot.upstream, this->requests.at(id).workClass, this->requests.at(id).fingerprint, "", 1});
                    }
                }
                this->apply(this->pool.updateHeldSlots(host, report, this->now));
            }
            this->apply(this->pool.tick(this->now));
        }
    }

    void apply(const SlotActions &actions)
    {
        for (const SlotAction &action : actions) {
            if (const auto *granted = std::get_if<SlotGranted>(&action)) {
                this->onGranted(*granted);
            } else if (const auto *denied = std::get_if<SlotDenied>(&action)) {
                RC_ASSERT(this->waiting.erase(denied->id) == 1U);
                RC_ASSERT(denied->code != SlotDenialCode::quarantined || this->requests.at(denied->id).workClass == wire::WORK_CLASS_ONLINE);
            } else if (const auto *revoked = std::get_if<SlotRevoked>(&action)) {
                RC_ASSERT(this->requests.at(revoked->id).workClass == wire::WORK_CLASS_BATCH);
                this->held.at(revoked->id).revoked = true;
            }
        }
    }

    void onGranted(const SlotGranted &granted)
    {
        const auto known = this->held.find(granted.id);
        if (known != this->held.end()) {
            RC_ASSERT(known->second.upstream == granted.upstream);
            return;
        }
        RC_ASSERT(this->waiting.erase(granted.id) == 1U);
        RC_ASSERT(granted.upstream != "u0" || this->leaving < 1);
        RC_ASSERT(granted.upstream != "u1" || this->leaving < 2);
        const PoolRequest &request = this->requests.at(granted.id);
        RC_ASSERT(request.workClass == wire::WORK_CLASS_BATCH || !this->pool.suspects().isQuarantined(request.fingerprint, this->now));
        this->held.emplace(granted.id, Held{granted.upstream, false, this->pool.suspects().mustRunAlone(request.fingerprint, this->now)});
    }

    void check()
    {
        std::map<std::string, std::int64_t> inFlight;
        std::map<std::uint64_t, std::size_t> copies;
        std::size_t suspects = 0;
        for (const auto &[id, slot] : this->held) {
            ++inFlight[slot.upstream];
            ++copies[this->requests.at(id).fingerprint];
            suspects += slot.suspect ? 1 : 0;
        }
        for (const auto &[upstream, count] : inFlight) {
            RC_ASSERT(count <= slotsPerUpstream);
        }
        for (const auto &[fingerprint, count] : copies) {
            RC_ASSERT(fingerprint == 0U || count <= SlotPool::maxCopies);
        }
        RC_ASSERT(suspects <= 1U);
        for (const auto &[id, slot] : this->held) {
            RC_ASSERT(!slot.suspect || inFlight[slot.upstream] == 1);
        }
        this->checkBatchIsRevokedForOnline();
    }

    // Online requests that any upstream can serve may wait only while as many batch grants are being revoked, or no
    // batch grant is left to revoke.
    void checkBatchIsRevokedForOnline()
    {
        std::size_t unrestrictedOnline = 0;
        for (const GrantId &id : this->waiting) {
            const PoolRequest &request = this->requests.at(id);
            const bool unrestricted = request.fingerprint == 0 && request.expectedTokens == 10 && request.excludedUpstreams.empty();
            unrestrictedOnline += request.workClass == wire::WORK_CLASS_ONLINE && unrestricted ? 1 : 0;
        }
        std::size_t revoked = 0;
        std::size_t revocable = 0;
        const SlotPoolStatus status = this->pool.status(this->now);
        for (const auto &[id, slot] : this->held) {
            bool eligible = this->requests.at(id).workClass == wire::WORK_CLASS_BATCH;
            for (const SlotPoolStatus::Upstream &upstream : status.upstreams) {
                eligible = eligible && (upstream.name != slot.upstream || (!upstream.leaving && !upstream.ejected));
            }
            revoked += eligible && slot.revoked ? 1 : 0;
            revocable += eligible && !slot.revoked ? 1 : 0;
        }
        RC_ASSERT(unrestrictedOnline <= revoked || revocable == 0U);
    }

    SlotPool pool;
    absl::Time now = absl::FromUnixSeconds(1'000'000);
    std::uint64_t nextNumber = 1;
    std::size_t leaving = 0;
    std::map<GrantId, PoolRequest> requests;
    std::set<GrantId> waiting;
    std::set<GrantId> released;
    std::set<GrantId> lostIds;
    std::map<GrantId, Held> held;
};

// Guards against more grants than slots, online requests that wait behind batch work, suspects that run together or
// beside other requests, batch items that are denied because of crashes, and requests that neither end nor expire, while hosts are lost, upstreams crash or
// leave, and messages are repeated or late.
TEST(SlotPoolPropertyTest, invariantsHoldThroughFaults)
{
    EXPECT_TRUE(rc::check([] {
        PoolSimulation simulation;
        for (const Step &step : *steps()) {
            simulation.step(step);
        }
        simulation.checkThatAllExpire();
    }));
}

// The same with longer runs, in which queues build up.
TEST(SlotPoolPropertyTest, invariantsHoldUnderLoad)
{
    EXPECT_TRUE(rc::check([] {
        PoolSimulation simulation;
        const auto many = *rc::gen::resize(600, steps());
        for (const Step &step : many) {
            simulation.step(step);
        }
        simulation.checkThatAllExpire();
    }));
}

} // namespace

} // namespace Bergamotramp
