#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "ContentDigest.h"
#include "JobClient.h"
#include "TestHost.h"

namespace Bergamotramp {

namespace {

constexpr const char *jobFile = "{\"custom_id\": \"a\", \"body\": {}}\n{\"custom_id\": \"b\", \"body\": {}}\n";

std::string writeFile(const TestHost &host, const std::string &text)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / ("job-test-" + host.address());
    std::ofstream(path) << text;
    return path.string();
}

void respondJob(httplib::Response &response, const std::string &state)
{
    response.set_content(R"({"id": "job-1", "state": ")" + state + R"(", "total": 2, "completed": 2, "failed": 0})", "application/json");
}

TEST(CommandsTest, everyCommandHasHelpWithExitCodes)
{
    for (const std::vector<std::string> &command : std::vector<std::vector<std::string>>{{"publish"},
                                                                                         {"services"},
                                                                                         {"hosts"},
                                                                                         {"upstreams"},
                                                                                         {"drain"},
                                                                                         {"request"},
                                                                                         {"timeline"},
                                                                                         {"load"},
                                                                                         {"job", "submit"},
                                                                                         {"job", "status"},
                                                                                         {"job", "list"}}) {
        std::vector<std::string> arguments = command;
        arguments.emplace_back("--help");
        const CliRun run = runCommand(arguments);
        EXPECT_EQ(run.code, 0);
        EXPECT_NE(run.out.find("--output"), std::string::npos) << command.back();
        EXPECT_NE(run.out.find("Exit codes"), std::string::npos) << command.back();
    }
}

TEST(CommandsTest, usageErrorsHaveTheirOwnExitCode)
{
    EXPECT_EQ(runCommand({}).code, 2);
    EXPECT_EQ(runCommand({"hosts", "--admin", "nowhere"}).code, 2);
    EXPECT_EQ(runCommand({"hosts"}).code, 2);
    EXPECT_EQ(runCommand({"hosts", "--config", "/nonexistent"}).code, 2);
    const CliRun folder = runCommand({"hosts", "--config", "/"});
    EXPECT_EQ(folder.code, 2);
    EXPECT_EQ(folder.err, "bergamotramp: /: cannot be read\n");
    EXPECT_EQ(runCommand({"publish", "/nonexistent", "--admin", "127.0.0.1:1"}).err, "bergamotramp: /nonexistent: No such file or directory\n");
}

void serveJson(TestHost &host, const std::string &path, const std::string &json)
{
    host.server.Get(path, [json](const httplib::Request &, httplib::Response &response) { response.set_content(json, "application/json"); });
}

// Guards against a host list in which an unreachable host, or one with an older generation, looks like the others.
TEST(CommandsTest, hostsShowTheGenerationOfEachHost)
{
    TestHost host;
    serveJson(host,
              "/admin/hosts",
              R"({"members": [{"name": "h1", "state": "alive", "peers": [1], "admin_address": ")" + host.address() + R"("},
        {"name": "h2", "state": "alive", "admin_address": ")"
                  + unreachableAddress() + R"("}]})");
    serveJson(host, "/admin/status", R"({"generation": 4})");
    host.start();
    const CliRun json = runCommand({"hosts", "--admin", host.address(), "--output", "json"});
    const nlohmann::json hosts = nlohmann::json::parse(json.out)["hosts"];
    EXPECT_EQ(hosts[0]["generation"], 4);
    EXPECT_EQ(hosts[1]["reachable"], false);
    const CliRun text = runCommand({"hosts", "--admin", host.address()});
    EXPECT_EQ(text.out.substr(0, text.out.find("admin_address")), "name  state  reachable  generation  ");
    EXPECT_NE(text.out.find("h2    alive  false "), std::string::npos) << text.out;
}

