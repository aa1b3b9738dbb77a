#include "ScenarioRunner.h"

#include <algorithm>
#include <csignal>
#include <numeric>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/time/clock.h>

#include "ScenarioHttp.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration pollPeriod = absl::Milliseconds(50);
constexpr std::size_t maxViolationsShown = 5;
constexpr std::size_t maxCallsShown = 3;
// Prefix of the field for the number of members in a state, as the host sees them; for example h1.members.dead.
constexpr std::string_view membersField = "members.";

bool compareNumbers(double left, const std::string &operation, double right)
{
    if (operation == "==") {
        return left == right;
    }
    if (operation == "!=") {
        return left != right;
    }
    if (operation == "<") {
        return left < right;
    }
    if (operation == "<=") {
        return left <= right;
    }
    if (operation == ">") {
        return left > right;
    }
    if (operation == ">=") {
        return left >= right;
    }
    throw ScenarioError(absl::StrCat("\"", operation, "\" is not one of: == != < <= > >="));
}

std::string toText(const nlohmann::json &json)
{
    return json.is_string() ? json.get<std::string>() : json.dump();
}

/** Converts a word to a JSON number, boolean or string. */
nlohmann::json parseLiteral(const std::string &word)
{
    double number = 0;
    if (absl::SimpleAtod(word, &number)) {
        return number;
    }
    return word == "true" || word == "false" ? nlohmann::json(word == "true") : nlohmann::json(word);
}

std::int64_t countCalls(const std::vector<Call> &calls, const std::function<bool(const Call &)> &matches)
{
    return std::count_if(calls.begin(), calls.end(), matches);
}

} // namespace

ScenarioRunner::ScenarioRunner(FleetPrograms programs, const std::string &folder)
    : fleet(std::move(programs), folder), jobs(this->fleet, this->history), caller(std::make_unique<Caller>(this->history))
{
    this->addTopologyHandlers();
    this->addTrafficHandlers();
    this->addFaultHandlers();
    this->addProcessHandlers();
    this->addConditionHandlers();
}

ScenarioRunner::~ScenarioRunner()
{
    // End the processes first: this ends the calls in flight, whose threads the destructor of Caller joins.
    this->caller->stop();
    for (const MemberKind kind : {MemberKind::Host, MemberKind::Engine, MemberKind::Plain, MemberKind::Platform}) {
        for (FleetMember *member : this->fleet.members(kind)) {
            member->process.reset();
        }
    }
    this->caller.reset();
}

void ScenarioRunner::addTopologyHandlers()
{
    this->handlers["platform"] = [this](const Statement &statement) { this->fleet.addPlatform(statement); };
    this->handlers["engine"] = [this](const Statement &statement) { this->fleet.addUpstream(statement, MemberKind::Engine); };
    this->handlers["plain"] = [this](const Statement &statement) { this->fleet.addUpstream(statement, MemberKind::Plain); };
    this->handlers["host"] = [this](const Statement &statement) { this->fleet.addHost(statement); };
    this->handlers["service"] = [this](const Statement &statement) { this->fleet.addService(statement); };
    this->handlers["publish"] = [this](const Statement &statement) { this->publish(statement); };
}

void ScenarioRunner::addTrafficHandlers()
{
    this->handlers["call"] = [this](const Statement &statement) { this->call(statement); };
    this->handlers["load"] = [this](const Statement &statement) { this->load(statement); };
    this->handlers["submit"] = [this](const Statement &statement) { this->submit(statement); };
    this->handlers["resubmit"] = [this](const Statement &statement) { this->jobs.submit(this->jobs.find(statement.word(0)), statement.option("via", "h1")); };
    this->handlers["cancel"] = [this](const Statement &statement) {
        if (!this->jobs.cancel(statement.word(0), statement.option("via", "h1"))) {
            throw ScenarioError("the cancellation of the job was not acknowledged");
        }
    };
}

