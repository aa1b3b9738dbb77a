#include <ostream>

#include <CLI/CLI.hpp>
#include <absl/strings/str_cat.h>

#include "Cli.h"
#include "StreamedCompletion.h"

namespace Bergamotramp {

namespace {

constexpr const char *eventStreamContentType = "text/event-stream";

struct RequestOptions {
    std::string service;
    std::string organisation;
    std::string key;
    std::int64_t deadlineMs = 0;
    std::string prompt;
    std::int64_t maxTokens = 64;
    std::string path;
    std::string method = "GET";
    std::string body;
};

/** Result of one attempt to stream a completion. */
struct StreamAttempt {
    CallResult result;
    std::string text;
    bool complete = false;
    /** JSON text of an error event, or the body of a response that is not an event stream. */
    std::string error;
};

UpstreamCall buildCall(const RequestOptions &options)
{
    UpstreamCall call;
    if (!options.organisation.empty()) {
        call.headers.emplace_back("X-Organisation", options.organisation);
    }
    if (!options.key.empty()) {
        call.headers.emplace_back("Idempotency-Key", options.key);
    }
    if (options.deadlineMs > 0) {
        call.headers.emplace_back("X-Deadline-Ms", absl::StrCat(options.deadlineMs));
        call.silenceTimeout = absl::Milliseconds(options.deadlineMs) + absl::Seconds(1);
    } else {
        call.silenceTimeout = absl::Seconds(60);
    }
    return call;
}

UpstreamCall buildCompletionCall(const RequestOptions &options)
{
    UpstreamCall call = buildCall(options);
    call.path = "/v1/completions";
    call.body = nlohmann::json({{"model", options.service}, {"prompt", options.prompt}, {"max_tokens", options.maxTokens}, {"stream", true}}).dump();
    return call;
}

// Prints the text as it arrives, unless the output format is JSON.
StreamAttempt attemptStream(CommandContext &context, UpstreamClient &client, const std::string &host, const UpstreamCall &call)
{
    StreamedCompletion completion([&context](std::string_view text) {
        if (!context.jsonOutput()) {
            context.out() << text << std::flush;
        }
    });
    std::string body;
    bool isStream = false;
    const UpstreamClient::Receiver receiver{[&isStream](int, const std::string &contentType) { isStream = contentType.starts_with(eventStreamContentType); },
                                            [&](std::string_view bytes) {
                                                if (isStream) {
                                                    completion.feed(bytes);
                                                } else {
                                                    body.append(bytes);
                                                }
                                                return true;
                                            }};
    CallCancellation cancellation;
    StreamAttempt attempt;
    attempt.result = client.stream(host, call, cancellation, receiver);
    attempt.text = completion.text();
    attempt.complete = completion.complete();
    attempt.error = isStream ? completion.error() : body;
    return attempt;
}

void reportStream(CommandContext &context, const std::string &host, const StreamAttempt &attempt)
{
    if (attempt.complete) {
        context.out() << (context.jsonOutput() ? nlohmann::json({{"entry", host}, {"text", attempt.text}}).dump() : "") << '\n';
        return;
    }
    if (!context.jsonOutput() && !attempt.text.empty()) {
        context.out() << '\n';
    }
    if (!attempt.error.empty() && attempt.result.outcome == CallOutcome::Completed) {
        throw makeCliError({host, attempt.result.status, attempt.error});
    }
    throw CliError(ExitCode::OutcomeUnknown, absl::StrCat(host, " sent an incomplete response: the end is missing"));
}

// Printed text can't be withdrawn, so another entry is tried only while nothing has arrived.
void requestCompletion(CommandContext &context, const RequestOptions &options)
{
    UpstreamClient client(absl::Seconds(2));
    const UpstreamCall call = buildCompletionCall(options);
    bool outcomeUnknown = false;
    for (const std::string &host : context.entryDirectory().addresses()) {
        const StreamAttempt attempt = attemptStream(context, client, host, call);
        const bool nothingArrived = attempt.text.empty() && attempt.error.empty();
        const bool connectionFailed = attempt.result.outcome != CallOutcome::Completed;
        if (!connectionFailed || !nothingArrived) {
            reportStream(context, host, attempt);
            return;
        }
        outcomeUnknown = outcomeUnknown || attempt.result.outcome != CallOutcome::NotSent;
    }
    throw CliError(outcomeUnknown ? ExitCode::OutcomeUnknown : ExitCode::Unreachable,
                   outcomeUnknown ? "no entry sent a response; the request may have run" : "no entry can be reached");
}

void callPlainService(CommandContext &context, const RequestOptions &options)
{
    UpstreamCall call = buildCall(options);
    call.method = options.method;
    call.path = absl::StrCat("/s/", percentEncode(options.service), options.path.starts_with("/") ? "" : "/", options.path);
    call.body = options.body;
    // A call that may change data is safe to repeat only with an idempotency key.
    const bool idempotent = !options.key.empty() || options.method == "GET" || options.method == "HEAD";
    const HostReply reply = context.entryClient().call(call, idempotent);
    if (!reply.succeeded()) {
        throw makeCliError(reply);
    }
    if (context.jsonOutput()) {
        context.out() << nlohmann::json({{"entry", reply.address}, {"status", reply.status}, {"body", reply.body}}).dump() << '\n';
    } else {
        context.out() << reply.body << '\n';
    }
}

void request(CommandContext &context, const RequestOptions &options)
{
    if (options.path.empty() == options.prompt.empty()) {
        throw CliError(ExitCode::InvalidInput, "give either --prompt (model service) or --path (plain service)");
    }
    if (options.path.empty()) {
        requestCompletion(context, options);
    } else {
        callPlainService(context, options);
    }
}

} // namespace

void addRequestCommand(CLI::App &app, CommandContext &context)
{
    auto options = std::make_shared<RequestOptions>();
    CLI::App *command = app.add_subcommand("request",
                                           "Send one online request. The tokens of a model service are printed as they arrive (--prompt);\n"
                                           "a plain service is called with --path. A response without its end marker ends with exit code 5.");
    command->add_option("--service", options->service, "Name of the service")->required();
    command->add_option("--prompt", options->prompt, "Prompt for a model service");
    command->add_option("--max-tokens", options->maxTokens, "Maximum number of tokens in the response")->check(CLI::Range(1, 1'000'000))->capture_default_str();
    command->add_option("--path", options->path, "Path of a plain service");
    command->add_option("--method", options->method, "Method of the plain call")->check(CLI::IsMember({"GET", "HEAD", "POST", "PUT", "DELETE"}));
    command->add_option("--body", options->body, "Body of the plain call");
    command->add_option("--key", options->key, "Idempotency key; makes it safe to retry the request on another entry");
    command->add_option("--organisation", options->organisation, "Organisation of the caller");
    command->add_option("--deadline-ms", options->deadlineMs, "Deadline in milliseconds (default: the service's)")->check(CLI::Range(1, 86'400'000));
    context.addEntryOptions(*command);
    command->callback([&context, options] { context.action = [&context, options] { request(context, *options); }; });
}

} // namespace Bergamotramp