// Guards against reporting only the queried host's own requests as the load of an upstream. The pool holder counts those of all hosts.
TEST(CommandsTest, upstreamsAreReadFromThePoolHolder)
{
    TestHost queried;
    TestHost holder;
    serveJson(queried, "/admin/hosts", R"({"members": [{"name": "h2", "admin_address": ")" + holder.address() + R"("}]})");
    serveJson(queried, "/admin/upstreams", R"({"pools": {"m@n": {"service": "m", "holder": "h2", "local": {"u": {"in_flight": 1}}},
        "m@s": {"service": "m", "holder": "gone", "local": {"v": {"in_flight": 2}}}}})");
    serveJson(holder, "/admin/upstreams", R"({"pools": {"m@n": {"service": "m", "holder": "h2", "upstreams": {"u": {"in_flight": 7}}}}})");
    queried.start();
    holder.start();
    const nlohmann::json rows = nlohmann::json::parse(runCommand({"upstreams", "--admin", queried.address(), "--output", "json"}).out)["upstreams"];
    EXPECT_EQ(rows[0]["in_flight"], 7);
    EXPECT_EQ(rows[0]["seen_by"], "holder");
    EXPECT_EQ(rows[1]["in_flight"], 2);
    EXPECT_EQ(rows[1]["seen_by"], "asked host");
}

// Guards against a job that runs twice: when the acknowledgement is lost, the retry must use the same idempotency key.
TEST(CommandsTest, submissionWithUnknownOutcomeIsRetriedWithTheSameKey)
{
    TestHost broken;
    TestHost working;
    std::vector<std::string> keys;
    broken.server.Post("/v1/batches", [&keys](const httplib::Request &request, httplib::Response &response) {
        keys.push_back(request.get_header_value("Idempotency-Key"));
        // Sends fewer bytes than announced, so that the connection closes before the response is complete.
        response.set_content_provider(100, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    });
    working.server.Post("/v1/batches", [&keys](const httplib::Request &request, httplib::Response &response) {
        keys.push_back(request.get_header_value("Idempotency-Key"));
        respondJob(response, "running");
    });
    broken.serveEntries({broken.address(), working.address()});
    broken.start();
    working.start();
    const CliRun run = runCommand({"job", "submit", writeFile(broken, jobFile), "--service", "modelo", "--entry", broken.address(), "--output", "json"});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(keys, (std::vector<std::string>{contentDigest(jobFile), contentDigest(jobFile)}));
    EXPECT_EQ(nlohmann::json::parse(run.out)["id"], "job-1");
}

TEST(CommandsTest, submissionWithoutOtherEntryEndsAsOutcomeUnknown)
{
    TestHost broken;
    broken.server.Post("/v1/batches", [](const httplib::Request &, httplib::Response &response) {
        response.set_content_provider(100, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    });
    broken.serveEntries({broken.address()});
    broken.start();
    const CliRun run = runCommand({"job", "submit", writeFile(broken, jobFile), "--service", "modelo", "--entry", broken.address()});
    EXPECT_EQ(run.code, 5);
    EXPECT_NE(run.err.find("--key " + contentDigest(jobFile)), std::string::npos) << run.err;
}

TEST(CommandsTest, waitReturnsWhenTheJobEnds)
{
    TestHost host;
    host.server.Get("/v1/batches/job-1", [](const httplib::Request &, httplib::Response &response) { respondJob(response, "cancelled"); });
    host.serveEntries({host.address()});
    host.start();
    const CliRun run = runCommand({"job", "status", "job-1", "--wait", "--entry", host.address()});
    EXPECT_EQ(run.code, 1);
    EXPECT_NE(run.err.find("ended as cancelled"), std::string::npos) << run.err;
}

TEST(CommandsTest, jobFileProblemsNameTheLine)
{
    const std::vector<std::string> problems = validateJobFile("{\"custom_id\": \"a\", \"body\": {}}\nx\n{\"custom_id\": \"a\", \"body\": {}}\n", 10);
    EXPECT_EQ(problems, (std::vector<std::string>{"line 2: is not a JSON object", "line 3: custom_id: \"a\" is used twice"}));
    EXPECT_FALSE(validateJobFile("\n", 10).empty());
}

// Guards against draining the queried host instead of the named one.
TEST(CommandsTest, drainGoesToTheNamedHost)
{
    TestHost queried;
    TestHost named;
    std::atomic<int> drains{0};
    queried.server.Get("/admin/hosts", [&named](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"members": [{"name": "h2", "adminAddress": ")" + named.address() + R"("}]})", "application/json");
    });
    named.server.Post("/admin/drain", [&drains](const httplib::Request &, httplib::Response &response) {
        ++drains;
        response.status = 202;
        response.set_content(R"({"draining": true})", "application/json");
    });
    queried.start();
    named.start();
    EXPECT_EQ(runCommand({"drain", "h2", "--admin", queried.address()}).code, 0);
    EXPECT_EQ(drains, 1);
    EXPECT_EQ(runCommand({"drain", "h3", "--admin", queried.address()}).code, 1);
}