void ScenarioRunner::addFaultHandlers()
{
    const auto platformFaults = [this](const nlohmann::json &faults) { this->fleet.control("platform", "/control/faults", faults); };
    this->handlers["outage"] = [platformFaults](const Statement &statement) { platformFaults({{"outage", statement.word(0) == "on"}}); };
    this->handlers["lose-answer"] = [platformFaults](const Statement &statement) {
        platformFaults({{"loseAnswers", statement.number("count", 1)},
                        {"loseAnswersPrefix", statement.option("prefix", "")},
                        {"loseAnswersPart", statement.option("part", "")}});
    };
    this->handlers["slow"] = [this](const Statement &statement) { this->slow(statement); };
    this->handlers["control"] = [this](const Statement &statement) {
        nlohmann::json settings = nlohmann::json::object();
        for (const auto &[key, value] : statement.options) {
            settings[key] = parseLiteral(value);
        }
        this->fleet.control(statement.word(0), "/control", settings);
    };
    this->handlers["cut"] = [this](const Statement &statement) { this->fleet.setFaults(statement.word(0), [](RouteFaults &faults) { faults.cut = true; }); };
    this->handlers["restore"] = [this](const Statement &statement) {
        this->fleet.setFaults(statement.word(0), [](RouteFaults &faults) { faults = RouteFaults(); });
        this->fleet.freezeConnections(statement.word(0), RouteFreeze::None);
    };
    this->handlers["silence"] = [this](const Statement &statement) {
        this->fleet.freezeConnections(statement.word(0), statement.flag("all") ? RouteFreeze::All : RouteFreeze::Existing);
    };
    this->handlers["lose-direction"] = [this](const Statement &statement) {
        const bool toTarget = statement.word(1) == "to-target";
        this->fleet.setFaults(statement.word(0), [toTarget](RouteFaults &faults) { (toTarget ? faults.lossToTarget : faults.lossToClient) = true; });
    };
    this->handlers["drop-answer"] = [this](const Statement &statement) {
        const std::int64_t count = statement.number("count", 1);
        this->fleet.setFaults(statement.word(0), [count](RouteFaults &faults) { faults.repliesToDrop = count; });
    };
}

void ScenarioRunner::addProcessHandlers()
{
    this->handlers["kill"] = [this](const Statement &statement) { this->fleet.member(statement.word(0)).process->kill(); };
    this->handlers["restart"] = [this](const Statement &statement) { this->fleet.restart(statement.word(0)); };
    this->handlers["freeze"] = [this](const Statement &statement) { this->fleet.setFrozen(statement.word(0), true); };
    this->handlers["thaw"] = [this](const Statement &statement) { this->fleet.setFrozen(statement.word(0), false); };
    this->handlers["stop"] = [this](const Statement &statement) { this->fleet.member(statement.word(0)).process->sendSignal(SIGTERM); };
    this->handlers["drain"] = [this](const Statement &statement) { this->drain(statement); };
    this->handlers["list"] = [this](const Statement &statement) { this->fleet.setListedState(statement.word(0), statement.word(1)); };
}

void ScenarioRunner::addConditionHandlers()
{
    this->handlers["remember"] = [this](const Statement &statement) { this->remembered[statement.word(0)] = this->valueOf(statement.word(1)); };
    this->handlers["wait-until"] = [this](const Statement &statement) { this->waitUntil(statement.text); };
    this->handlers["within"] = [this](const Statement &statement) {
        const std::string &milliseconds = statement.word(0);
        std::int64_t limit = 0;
        if (!absl::SimpleAtoi(milliseconds, &limit)) {
            throw ScenarioError("\"within\" needs a number of milliseconds");
        }
        this->waitUntil(statement.text.substr(std::min(statement.text.size(), milliseconds.size() + 1)), absl::Milliseconds(limit));
    };
    this->handlers["expect"] = [this](const Statement &statement) {
        std::string foundValues;
        if (!this->evaluate(statement.text, foundValues)) {
            throw ScenarioError(absl::StrCat("expected ", statement.text, ", found ", foundValues));
        }
    };
}

std::string ScenarioRunner::run(const std::string &file, const std::vector<Statement> &statements)
{
    for (const Statement &statement : statements) {
        const std::string place = absl::StrCat(file, ":", statement.line, ": ");
        this->history.recordEvent(absl::StrCat("line ", statement.line, ": ", statement.verb, " ", statement.text));
        const auto handler = this->handlers.find(statement.verb);
        if (handler == this->handlers.end()) {
            return absl::StrCat(place, "unknown statement ", statement.verb, "\n");
        }
        try {
            handler->second(statement);
        } catch (const std::exception &error) {
            std::string report = absl::StrCat(place, error.what(), "\n");
            const std::string subject = splitList(statement.text.substr(0, statement.text.find(' ')), '.').empty()
                                            ? ""
                                            : splitList(statement.text.substr(0, statement.text.find(' ')), '.').front();
            for (const std::string &line : this->history.linesMentioning(subject)) {
                absl::StrAppend(&report, "  ", line, "\n");
            }
            return report + this->describeIncompleteCalls() + this->hostLogs();
        }
    }
    return this->checkAndReport();
}

