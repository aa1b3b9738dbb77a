#include <filesystem>
#include <fstream>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <csignal>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "ChildProcess.h"
#include "ReservedPort.h"
#include "StandinPlatform.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration timeout = absl::Seconds(60);
constexpr int exitFailed = 1;
constexpr int exitInvalid = 2;
constexpr const char *jsonType = "application/json";
constexpr std::size_t bodyLimit = 1024;
constexpr std::size_t jobLimit = 4096;

/** A listening port on which connections are established but never served. */
class UnservedPort
{
public:
    UnservedPort() : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(bound);
        if (::bind(this->descriptor, reinterpret_cast<sockaddr *>(&bound), sizeof(bound)) != 0 || ::listen(this->descriptor, backlog) != 0) {
            throw std::runtime_error("no free port");
        }
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
        this->port = ntohs(bound.sin_port);
    }
    ~UnservedPort()
    {
        ::close(this->descriptor);
    }
    UnservedPort(const UnservedPort &) = delete;
    UnservedPort &operator=(const UnservedPort &) = delete;

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", this->port);
    }

private:
    static constexpr int backlog = 1000;

    int descriptor;
    int port = 0;
};

/** Exit code and output of a daemon that failed to start. */
struct FailedStart {
    int exitCode = 0;
    /** The lines of its output that are not log lines. */
    std::vector<std::string> lines;
};

/** Runs the daemon as a separate process. */
class StartupTest : public testing::Test
{
protected:
    StartupTest()
    {
        std::filesystem::create_directories(this->folder);
    }
    ~StartupTest() override
    {
        this->process.reset();
        std::filesystem::remove_all(this->folder);
    }

    [[nodiscard]] nlohmann::json settings() const
    {
        return {{"name", "host-1"},
                {"region", "nordeste"},
                {"dataCentre", "recife-a"},
                {"callerAddress", "127.0.0.1:0"},
                {"peerAddress", "127.0.0.1:0"},
                {"adminAddress", "127.0.0.1:0"},
                {"storeAddress", this->platform.address()},
                {"storeTimeoutMs", 100},
                {"entryTimeToLiveMs", 100},
                {"membershipPeriodMs", 100},
                {"limits", {{"bodyBytes", bodyLimit}, {"jobBytes", jobLimit}}}};
    }

    std::string write(const std::string &text) const
    {
        const std::string file = this->folder / "host.json";
        std::ofstream(file) << text;
        return file;
    }

    void launch(const std::string &file)
    {
        this->process = std::make_unique<ChildProcess>(std::vector<std::string>{BERGAMOTRAMPD, "--settings", file},
                                                       this->folder / absl::StrCat("output-", ++this->launches));
    }

    FailedStart runFailingStart(const std::string &file)
    {
        this->launch(file);
        const absl::Time limit = absl::Now() + timeout;
        while (this->process->alive() && absl::Now() < limit) {
            absl::SleepFor(absl::Milliseconds(10));
        }
        FailedStart start;
        start.exitCode = this->process->exitCode().value_or(0);
        std::ifstream output(this->process->logFile());
        for (std::string line; std::getline(output, line);) {
            if (!line.starts_with("I") && !line.starts_with("W")) {
                start.lines.push_back(line);
            }
        }
        return start;
    }

    /** Starts the daemon and returns the addresses for callers and operators. */
    std::pair<std::string, std::string> startDaemon(const nlohmann::json &settings)
    {
        this->launch(this->write(settings.dump()));
        const std::string line = this->process->waitForLine("listening ", timeout).value_or("listening ? ?");
        const std::size_t space = line.rfind(' ');
        const std::size_t first = line.find(' ') + 1;
        return {line.substr(first, space - first), line.substr(space + 1)};
    }

    int exitAfter(int signal)
    {
        this->process->sendSignal(signal);
        const absl::Time limit = absl::Now() + timeout;
        while (this->process->alive() && absl::Now() < limit) {
            absl::SleepFor(absl::Milliseconds(10));
        }
        return this->process->exitCode().value_or(-1);
    }

    StandinPlatform platform;
    std::filesystem::path folder = std::filesystem::temp_directory_path() / absl::StrCat("startup-test-", ::getpid(), "-", absl::ToUnixMicros(absl::Now()));
    std::unique_ptr<ChildProcess> process;
    int launches = 0;
};

void expectOneLine(const FailedStart &start, int exitCode, const std::string &part)
{
    EXPECT_EQ(start.exitCode, exitCode) << part;
    ASSERT_EQ(start.lines.size(), 1U) << part;
    EXPECT_TRUE(start.lines[0].starts_with("bergamotrampd: ")) << start.lines[0];
    EXPECT_NE(start.lines[0].find(part), std::string::npos) << start.lines[0];
}

void expectProblem(const httplib::Result &result, int status, const std::string &code)
{
    ASSERT_TRUE(result) << code;
    EXPECT_EQ(result->status, status) << code;
    const nlohmann::json json = nlohmann::json::parse(result->body, nullptr, false);
    ASSERT_TRUE(json.is_object() && json.contains("error")) << result->body;
    EXPECT_EQ(json["error"].value("code", ""), code);
    EXPECT_EQ(json["error"].value("state", ""), "not_run");
}