void serveStream(TestHost &host, const std::string &events)
{
    host.server.Post("/v1/completions", [events](const httplib::Request &, httplib::Response &response) {
        response.set_chunked_content_provider("text/event-stream", [events](std::size_t, httplib::DataSink &sink) {
            sink.write(events.data(), events.size());
            sink.done();
            return true;
        });
    });
    host.serveEntries({unreachableAddress(), host.address()});
    host.start();
}

TEST(CommandsTest, requestPrintsTokensFromTheSecondEntry)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\ndata: {\"choices\":[{\"text\":\"two\"}]}\n\ndata: [DONE]\n\n");
    const CliRun run = runCommand({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(run.out, "one two\n");
}

// Guards against reporting a truncated response as complete.
TEST(CommandsTest, responseWithoutEndMarkerEndsAsOutcomeUnknown)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\n");
    EXPECT_EQ(runCommand({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()}).code, 5);
}

// Guards against repeating a call that may change data after its response was lost.
TEST(CommandsTest, plainCallWithoutKeyIsSentOnce)
{
    TestHost host;
    std::atomic<int> calls{0};
    host.server.Post("/s/vitrine/heat", [&calls](const httplib::Request &, httplib::Response &response) {
        ++calls;
        response.set_content_provider(100, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    });
    host.serveEntries({host.address(), host.address()});
    host.start();
    EXPECT_EQ(runCommand({"request", "--service", "vitrine", "--path", "/heat", "--method", "POST", "--entry", host.address()}).code, 5);
    EXPECT_EQ(calls, 1);
}

// Guards against treating an error event in the middle of a stream as the end of a successful response.
TEST(CommandsTest, errorEventFailsTheRequest)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\ndata: {\"error\":{\"code\":\"answer_interrupted\",\"state\":\"run\"}}\n\n");
    const CliRun run = runCommand({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()});
    EXPECT_EQ(run.code, 1);
    EXPECT_NE(run.err.find("answer_interrupted"), std::string::npos) << run.err;
}

TEST(CommandsTest, exitCodesFollowTheTypedError)
{
    const auto exitCodeFor = [](int status, const std::string &code, const std::string &state) {
        return makeCliError({"h", status, nlohmann::json({{"error", {{"code", code}, {"state", state}}}}).dump()}).code();
    };
    EXPECT_EQ(exitCodeFor(422, "key_conflict", "unknown"), ExitCode::Conflict);
    EXPECT_EQ(exitCodeFor(409, "outcome_unknown", "unknown"), ExitCode::OutcomeUnknown);
    EXPECT_EQ(exitCodeFor(400, "missing_key", "not_run"), ExitCode::InvalidInput);
    EXPECT_EQ(exitCodeFor(504, "deadline_exceeded", "not_run"), ExitCode::Failed);
}

TEST(CommandsTest, timelineMergesFilesAndCountsBrokenLines)
{
    const TestHost host;
    const std::string first = writeFile(host, "{\"t\":30,\"c\":0,\"host\":\"a\",\"event\":\"answered\"}\n{\"t\":40,\"c\"");
    const std::string second = first + "-second";
    std::ofstream(second) << "{\"t\":20,\"c\":0,\"host\":\"b\",\"event\":\"granted\"}\n";
    const CliRun run = runCommand({"timeline", first, second, "--output", "json"});
    EXPECT_EQ(run.code, 0);
    EXPECT_LT(run.out.find("granted"), run.out.find("answered"));
    EXPECT_NE(run.err.find("1 lines"), std::string::npos) << run.err;
    const CliRun last = runCommand({"timeline", first, second, "--last", "1"});
    EXPECT_EQ(std::count(last.out.begin(), last.out.end(), '\n'), 1);
    EXPECT_NE(last.out.find("answered"), std::string::npos) << last.out;
    EXPECT_EQ(runCommand({"timeline", "/nonexistent"}).code, 2);
    std::filesystem::remove(second);
}

} // namespace

} // namespace Bergamotramp