std::string ScenarioRunner::describeIncompleteCalls()
{
    std::string text;
    std::size_t shown = 0;
    for (const Call &call : this->history.calls()) {
        if (call.completed() || shown == maxCallsShown) {
            continue;
        }
        ++shown;
        absl::StrAppend(&text, "  incomplete call ", call.id, " (", call.group, "):\n");
        for (const std::string &line : this->history.linesMentioning(call.id)) {
            if (line.find(absl::StrCat("call ", call.id, " ")) != std::string::npos) {
                absl::StrAppend(&text, "  ", line, "\n");
            }
        }
    }
    return text;
}

std::string ScenarioRunner::checkAndReport()
{
    std::string report;
    try {
        this->waitUntil("calls.open == 0");
    } catch (const ScenarioError &error) {
        absl::StrAppend(&report, "some calls did not end: ", error.what(), "\n");
    }
    std::size_t shown = 0;
    for (const Violation &violation : GuaranteeCheck(this->fleet, this->jobs, this->history).run()) {
        if (++shown > maxViolationsShown) {
            absl::StrAppend(&report, "further violations are not shown\n");
            break;
        }
        absl::StrAppend(&report, "broken guarantee: ", violation.guarantee, "\n  ", violation.subject, ": ", violation.detail, "\n");
        for (const std::string &line : this->history.linesMentioning(violation.subject)) {
            absl::StrAppend(&report, "  ", line, "\n");
        }
    }
    return report.empty() ? report : report + this->hostLogs();
}

std::string ScenarioRunner::hostLogs()
{
    std::string text;
    for (FleetMember *host : this->fleet.members(MemberKind::Host)) {
        absl::StrAppend(&text, "  log of ", host->name, ":\n", this->fleet.logTail(*host));
    }
    return text;
}

void ScenarioRunner::call(const Statement &statement)
{
    const std::int64_t count = statement.number("count", 1);
    for (std::int64_t number = 0; number < count; ++number) {
        this->caller->start(this->makePlan(statement, number));
    }
}

void ScenarioRunner::load(const Statement &statement)
{
    if (statement.label.empty()) {
        throw ScenarioError("\"load\" needs a label");
    }
    nlohmann::json summary = this->fleet.runLoad(statement).at("total");
    const auto notRun = summary.at("errors_by_state").at("not_run").get<std::int64_t>();
    summary["not_run"] = notRun;
    summary["may_have_run"] = summary.at("requests").get<std::int64_t>() - notRun;
    this->history.recordEvent(absl::StrCat("load ", statement.label, ": ", summary.dump()));
    this->loads[statement.label] = std::move(summary);
}

CallPlan ScenarioRunner::makePlan(const Statement &statement, std::int64_t number)
{
    const std::string group = statement.label.empty() ? absl::StrCat("line-", statement.line) : statement.label;
    CallPlan plan;
    plan.call.group = group;
    plan.call.id = statement.number("count", 1) == 1 ? group : absl::StrCat(group, "/", number);
    plan.call.service = statement.option("service", "");
    const nlohmann::json &service = this->fleet.service(plan.call.service);
    plan.call.plain = service.value("kind", "model") == "plain";
    plan.path = statement.option("path", "/");
    for (const nlohmann::json &route : service.value("routes", nlohmann::json::array())) {
        if (plan.path.starts_with(route.value("path", ""))) {
            plan.call.idempotent = route.value("idempotent", false);
        }
    }
    plan.call.idempotent = !plan.call.plain || (service.contains("routes") && plan.call.idempotent);
    const bool keyed = statement.flag("keyed") || (plan.call.plain && !plan.call.idempotent);
    plan.call.key = statement.option("key", keyed ? "key-" + plan.call.id : "");
    plan.call.prompt = statement.option("prompt", absl::StrCat("the prompt of call ", plan.call.id));
    plan.call.tokens = statement.number("tokens", 10);
    plan.maxAttempts = statement.number("attempts", 1);
    plan.stream = statement.option("stream", "yes") == "yes";
    plan.chat = statement.flag("chat");
    plan.organisation = statement.option("organisation", "");
    plan.deadline = statement.number("deadline-ms", 0);
    std::vector<std::string> hosts = splitList(statement.word(0), ',');
    std::rotate(hosts.begin(), hosts.begin() + number % static_cast<std::int64_t>(hosts.size()), hosts.end());
    for (const std::string &host : hosts) {
        plan.hosts.emplace_back(host, this->fleet.member(host).address());
    }
    return plan;
}

