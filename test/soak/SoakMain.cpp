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
constexpr int exitBroken = 1;
constexpr int exitFailed = 2;

struct SoakOptions {
    SoakSetup setup;
    std::uint64_t seed = 1;
    int callers = 16;
    int rounds = 1;
    double faultSeconds = 10.0;
    bool keep = false;
};

/** One soak from the start of its processes to the verdict. */
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
        , faults(this->loop, this->fleet, this->state, absl::Seconds(options.faultSeconds), options.rounds, options.seed, [this] { this->drain(); })
    {
        for (const std::string &file : this->fleet.runFiles()) {
            this->state.runs.addFile(file);
        }
        this->check();
    }

    void run()
    {
        this->loop.run();
        this->checkServed();
        this->jobs.checkFinished();
    }

private:
    void check()
    {
        this->checkTimer = this->loop.after(checkPeriod, [this] { this->check(); });
        this->fleet.checkHosts();
        this->state.runs.poll([this](const RecordedRun &run) { this->checkRun(run); });
        const bool whole = this->callers.waiting() == 0 && this->jobs.allFinished();
        if (!this->state.accepting && (whole || this->loop.now() > this->drainBegan + SoakBounds::jobsFinish)) {
            this->loop.stop();
        }
    }

    void checkRun(const RecordedRun &run)
    {
        this->report.count("runs");
        const std::string detail = absl::StrCat(run.requestId, " at ", run.upstream);
        const std::size_t runs = this->state.runs.runs(run.requestId);
        if (this->state.refused.contains(run.requestId)) {
            this->report.broken("what is refused as not run has not run", detail);
        }
        if (this->state.once.contains(run.requestId) && runs > 1) {
            this->report.broken("a request that may run once runs once", detail);
        }
        if (this->state.repeatable.contains(run.requestId) && runs > SoakBounds::maxAttempts) {
            this->report.broken("a request runs no more often than its route allows", detail);
        }
        const auto leaving = this->state.leaving.find(run.upstream);
        if (leaving != this->state.leaving.end() && run.time > leaving->second + SoakBounds::drain && this->state.calmAt(leaving->second)) {
            this->report.broken("no new request for an upstream that leaves", detail);
        }
        const auto ended = this->state.endedItems.find(run.requestId);
        if (ended != this->state.endedItems.end() && run.time > ended->second + SoakBounds::cancel && this->state.calmAt(run.time)) {
            this->report.broken("the items of an ended job do not run", detail);
        }
    }

    /** Takes no new work and waits for what is accepted. */
    void drain()
    {
        this->report.note("no new requests");
        this->state.accepting = false;
        this->drainBegan = this->loop.now();
    }

    void checkServed()
    {
        // The promise is a quarter of the requests that come later than the time to recover.
        if (this->callers.servedAfterRecovery() * 4 < this->callers.sentAfterRecovery() || this->callers.sentAfterRecovery() == 0) {
            this->report.broken("service is back after the faults",
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
    absl::Time drainBegan = absl::InfiniteFuture();
    LoopTimer checkTimer;
};

int runSoak(const SoakOptions &options)
{
    std::filesystem::remove_all(options.setup.folder);
    std::filesystem::create_directories(options.setup.folder);
    std::cout << "soak: seed " << options.seed << ", " << options.setup.hosts << " hosts, " << options.setup.models + options.setup.plains << " upstreams, "
              << options.rounds << " rounds" << std::endl;
    SoakReport report(options.setup.folder + "/soak.log", absl::Now());
    {
        Soak soak(options, report);
        soak.run();
    }
    report.print();
    if (report.clean() && !options.keep) {
        std::filesystem::remove_all(options.setup.folder);
    }
    std::cout << "soak: seed " << options.seed << (report.clean() ? " clean" : " broken, logs in " + options.setup.folder) << std::endl;
    return report.clean() ? 0 : exitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Runs the entry hosts as processes under random faults and checks what callers and upstreams see.");
    SoakOptions options;
    app.add_option("--daemon", options.setup.daemon, "The program bergamotramp-entryd")->required();
    app.add_option("--standins", options.setup.standins, "Folder of the stand-ins")->required();
    app.add_option("--folder", options.setup.folder, "Folder for settings and logs; emptied first, kept when a promise is broken")->required();
    app.add_option("--seed", options.seed, "Seed of faults and callers");
    app.add_option("--rounds", options.rounds, "Rounds of faults and calm")->check(CLI::Range(1, 1000));
    app.add_option("--fault-seconds", options.faultSeconds, "Length of each phase of faults")->check(CLI::Range(1.0, 600.0));
    app.add_option("--hosts", options.setup.hosts, "Entry hosts")->check(CLI::Range(1, 200));
    app.add_option("--models", options.setup.models, "Model upstreams")->check(CLI::Range(1, 200));
    app.add_option("--plains", options.setup.plains, "Plain upstreams")->check(CLI::Range(1, 200));
    app.add_option("--callers", options.callers, "Online callers")->check(CLI::Range(1, 1000));
    app.add_flag("--keep", options.keep, "Keep the logs of a clean run");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return runSoak(options);
    } catch (const std::exception &error) {
        std::cerr << "soak: " << error.what() << '\n';
        return exitFailed;
    }
}
