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
        const CliRun run = runWith(arguments);
        EXPECT_EQ(run.code, 0);
        EXPECT_NE(run.out.find("--output"), std::string::npos) << command.back();
        EXPECT_NE(run.out.find("Exit codes"), std::string::npos) << command.back();
    }
}

TEST(CommandsTest, usageErrorsHaveTheirOwnExitCode)
{
    EXPECT_EQ(runWith({}).code, 2);
    EXPECT_EQ(runWith({"hosts", "--admin", "nowhere"}).code, 2);
    EXPECT_EQ(runWith({"hosts"}).code, 2);
    EXPECT_EQ(runWith({"hosts", "--config", "/nonexistent"}).code, 2);
    const CliRun folder = runWith({"hosts", "--config", "/"});
    EXPECT_EQ(folder.code, 2);
    EXPECT_EQ(folder.err, "bergamotramp: /: cannot be read\n");
    EXPECT_EQ(runWith({"publish", "/nonexistent", "--admin", "127.0.0.1:1"}).err, "bergamotramp: /nonexistent: No such file or directory\n");
}

void serveJson(TestHost &host, const std::string &path, const std::string &json)
{
    host.server.Get(path, [json](const httplib::Request &, httplib::Response &response) { response.set_content(json, "application/json"); });
}

// Guards against a host that is down or behind and looks like the others in the list.
TEST(CommandsTest, hostsShowTheGenerationOfEachHost)
{
    TestHost host;
    serveJson(host,
              "/admin/hosts",
              R"({"members": [{"name": "h1", "state": "alive", "peers": [1], "admin_address": ")" + host.address() + R"("},
        {"name": "h2", "state": "alive", "admin_address": ")"
                  + deadAddress() + R"("}]})");
    serveJson(host, "/admin/status", R"({"generation": 4})");
    host.start();
    const CliRun json = runWith({"hosts", "--admin", host.address(), "--output", "json"});
    const nlohmann::json hosts = nlohmann::json::parse(json.out)["hosts"];
    EXPECT_EQ(hosts[0]["generation"], 4);
    EXPECT_EQ(hosts[1]["reachable"], false);
    const CliRun text = runWith({"hosts", "--admin", host.address()});
    EXPECT_EQ(text.out.substr(0, text.out.find("admin_address")), "name  state  reachable  generation  ");
    EXPECT_NE(text.out.find("h2    alive  false "), std::string::npos) << text.out;
}

// Guards against showing only the requests of the host that was asked as the load of an upstream.
TEST(CommandsTest, upstreamsAreAskedFromThePoolsHolder)
{
    TestHost asked;
    TestHost holder;
    serveJson(asked, "/admin/hosts", R"({"members": [{"name": "h2", "admin_address": ")" + holder.address() + R"("}]})");
    serveJson(asked, "/admin/upstreams", R"({"pools": {"m@n": {"service": "m", "holder": "h2", "local": {"u": {"in_flight": 1}}},
        "m@s": {"service": "m", "holder": "gone", "local": {"v": {"in_flight": 2}}}}})");
    serveJson(holder, "/admin/upstreams", R"({"pools": {"m@n": {"service": "m", "holder": "h2", "upstreams": {"u": {"in_flight": 7}}}}})");
    asked.start();
    holder.start();
    const nlohmann::json rows = nlohmann::json::parse(runWith({"upstreams", "--admin", asked.address(), "--output", "json"}).out)["upstreams"];
    EXPECT_EQ(rows[0]["in_flight"], 7);
    EXPECT_EQ(rows[0]["seen_by"], "holder");
    EXPECT_EQ(rows[1]["in_flight"], 2);
    EXPECT_EQ(rows[1]["seen_by"], "asked host");
}