void ScenarioRunner::submit(const Statement &statement)
{
    Job job;
    job.label = statement.word(0);
    job.service = statement.option("service", "");
    job.key = statement.option("key", "job-key-" + job.label);
    job.items = statement.number("items", 1);
    job.tokens = statement.number("tokens", 3);
    job.failingItems = statement.number("failing", 0);
    this->jobs.submit(this->jobs.add(std::move(job)), statement.option("via", "h1"));
}

void ScenarioRunner::publish(const Statement &statement)
{
    nlohmann::json publication = {{"base_generation", statement.number("base", this->publishedGeneration)}, {"services", nlohmann::json::array()}};
    for (const std::string &name : statement.words) {
        publication["services"].push_back(this->fleet.service(name));
    }
    const FleetMember &host = this->fleet.member(statement.option("via", "h1"));
    const std::optional<ControlResponse> response = sendControlRequest("POST", host.adminAddress(), "/admin/publish", publication.dump());
    const nlohmann::json json = response ? response->json() : nlohmann::json();
    const std::int64_t status = response ? response->status : 0;
    this->history.recordEvent(absl::StrCat("publication at ", host.name, ": status ", status, " ", response ? response->body : "no response"));
    const std::int64_t published = json.is_object() ? json.value("generation", std::int64_t{0}) : 0;
    if (status == 200) {
        this->publishedGeneration = std::max(this->publishedGeneration, published);
    }
    if (!statement.label.empty()) {
        this->publications[statement.label] = {{"status", status}, {"generation", published}};
    } else if (status != 200) {
        throw ScenarioError(absl::StrCat("the publication failed with status ", status));
    }
}

void ScenarioRunner::slow(const Statement &statement)
{
    const std::string &name = statement.word(0);
    if (name == "platform") {
        this->fleet.control("platform", "/control/faults", {{"slowMs", statement.number("ms", 0)}});
    } else if (statement.options.contains("factor")) {
        this->fleet.control(name, "/control", {{"slowFactor", statement.number("factor", 1)}});
    } else if (this->fleet.member(name).kind == MemberKind::Plain) {
        this->fleet.control(name, "/control", {{"delayMs", statement.number("ms", 0)}});
    } else {
        const absl::Duration delay = absl::Milliseconds(statement.number("ms", 0));
        this->fleet.setFaults(name, [delay](RouteFaults &faults) { faults.delayToTarget = faults.delayToClient = delay; });
    }
}

void ScenarioRunner::drain(const Statement &statement)
{
    const FleetMember &host = this->fleet.member(statement.word(0));
    const std::optional<ControlResponse> response = sendControlRequest("POST", host.adminAddress(), "/admin/drain");
    if (!response || response->status >= 300) {
        throw ScenarioError(absl::StrCat(host.name, " did not accept the drain request"));
    }
}

void ScenarioRunner::waitUntil(const std::string &expression, absl::Duration timeout)
{
    const absl::Time end = absl::Now() + timeout;
    std::string foundValues;
    while (!this->evaluate(expression, foundValues)) {
        if (absl::Now() > end) {
            throw ScenarioError(absl::StrCat("timed out waiting until ", expression, ", found ", foundValues));
        }
        absl::SleepFor(pollPeriod);
    }
}

bool ScenarioRunner::evaluate(const std::string &expression, std::string &foundValues)
{
    const std::vector<std::string> words = splitList(expression, ' ');
    foundValues.clear();
    bool all = true;
    for (std::size_t index = 0; index < words.size(); index += 4) {
        if (index + 2 >= words.size() || (index + 3 < words.size() && words[index + 3] != "and")) {
            throw ScenarioError(absl::StrCat("\"", expression, "\" does not have the form A OP B and C OP D"));
        }
        all = this->compare(words[index], words[index + 1], words[index + 2], foundValues) && all;
    }
    return all;
}

