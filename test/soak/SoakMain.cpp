#include <csignal>
#include <filesystem>
#include <iostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "SoakCallers.h"
#include "SoakFaults.h"
#include "SoakJobs.h"

namespace {

using namespace Bergamotramp;

constexpr absl::Duration checkPeriod = absl::Milliseconds(50);
constexpr int exitViolation = 1;
constexpr int exitError = 2;

struct SoakOptions {
    SoakSetup setup;
    std::uint64_t seed = 1;
    int callers = 16;
    int rounds = 1;
    double faultSeconds = 10.0;
    bool keepLogs = false;
};

/** One soak, from the start of its processes to the last check. */
class Soak
{
public:
    Soak(const SoakOptions &options, SoakReport &report)
        : report(report)
        , state{.report = report}
        , fleet(this->loop, options.setup, report)
        , callers(this->loop, this->fleet, this->state, options.callers, options.seed * 3 + 1)
        , jobs(
              this->loop, this->fleet, this->state, [this] { return this->callers.pickAddress(); }, options.seed * 3 + 2)
        , faults(this->loop, this->fleet, this->state, absl::Seconds(options.faultSeconds), options.rounds, options.seed, [this] { this->stopAccepting(); })
    {
        for (const std::string &file : this->fleet.runFiles()) {
            this->state.upstreamRuns.addFile(file);
        }
        this->runChecks();
    }

    void run()
    {
        this->loop.run();
        this->checkServed();
        this->jobs.checkFinished();
    }

private:
    void runChecks()
    {
        this->checkTimer = this->loop.after(checkPeriod, [this] { this->runChecks(); });
        this->fleet.checkHosts();
        this->state.upstreamRuns.poll([this](const RecordedRun &run) { this->checkRun(run); });
        const bool allDone = this->callers.openRequestCount() == 0 && this->jobs.allFinished();
        if (!this->state.accepting && (allDone || this->loop.now() > this->stoppedAcceptingAt + SoakBounds::jobCompletionTime)) {
            this->loop.stop();
        }
    }

    void checkRun(const RecordedRun &run)
    {
        this->report.increment("runs");
        const std::string detail = absl::StrCat(run.requestId, " at ", run.upstream);
        const std::size_t runs = this->state.upstreamRuns.runCount(run.requestId);
        if (this->state.reportedNotRun.contains(run.requestId)) {
            this->report.recordViolation("what is refused as not run has not run", detail);
        }
        if (this->state.singleRunRequests.contains(run.requestId) && runs > 1) {
            this->report.recordViolation("a request that may run once runs once", detail);
        }
        if (this->state.retryableRequests.contains(run.requestId) && runs > SoakBounds::maxAttempts) {
            this->report.recordViolation("a request runs no more often than its route allows", detail);
        }
        const auto drained = this->state.drainAcknowledgedAt.find(run.upstream);
        if (drained != this->state.drainAcknowledgedAt.end() && run.time > drained->second + SoakBounds::drainTime
            && this->state.isSettledAt(drained->second)) {
            this->report.recordViolation("no new request for an upstream that leaves", detail);
        }
        this->checkLeavingUpstream(run, detail);
        this->checkLimit(run, detail);
        const auto cancelled = this->state.cancelledItems.find(run.requestId);
        if (cancelled != this->state.cancelledItems.end() && run.time > cancelled->second + SoakBounds::cancelTime && this->state.isSettledAt(run.time)) {
            this->report.recordViolation("the items of an ended job do not run", detail);
        }
    }

    /** In calm times; planned stops of hosts and the maintenance of upstreams go on meanwhile. */
    void checkLimit(const RecordedRun &run, const std::string &detail)
    {
        const auto found = this->state.statedLimits.find(run.upstream);
        if (found == this->state.statedLimits.end()) {
            return;
        }
        SoakState::StatedLimit &limit = found->second;
        if (run.time < limit.from + SoakBounds::limitNoticeTime || run.time > limit.until || !this->state.isSettledAt(limit.from)) {
            return;
        }
        limit.runs.push_back(run.time);
        while (limit.runs.front() < run.time - SoakBounds::limitWindow) {
            limit.runs.pop_front();
        }
        const double allowed = SoakBounds::limitShare * limit.requestsPerSecond * absl::ToDoubleSeconds(SoakBounds::limitWindow) + SoakBounds::limitExtra;
        this->report.increment("runs at limited upstreams");
        if (static_cast<double>(limit.runs.size()) > allowed) {
            this->report.recordViolation("all hosts together keep the limit of an upstream",
                                         absl::StrCat(detail, ": ", limit.runs.size(), " runs, limit ", limit.requestsPerSecond));
        }
    }

