#pragma once

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <sys/prctl.h>
#include <sys/wait.h>

#include "ObjectStore.h"

namespace Review {

/** What was sent, answered and run, with times in milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path) : file(std::fopen(path.c_str(), "w"))
    {
        elapsedMs();
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::fprintf(this->file, "%8lld ms  ", static_cast<long long>(elapsedMs()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    FILE *file;
};

/** Stand-in for one replica. Registers itself in the store and repeats that at each heartbeat. */
class Replica
{
public:
    /** Answers one request; returns whether the connection may carry another one. */
    using Handler = std::function<bool(const Message &request, Connection &connection)>;

    Replica(ObjectStore &store, const std::string &ip, std::string id, std::string service, std::string zone, int slots, Handler handler)
        : store(store)
        , id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
        , slots(slots)
        , handler(std::move(handler))
        , born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , listener(ip, [this](Connection &connection) { this->serve(connection); })
    {
        this->registerNow();
        std::thread([this] {
            while (true) {
                sleepMs(heartbeatMs);
                this->registerNow();
            }
        }).detach();
    }

    /** The ids of the requests that have run, once for each run. */
    [[nodiscard]] std::multiset<std::string> runs()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->ran;
    }

    /** The fields that each answer to this request has. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>> answerFields(const Message &request) const
    {
        return {{"X-Request-Id", request.field("X-Request-Id")}, {"X-Response-Signature", "r." + this->id}, {"Content-Type", "application/octet-stream"}};
    }

    /** Answers after @p workMs. Ends early if the caller closes the connection. */
    [[nodiscard]] bool answerAfter(const Message &request, Connection &connection, std::int64_t workMs, const std::string &body) const
    {
        for (const std::int64_t end = elapsedMs() + workMs; elapsedMs() < end;) {
            sleepMs(std::min<std::int64_t>(5, end - elapsedMs()));
            if (connection.peerClosed()) {
                return false;
            }
        }
        return connection.send(responseText(200, this->answerFields(request), body));
    }

    /** Answers with a stream of events, @p intervalMs apart, after the one that the caller has. Ends early if the caller closes the connection. */
    [[nodiscard]] bool stream(const Message &request, Connection &connection, int events, std::int64_t intervalMs) const
    {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto &[name, value] : this->answerFields(request)) {
            head += name + ": " + (name == "Content-Type" ? "text/event-stream" : value) + "\r\n";
        }
        if (!connection.send(head + "Transfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int event = std::atoi(request.field("Last-Event-Id").c_str()) + 1; event <= events; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
            std::ostringstream chunk;
            chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
            if (!connection.send(chunk.str()) || connection.peerClosed()) {
                return false;
            }
            sleepMs(event < events ? intervalMs : 0);
        }
        return connection.send("0\r\n\r\n");
    }

private:
    static constexpr std::int64_t heartbeatMs = 1200;

    void registerNow()
    {
        this->store.put("servers",
                        this->id,
                        {{"service", this->service},
                         {"address", this->listener.address()},
                         {"zone", this->zone},
                         {"version", "v1"},
                         {"slots", this->slots},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"seq", ++this->sequence},
                         {"born", this->born}});
    }

    void serve(Connection &connection)
    {
        Message request;
        while (connection.read(request, Clock::now() + std::chrono::seconds(60)) == ReadEnd::Complete) {
            const std::string expected = request.field("X-Expect-Instance");
            if (!expected.empty() && expected != this->id) {
                connection.send(responseText(421, {{"X-Instance-Id", this->id}, {"X-Not-Executed", "1"}}, ""));
                continue;
            }
            {
                const std::lock_guard<std::mutex> lock(this->mutex);
                this->ran.insert(request.field("X-Request-Id"));
            }
            if (!this->handler(request, connection)) {
                return;
            }
        }
    }

    ObjectStore &store;
    std::string id;
    std::string service;
    std::string zone;
    int slots;
    Handler handler;
    std::int64_t born;
    std::atomic<int> sequence = 0;
    std::mutex mutex;
    std::multiset<std::string> ran;
    Listener listener;
};