bool ScenarioRunner::compare(const std::string &left, const std::string &operation, const std::string &right, std::string &foundValues)
{
    const nlohmann::json found = this->valueOf(left);
    const nlohmann::json expected = this->expectedValue(right);
    absl::StrAppend(&foundValues, foundValues.empty() ? "" : ", ", left, " = ", toText(found));
    if (expected != parseLiteral(right)) {
        absl::StrAppend(&foundValues, " (", right, " = ", toText(expected), ")");
    }
    if (found.is_number() && expected.is_number()) {
        return compareNumbers(found.get<double>(), operation, expected.get<double>());
    }
    const bool equal = toText(found) == toText(expected);
    if (operation != "==" && operation != "!=") {
        return false;
    }
    return equal == (operation == "==");
}

nlohmann::json ScenarioRunner::expectedValue(const std::string &word)
{
    // A factor may precede the value, for example 0.9*base.goodput.
    const std::size_t asterisk = word.find('*');
    double factor = 0;
    if (asterisk != std::string::npos && absl::SimpleAtod(word.substr(0, asterisk), &factor)) {
        const nlohmann::json value = this->expectedValue(word.substr(asterisk + 1));
        return value.is_number() ? nlohmann::json(factor * value.get<double>()) : nlohmann::json();
    }
    const auto rememberedValue = this->remembered.find(word);
    if (rememberedValue != this->remembered.end()) {
        return rememberedValue->second;
    }
    const std::size_t dot = word.find('.');
    const std::string name = word.substr(0, dot);
    const bool isPath = dot != std::string::npos && (this->fleet.has(name) || this->jobs.has(name) || this->loads.contains(name) || name == "loads");
    return isPath ? this->valueOf(word) : parseLiteral(word);
}

nlohmann::json ScenarioRunner::valueOf(const std::string &path)
{
    const std::size_t dot = path.find('.');
    const std::string name = path.substr(0, dot);
    const std::string field = dot == std::string::npos ? "" : path.substr(dot + 1);
    if (this->fleet.has(name)) {
        return this->valueOfMember(this->fleet.member(name), field);
    }
    if (this->jobs.has(name)) {
        return this->valueOfJob(this->jobs.find(name), field);
    }
    if (path == "engines.alive") {
        const std::vector<FleetMember *> engines = this->fleet.members(MemberKind::Engine);
        return std::count_if(engines.begin(), engines.end(), [](FleetMember *engine) { return engine->process->alive(); });
    }
    if (name == "engines") {
        return this->sumOfEngines(field);
    }
    if (this->publications.contains(name)) {
        return this->publications[name].value(field, nlohmann::json());
    }
    if (this->loads.contains(name)) {
        return this->loads[name].value(field, nlohmann::json());
    }
    if (name == "loads") {
        return std::accumulate(this->loads.begin(), this->loads.end(), std::int64_t{0}, [&field](std::int64_t sum, const auto &load) {
            return sum + load.second.value(field, std::int64_t{0});
        });
    }
    const std::vector<Call> calls = name == "calls" ? this->history.calls() : this->history.callsInGroup(name);
    if (calls.empty() && name != "calls") {
        throw ScenarioError(absl::StrCat("no process, job, publication, load or group of calls is named ", name));
    }
    return this->valueOfGroup(calls, field);
}

nlohmann::json ScenarioRunner::valueOfGroup(const std::vector<Call> &calls, const std::string &field)
{
    if (field == "total") {
        return calls.size();
    }
    if (field == "open") {
        return countCalls(calls, [](const Call &call) { return !call.ended; });
    }
    if (field == "completed") {
        return countCalls(calls, [](const Call &call) { return call.ended && call.completed(); });
    }
    if (field == "not_run" || field == "unknown" || field == "run") {
        return countCalls(calls, [&field](const Call &call) { return call.ended && !call.completed() && call.lastExecutionState() == field; });
    }
    if (field == "late") {
        return countCalls(calls, [this](const Call &call) { return call.ended && call.timeToFirstToken() > this->firstTokenObjective(call.service); });
    }
    if (field == "attempts") {
        return std::accumulate(calls.begin(), calls.end(), std::size_t{0}, [](std::size_t sum, const Call &call) { return sum + call.attempts.size(); });
    }
    const CallAttempt last = calls.empty() || calls.front().attempts.empty() ? CallAttempt() : calls.front().attempts.back();
    if (field == "status") {
        return last.status;
    }
    if (field == "code") {
        return last.error;
    }
    if (field == "state") {
        return last.executionState;
    }
    throw ScenarioError(absl::StrCat("calls have no field ", field));
}