// Guards against a daemon that runs without one of its listening addresses, or exits without naming the one that is in use.
TEST_F(StartupTest, addressInUseIsNamed)
{
    const StandinPlatform portOwner;
    for (const char *key : {"callerAddress", "peerAddress", "adminAddress"}) {
        nlohmann::json settings = this->settings();
        settings[key] = portOwner.address();
        expectOneLine(this->runFailingStart(this->write(settings.dump())), exitFailed, portOwner.address());
    }
}

// Guards against a daemon that starts with broken settings or ignores part of them.
TEST_F(StartupTest, brokenSettingsAreNamed)
{
    nlohmann::json unknownKey = this->settings();
    unknownKey["peerAddres"] = "127.0.0.1:1";
    nlohmann::json wrongType = this->settings();
    wrongType["limits"]["bodyBytes"] = "many";
    for (const auto &[text, part] : std::vector<std::pair<std::string, std::string>>{{"", "not valid JSON"},
                                                                                     {"{\"name\": ", "not valid JSON"},
                                                                                     {"[]", "must be an object"},
                                                                                     {unknownKey.dump(), "peerAddres: unknown key"},
                                                                                     {wrongType.dump(), "limits.bodyBytes: must be an integer"}}) {
        const std::string file = this->write(text);
        expectOneLine(this->runFailingStart(file), exitInvalid, file);
        expectOneLine(this->runFailingStart(file), exitInvalid, part);
    }
    expectOneLine(this->runFailingStart(this->folder / "absent.json"), exitInvalid, "absent.json: cannot be read");
    expectOneLine(this->runFailingStart(this->folder), exitInvalid, this->folder.string() + ": cannot be read");
}

TEST_F(StartupTest, eventLogThatCannotBeOpenedIsNamed)
{
    nlohmann::json settings = this->settings();
    settings["eventLog"] = this->folder / "absent" / "events";
    expectOneLine(this->runFailingStart(this->write(settings.dump())), exitFailed, settings["eventLog"]);
}

// Guards against a daemon that hangs or exits because the store is unreachable. It must keep running, because peers may still send it the
// configuration.
TEST_F(StartupTest, storeThatDoesNotAnswerIsNamedAndTheHostWaitsForIt)
{
    const ReservedPort refusing;
    const UnservedPort unserved;
    for (const std::string &address : {refusing.address(), unserved.address()}) {
        nlohmann::json settings = this->settings();
        settings["storeAddress"] = address;
        const auto [callers, operators] = this->startDaemon(settings);
        httplib::Client admin("http://" + operators);
        EXPECT_EQ(admin.Get("/healthz")->status, 200);
        EXPECT_EQ(admin.Get("/readyz")->status, 503);
        httplib::Client caller("http://" + callers);
        expectProblem(caller.Post("/v1/completions", R"({"model": "modelo", "prompt": "x"})", jsonType), 404, "service_not_found");
        const auto namesStore = [&] {
            std::ifstream output(this->process->logFile());
            const std::string text{std::istreambuf_iterator<char>(output), {}};
            return text.find("store " + address) != std::string::npos;
        };
        const absl::Time limit = absl::Now() + timeout;
        while (!namesStore() && absl::Now() < limit) {
            absl::SleepFor(absl::Milliseconds(10));
        }
        EXPECT_TRUE(namesStore()) << address;
        EXPECT_EQ(this->exitAfter(SIGTERM), 0) << address;
    }
}

// Guards against requests with too large bodies that are not answered with an error code and the state "not_run".
TEST_F(StartupTest, overlongBodiesAreRefusedAsNotRun)
{
    const auto [callers, operators] = this->startDaemon(this->settings());
    httplib::Client caller("http://" + callers);
    for (const std::size_t size : {bodyLimit + 1, jobLimit + 1}) {
        expectProblem(caller.Post("/v1/completions", std::string(size, 'x'), jsonType), 413, "body_too_large");
        expectProblem(caller.Post("/s/vitrine/post", std::string(size, 'x'), jsonType), 413, "body_too_large");
    }
    httplib::Client admin("http://" + operators);
    expectProblem(admin.Post("/admin/publish", std::string(2 * 1024 * 1024, ' '), jsonType), 413, "body_too_large");
    ASSERT_EQ(admin.Post("/admin/publish", R"({"base_generation": 0, "services": [{"name": "modelo"}]})", jsonType)->status, 200);
    const httplib::Headers key = {{"Idempotency-Key", "job-1"}};
    expectProblem(caller.Post("/v1/batches?service=modelo", key, std::string(jobLimit + 1, '\n'), "application/jsonl"), 413, "job_too_large");
}

// Guards against a publication with one invalid service that takes effect in part.
TEST_F(StartupTest, brokenServicesAreNamedAndNotPublished)
{
    const auto [callers, operators] = this->startDaemon(this->settings());
    httplib::Client admin("http://" + operators);
    expectProblem(admin.Post("/admin/publish", "{", jsonType), 400, "invalid_body");
    for (const char *bad : {R"({"name": "x", "slots": 1})", R"({"name": "a/b"})", R"("x")", R"({"name": "modelo", "kind": "plain"})"}) {
        const std::string publication = absl::StrCat(R"({"base_generation": 0, "services": [{"name": "modelo"}, )", bad, "]}");
        expectProblem(admin.Post("/admin/publish", publication, jsonType), 400, "invalid_service");
    }
    EXPECT_EQ(nlohmann::json::parse(admin.Get("/admin/services")->body).at("generation"), 0);
    expectProblem(admin.Get("/admin/nowhere"), 404, "not_found");
}

} // namespace

} // namespace Bergamotramp
