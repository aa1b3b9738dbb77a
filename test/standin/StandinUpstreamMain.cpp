#include <map>
#include <stdexcept>

#include <fcntl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "CallRefusal.h"
#include "LoopProgram.h"
#include "StandinUpstream.h"

namespace {

using namespace Bergamotramp;

constexpr std::size_t maxControlConnections = 20;

/** File with a line for each request that ran, which remains when the stand-in is killed. */
class RunLog
{
public:
    explicit RunLog(const std::string &file) : descriptor(::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600))
    {
        if (this->descriptor < 0) {
            throw std::runtime_error(file + ": cannot open the file for writing");
        }
    }

    void append(const std::string &upstreamId, const std::string &requestId) const
    {
        const std::string line = absl::StrCat(absl::ToUnixMicros(absl::Now()), " ", upstreamId, " ", requestId, "\n");
        if (::write(this->descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            throw std::runtime_error("cannot write a line to the file of --runs");
        }
    }

private:
    int descriptor;
};

/**
 * Control interface: POST /mode?value=, POST /leave, after which each response states that the upstream leaves, and POST /limit?value= with
 * the requests per second that each response states as the limit, or "none". Returns the response's status.
 */
int handleControl(StandinUpstream &upstream, const HttpRequest &request)
{
    if (request.path() == "/limit") {
        double limit = 0;
        upstream.setLimit(absl::SimpleAtod(request.query("value"), &limit) ? std::optional<double>(limit) : std::nullopt);
        return 200;
    }
    if (request.path() == "/leave") {
        upstream.setLeaving(true);
        return 200;
    }
    static const std::map<std::string, UpstreamMode> modes{{"serving", UpstreamMode::Serving},
                                                           {"full", UpstreamMode::Full},
                                                           {"silent", UpstreamMode::Silent},
                                                           {"cuts-streams", UpstreamMode::CutsStreams},
                                                           {"answers-lost", UpstreamMode::AnswersLost}};
    if (request.path() != "/mode" || !modes.contains(request.query("value"))) {
        return 404;
    }
    upstream.setMode(modes.at(request.query("value")));
    return 200;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a model engine or a plain service that speaks the platform's protocol.");
    std::string id;
    std::string runLogFile;
    std::string controlAddress = "127.0.0.1:0";
    int events = 0;
    int intervalUs = 5000;
    UpstreamOptions options;
    options.tagsResponses = true;
    options.tagsVersion = true;
    app.add_option("--id", id, "Instance id of the upstream, which requests name in X-Expect-Instance")->required();
    app.add_option("--runs", runLogFile, "File that gets a line for each request that runs")->required();
    app.add_option("--address", options.address, "Address for requests");
    app.add_option("--control", controlAddress, "Address of the control interface");
    app.add_option("--events", events, "Number of events in a response; 0 for a plain service");
    app.add_option("--interval-us", intervalUs, "Time between events, microseconds");
    app.add_option("--software-version", options.softwareVersion, "Version of the upstream's software, which each event names");
    app.add_option("--slots", options.slots, "Number of requests that run at once, 0 for no limit");
    CLI11_PARSE(app, argc, argv);
    try {
        EventLoop loop;
        const RunLog runLog(runLogFile);
        options.onRun = [&runLog, &id](const std::string &requestId) { runLog.append(id, requestId); };
        StandinUpstream upstream(loop, id, events, absl::Microseconds(intervalUs), options);
        const HttpServer controlServer(loop, controlAddress, maxControlConnections, [&upstream](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->respond(jsonResponse(handleControl(upstream, exchange->request()), "{}"));
        });
        printAddressesAndRun(loop, upstream.address() + " " + controlServer.address());
    } catch (const std::exception &error) {
        std::cerr << "standin-stream: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