absl::Duration ScenarioRunner::firstTokenObjective(const std::string &service)
{
    const nlohmann::json::json_pointer pointer("/online/firstTokenMs");
    const nlohmann::json &file = this->fleet.service(service);
    if (!file.contains(pointer)) {
        throw ScenarioError(absl::StrCat("service ", service, " has no objective for the first token; set its option online.firstTokenMs"));
    }
    return absl::Milliseconds(file.at(pointer).get<std::int64_t>());
}

nlohmann::json ScenarioRunner::valueOfJob(const Job &job, const std::string &field)
{
    if (field == "acknowledged") {
        return job.acknowledged;
    }
    if (field == "answer") {
        return job.submissionStatus;
    }
    if (field == "answer-state") {
        return job.submissionErrorState;
    }
    if (!job.acknowledged) {
        return nullptr;
    }
    const nlohmann::json status = this->jobs.status(job);
    return status.is_object() ? status.value(field, nlohmann::json()) : status;
}

nlohmann::json ScenarioRunner::valueOfMember(FleetMember &member, const std::string &field)
{
    if (field == "alive") {
        return member.process->alive();
    }
    if (field == "exit") {
        const std::optional<int> code = member.process->exitCode();
        return code ? nlohmann::json(*code) : nlohmann::json("running");
    }
    if (!member.responsive()) {
        return nullptr;
    }
    if (member.kind == MemberKind::Host) {
        return this->valueOfHost(member, field);
    }
    const std::optional<ControlResponse> response = sendControlRequest("GET", member.address(), "/control/counters");
    const nlohmann::json json = response ? response->json() : nlohmann::json();
    const nlohmann::json::json_pointer pointer("/" + absl::StrReplaceAll(field, {{".", "/"}}));
    return json.is_object() && json.contains(pointer) ? json[pointer] : nlohmann::json();
}

nlohmann::json ScenarioRunner::sumOfEngines(const std::string &counter)
{
    std::int64_t sum = 0;
    for (FleetMember *engine : this->fleet.members(MemberKind::Engine)) {
        const nlohmann::json value = this->valueOfMember(*engine, counter);
        if (!value.is_number_integer()) {
            throw ScenarioError(absl::StrCat(engine->name, " has no counter ", counter));
        }
        sum += value.get<std::int64_t>();
    }
    return sum;
}

// Number of members that the host lists in @p state, including the host itself.
nlohmann::json ScenarioRunner::countMembersInState(const FleetMember &host, const std::string &state)
{
    const std::optional<ControlResponse> response = sendControlRequest("GET", host.adminAddress(), "/admin/hosts");
    const nlohmann::json json = response ? response->json() : nlohmann::json();
    if (!json.is_object() || !json.contains("hosts")) {
        return nullptr;
    }
    const nlohmann::json &hosts = json["hosts"];
    return std::count_if(hosts.begin(), hosts.end(), [&state](const nlohmann::json &member) { return member.value("state", "") == state; });
}

nlohmann::json ScenarioRunner::valueOfHost(FleetMember &host, const std::string &field)
{
    if (field == "ready") {
        const std::optional<ControlResponse> response = sendControlRequest("GET", host.adminAddress(), "/readyz");
        return response && response->status == 200;
    }
    if (field.starts_with(membersField)) {
        return ScenarioRunner::countMembersInState(host, field.substr(membersField.size()));
    }
    const bool isGeneration = field == "generation";
    const std::string path = isGeneration ? "status.generation" : field;
    const std::size_t dot = path.find('.');
    const std::optional<ControlResponse> response = sendControlRequest("GET", host.adminAddress(), "/admin/" + path.substr(0, dot));
    nlohmann::json value = response ? response->json() : nlohmann::json();
    for (const std::string &part : splitList(dot == std::string::npos ? "" : path.substr(dot + 1), '.')) {
        value = value.is_object() ? value.value(part, nlohmann::json()) : nlohmann::json();
    }
    if (isGeneration && value.is_number_integer()) {
        std::int64_t &seen = this->greatestGenerations[absl::StrCat(host.name, "/", host.startCount)];
        if (value.get<std::int64_t>() < seen) {
            throw ScenarioError(
                absl::StrCat("an accepted configuration never reverts: ", host.name, " went from generation ", seen, " back to ", value.dump()));
        }
        seen = value.get<std::int64_t>();
    }
    return value;
}

} // namespace Bergamotramp