/** The program of one entry host, run as a process with the command of the deploy file. */
class Host
{
public:
    /** @p values replace the placeholders of the settings' template. */
    Host(std::string name,
         const std::string &ip,
         const std::string &zone,
         const std::string &storeAddress,
         const std::vector<std::string> &seedIps,
         std::string folder)
        : name(std::move(name)), ip(ip), folder(std::move(folder))
    {
        std::vector<std::string> seeds;
        for (const std::string &seed : seedIps) {
            seeds.push_back(seed + ":8146");
        }
        const auto text = [](const std::string &value) { return nlohmann::json(value).dump(); };
        const std::vector<std::pair<std::string, std::string>> values{
            {"{{nodeName|json}}", text(this->name)},
            {"{{region|json}}", text("region-1")},
            {"{{zone|json}}", text(zone)},
            {"{{zones|json}}", nlohmann::json{{"zone-a", "region-1"}, {"zone-b", "region-1"}, {"zone-c", "region-1"}}.dump()},
            {"{{listen.front|json}}", text(this->front())},
            {"{{listen.ready|json}}", text(this->ip + ":8140")},
            {"{{listen.directory|json}}", text(this->ip + ":8143")},
            {"{{listen.control|json}}", text(this->ip + ":8146")},
            {"{{ip}}", this->ip},
            {"{{portRange.0}}", "7660"},
            {"{{platform.address|json}}", text(storeAddress)},
            {"{{seeds|json}}", nlohmann::json(seeds).dump()},
            {"{{limits.linkMbps|json}}", "1000.0"},
            {"{{bounds.graceS}}", "8"}};
        std::ifstream templateFile("deploy/entry-host.json.template");
        std::ostringstream settings;
        settings << templateFile.rdbuf();
        std::string result = settings.str();
        for (const auto &[placeholder, value] : values) {
            for (std::size_t found = 0; (found = result.find(placeholder, found)) != std::string::npos; found += value.size()) {
                result.replace(found, placeholder.size(), value);
            }
        }
        std::ofstream(this->settingsFile()) << result;
    }

    /** Starts the process; does nothing else while it is not ready. */
    void start()
    {
        const std::string settings = this->settingsFile();
        const std::string log = this->folder + "/" + this->name + ".log";
        this->process = ::fork();
        if (this->process == 0) {
            // The host ends with this program, also when that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execl("target/apps/bergamotramp-entryd", "target/apps/bergamotramp-entryd", "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
    }

    [[nodiscard]] bool waitReady(std::int64_t timeoutMs) const
    {
        for (const std::int64_t end = elapsedMs() + timeoutMs; elapsedMs() < end; sleepMs(50)) {
            const auto connection = connectTo(this->ip + ":8140");
            Message answer;
            if (connection && connection->send("GET /bergamotramp/ready HTTP/1.1\r\nHost: " + this->ip + "\r\n\r\n")
                && connection->read(answer, Clock::now() + Milliseconds(500)) == ReadEnd::Complete && answer.status == 200) {
                return true;
            }
        }
        return false;
    }

    void signal(int number) const
    {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }

    /** Whether the process has ended by itself or by a signal. */
    [[nodiscard]] bool ended()
    {
        if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
            this->process = -1;
        }
        return this->process <= 0;
    }

    void kill()
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            ::waitpid(this->process, nullptr, 0);
            this->process = -1;
        }
    }

    /** Resident memory in MB. */
    [[nodiscard]] double residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::atof(line.c_str() + 6) / 1024.0;
            }
        }
        return 0;
    }

    [[nodiscard]] std::string front() const
    {
        return this->ip + ":8144";
    }

    const std::string name;

private:
    [[nodiscard]] std::string settingsFile() const
    {
        return this->folder + "/" + this->name + ".json";
    }

    std::string ip;
    std::string folder;
    pid_t process = -1;
};

/** A folder for settings and logs, which is removed at the end, and loopback IPs of this run. */
class Run
{
public:
    Run()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "bergamotramp-review-XXXXXX").string();
        folderPath = ::mkdtemp(pattern.data());
        std::signal(SIGPIPE, SIG_IGN);
    }
    /** Removes the folder, unless KEEP_LOGS is set. */
    static void removeFolder()
    {
        if (std::getenv("KEEP_LOGS") == nullptr && !folderPath.empty()) {
            std::error_code ignored;
            std::filesystem::remove_all(folderPath, ignored);
        }
    }

    [[nodiscard]] static const std::string &folder()
    {
        return folderPath;
    }
    /** An IP that no other run uses at the same time, because ports are the same on all hosts of a deployment. */
    [[nodiscard]] std::string ip(int number) const
    {
        const int process = ::getpid();
        return "127." + std::to_string(16 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
    }
    static bool trouble()
    {
        const char *value = std::getenv("TROUBLE");
        return value == nullptr || std::string(value) != "0";
    }

private:
    inline static std::string folderPath;
};

/** The operator's configuration with these routes, and the limits of the users' sheets. */
inline nlohmann::json configOf(const nlohmann::json &routes, const std::vector<std::string> &services)
{
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &service : services) {
        list.push_back({{"name", service}, {"healthPath", "/health"}});
    }
    return {{"version", 3},
            {"routes", routes},
            {"services", list},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 20000}}}};
}

/** The text of a caller's request. */
inline std::string requestText(
    const std::string &path, const std::string &id, int deadlineMs, const std::string &body = "{}", const std::string &moreFields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + moreFields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Ends with _exit, because threads of stand-ins still run; no destructor runs then. */
[[noreturn]] inline void finish(int result)
{
    Run::removeFolder();
    std::fflush(nullptr);
    ::_exit(result);
}

} // namespace Review