    /** A restart or a pause of the host excuses it, because its state is lost or it may have handled its input late. Faults do not. */
    void checkLeavingUpstream(const RecordedRun &run, const std::string &detail)
    {
        const auto request = this->state.sentRequests.find(run.requestId);
        if (request == this->state.sentRequests.end()) {
            return;
        }
        const auto &[address, sentAt] = request->second;
        const auto passedOn = this->state.leavingPassedOnAt.find({run.upstream, address});
        if (passedOn == this->state.leavingPassedOnAt.end() || this->fleet.interruptedAt(address) > passedOn->second) {
            return;
        }
        if (sentAt > passedOn->second + SoakBounds::drainTime) {
            this->report.recordViolation("no later request for an upstream whose statement that it leaves was passed on",
                                         absl::StrCat(detail, " from ", address, " sent ", absl::FormatDuration(sentAt - passedOn->second), " after it"));
        }
    }

    /** Stops new requests and jobs; runChecks() then ends the soak when the accepted ones are done or SoakBounds::jobCompletionTime has passed. */
    void stopAccepting()
    {
        this->report.log("no new requests and jobs; waiting for those that are open");
        this->state.accepting = false;
        this->stoppedAcceptingAt = this->loop.now();
    }

    void checkServed()
    {
        // The guarantee: at least a quarter of the requests that are sent after the recovery time succeed.
        if (this->callers.servedAfterRecovery() * 4 < this->callers.sentAfterRecovery() || this->callers.sentAfterRecovery() == 0) {
            this->report.recordViolation("service is back after the faults",
                                         absl::StrCat(this->callers.servedAfterRecovery(), " of ", this->callers.sentAfterRecovery(), " requests served"));
        }
    }

    EventLoop loop;
    SoakReport &report;
    SoakState state;
    SoakFleet fleet;
    SoakCallers callers;
    SoakJobs jobs;
    SoakFaults faults;
    absl::Time stoppedAcceptingAt = absl::InfiniteFuture();
    LoopTimer checkTimer;
};

int runSoak(const SoakOptions &options)
{
    std::filesystem::remove_all(options.setup.folder);
    std::filesystem::create_directories(options.setup.folder);
    std::cout << "soak: seed " << options.seed << ", " << options.setup.hosts << " hosts, " << options.setup.modelUpstreams + options.setup.plainUpstreams
              << " upstreams, " << options.rounds << " rounds" << std::endl;
    SoakReport report(options.setup.folder + "/soak.log", absl::Now());
    {
        Soak soak(options, report);
        soak.run();
    }
    report.print();
    if (report.hasNoViolations() && !options.keepLogs) {
        std::filesystem::remove_all(options.setup.folder);
    }
    std::cout << "soak: seed " << options.seed << (report.hasNoViolations() ? " clean" : " broken, logs in " + options.setup.folder) << std::endl;
    return report.hasNoViolations() ? 0 : exitViolation;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs entry hosts, upstreams and the store as processes under random faults and checks what callers and upstreams see.");
    SoakOptions options;
    app.add_option("--daemon", options.setup.daemon, "Path of the program bergamotramp-entryd")->required();
    app.add_option("--standins", options.setup.standinFolder, "Folder with the programs of the stand-ins")->required();
    app.add_option("--folder", options.setup.folder, "Folder for settings and logs; emptied first, kept if a guarantee is violated")->required();
    app.add_option("--seed", options.seed, "Seed for the random choices of faults, callers and jobs");
    app.add_option("--rounds", options.rounds, "Number of rounds, each a phase with faults and a fault-free phase")->check(CLI::Range(1, 1000));
    app.add_option("--fault-seconds", options.faultSeconds, "Length of each fault phase in seconds")->check(CLI::Range(1.0, 600.0));
    app.add_option("--hosts", options.setup.hosts, "Number of entry hosts")->check(CLI::Range(1, 200));
    app.add_option("--models", options.setup.modelUpstreams, "Number of model upstreams")->check(CLI::Range(1, 200));
    app.add_option("--plains", options.setup.plainUpstreams, "Number of plain upstreams")->check(CLI::Range(1, 200));
    app.add_option("--callers", options.callers, "Number of online callers")->check(CLI::Range(1, 1000));
    app.add_flag("--leave-by-statement",
                 options.setup.leaveByStatement,
                 "Upstreams that leave state it in their responses only; their registrations do not change until they end");
    app.add_flag("--keep", options.keepLogs, "Keep the logs of a run without violations");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runSoak(options);
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << '\n';
        return exitError;
    }
}