// Guards against a lost acknowledgement that makes the operator submit the job under another key.
TEST(CommandsTest, unclearSubmissionIsRepeatedWithTheSameKey)
{
    TestHost broken;
    TestHost sound;
    std::vector<std::string> keys;
    broken.server.Post("/v1/batches", [&keys](const httplib::Request &request, httplib::Response &response) {
        keys.push_back(request.get_header_value("Idempotency-Key"));
        // A body shorter than announced: the connection ends before the answer does.
        response.set_content_provider(100, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    });
    sound.server.Post("/v1/batches", [&keys](const httplib::Request &request, httplib::Response &response) {
        keys.push_back(request.get_header_value("Idempotency-Key"));
        respondJob(response, "running");
    });
    broken.serveEntries({broken.address(), sound.address()});
    broken.start();
    sound.start();
    const CliRun run = runWith({"job", "submit", writeFile(broken, jobFile), "--service", "modelo", "--entry", broken.address(), "--output", "json"});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(keys, (std::vector<std::string>{contentDigest(jobFile), contentDigest(jobFile)}));
    EXPECT_EQ(nlohmann::json::parse(run.out)["id"], "job-1");
}

TEST(CommandsTest, unclearSubmissionWithoutOtherEntryIsUnknown)
{
    TestHost broken;
    broken.server.Post("/v1/batches", [](const httplib::Request &, httplib::Response &response) {
        response.set_content_provider(100, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    });
    broken.serveEntries({broken.address()});
    broken.start();
    const CliRun run = runWith({"job", "submit", writeFile(broken, jobFile), "--service", "modelo", "--entry", broken.address()});
    EXPECT_EQ(run.code, 5);
    EXPECT_NE(run.err.find("--key " + contentDigest(jobFile)), std::string::npos) << run.err;
}

TEST(CommandsTest, waitEndsWithTheJob)
{
    TestHost host;
    host.server.Get("/v1/batches/job-1", [](const httplib::Request &, httplib::Response &response) { respondJob(response, "cancelled"); });
    host.serveEntries({host.address()});
    host.start();
    const CliRun run = runWith({"job", "status", "job-1", "--wait", "--entry", host.address()});
    EXPECT_EQ(run.code, 1);
    EXPECT_NE(run.err.find("ended as cancelled"), std::string::npos) << run.err;
}

TEST(CommandsTest, jobFileProblemsNameTheirLines)
{
    const std::vector<std::string> problems = problemsOfJobFile("{\"custom_id\": \"a\", \"body\": {}}\nx\n{\"custom_id\": \"a\", \"body\": {}}\n", 10);
    EXPECT_EQ(problems, (std::vector<std::string>{"line 2: is not a JSON object", "line 3: custom_id: \"a\" is used twice"}));
    EXPECT_FALSE(problemsOfJobFile("\n", 10).empty());
}

// Guards against a drain that is sent to the host which was asked instead of the one that was named.
TEST(CommandsTest, drainGoesToTheNamedHost)
{
    TestHost asked;
    TestHost named;
    std::atomic<int> drains{0};
    asked.server.Get("/admin/hosts", [&named](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"members": [{"name": "h2", "adminAddress": ")" + named.address() + R"("}]})", "application/json");
    });
    named.server.Post("/admin/drain", [&drains](const httplib::Request &, httplib::Response &response) {
        ++drains;
        response.status = 202;
        response.set_content(R"({"draining": true})", "application/json");
    });
    asked.start();
    named.start();
    EXPECT_EQ(runWith({"drain", "h2", "--admin", asked.address()}).code, 0);
    EXPECT_EQ(drains, 1);
    EXPECT_EQ(runWith({"drain", "h3", "--admin", asked.address()}).code, 1);
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
    host.serveEntries({deadAddress(), host.address()});
    host.start();
}

TEST(CommandsTest, requestPrintsTokensFromTheSecondEntry)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\ndata: {\"choices\":[{\"text\":\"two\"}]}\n\ndata: [DONE]\n\n");
    const CliRun run = runWith({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(run.out, "one two\n");
}

// Guards against showing a cut-off answer as a whole one.
TEST(CommandsTest, answerWithoutEndMarkerIsUnknown)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\n");
    EXPECT_EQ(runWith({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()}).code, 5);
}

// Guards against sending a call of unknown effect twice because the answer was lost.
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
    EXPECT_EQ(runWith({"request", "--service", "vitrine", "--path", "/heat", "--method", "POST", "--entry", host.address()}).code, 5);
    EXPECT_EQ(calls, 1);
}

// Guards against an error event in mid-stream that is shown as the end of the answer.
TEST(CommandsTest, errorEventFailsTheRequest)
{
    TestHost host;
    serveStream(host, "data: {\"choices\":[{\"text\":\"one \"}]}\n\ndata: {\"error\":{\"code\":\"answer_interrupted\",\"state\":\"run\"}}\n\n");
    const CliRun run = runWith({"request", "--service", "modelo", "--prompt", "p", "--entry", host.address()});
    EXPECT_EQ(run.code, 1);
    EXPECT_NE(run.err.find("answer_interrupted"), std::string::npos) << run.err;
}

TEST(CommandsTest, exitCodesFollowTheTypedError)
{
    const auto codeOf = [](int status, const std::string &code, const std::string &state) {
        return errorOf({"h", status, nlohmann::json({{"error", {{"code", code}, {"state", state}}}}).dump()}).code();
    };
    EXPECT_EQ(codeOf(422, "key_conflict", "unknown"), ExitCode::Conflict);
    EXPECT_EQ(codeOf(409, "outcome_unknown", "unknown"), ExitCode::OutcomeUnknown);
    EXPECT_EQ(codeOf(400, "missing_key", "not_run"), ExitCode::InvalidInput);
    EXPECT_EQ(codeOf(504, "deadline_exceeded", "not_run"), ExitCode::Failed);
}

TEST(CommandsTest, timelineMergesFilesAndCountsBrokenLines)
{
    const TestHost host;
    const std::string first = writeFile(host, "{\"t\":30,\"c\":0,\"host\":\"a\",\"event\":\"answered\"}\n{\"t\":40,\"c\"");
    const std::string second = first + "-second";
    std::ofstream(second) << "{\"t\":20,\"c\":0,\"host\":\"b\",\"event\":\"granted\"}\n";
    const CliRun run = runWith({"timeline", first, second, "--output", "json"});
    EXPECT_EQ(run.code, 0);
    EXPECT_LT(run.out.find("granted"), run.out.find("answered"));
    EXPECT_NE(run.err.find("1 lines"), std::string::npos) << run.err;
    const CliRun last = runWith({"timeline", first, second, "--last", "1"});
    EXPECT_EQ(std::count(last.out.begin(), last.out.end(), '\n'), 1);
    EXPECT_NE(last.out.find("answered"), std::string::npos) << last.out;
    EXPECT_EQ(runWith({"timeline", "/nonexistent"}).code, 2);
    std::filesystem::remove(second);
}

} // namespace

} // namespace Bergamotramp
