#include "JobCallHandler.h"

#include <algorithm>
#include <utility>

#include "CallRefusal.h"

namespace Bergamotramp {

namespace {

// Added to the wait that a request asks for, to give the other host time to answer.
constexpr absl::Duration peerResponseTimeout = absl::Milliseconds(600);
constexpr absl::Duration storeRetryAfter = absl::Milliseconds(700);
constexpr absl::Duration limitRetryAfter = absl::Seconds(1);
// A submission is answered at least this long before its caller's time budget ends.
constexpr absl::Duration responseMargin = absl::Milliseconds(300);
constexpr absl::Duration maxStoreRetryTime = absl::Seconds(3);

void respondLookupFailure(const std::shared_ptr<HttpExchange> &request, JobLookup lookup)
{
    if (lookup == JobLookup::NotFound) {
        request->respond(failureResponse(404, "no_such_job", "there is no such job or item", "not_run"));
    } else {
        request->respond(notRunResponse("store_unavailable", "the store does not answer", storeRetryAfter));
    }
}

int statusOf(SubmitResult result)
{
    switch (result) {
    case SubmitResult::Accepted:
        return 202;
    case SubmitResult::WaitingTokenLimitReached:
        return 429;
    case SubmitResult::Hidden:
        return 404;
    case SubmitResult::Unknown:
        return 504;
    case SubmitResult::Unavailable:
        break;
    }
    return 503;
}

bool hasEnded(const std::shared_ptr<HttpExchange> &exchange)
{
    return exchange == nullptr || exchange->ended();
}

} // namespace

JobCallHandler::JobCallHandler(JobCallContext callContext)
    : context(std::move(callContext))
    , notifier(this->context.loop,
               this->context.peers,
               this->context.log,
               [&client = this->context.peerClient](const std::string &address, const HttpRequest &request, absl::Duration timeout, auto done) {
                   client.send(address, request, timeout, std::move(done));
               })
{
}

void JobCallHandler::handleChangeNotice(const std::shared_ptr<HttpExchange> &request)
{
    const JobChangeNotice notice = JobChangeNotice::fromRequest(request->request());
    if (notice.header) {
        this->context.jobs.changeHeader({.removed = false, .object = *notice.header});
    } else {
        this->context.renewJobWatch();
    }
    request->respond(jsonResponse(200, "{}"));
}

void JobCallHandler::submit(const std::shared_ptr<HttpExchange> &request, const CallerCall &call, const Route &route, const CallerOrganisation &organisation)
{
    if (this->context.stopping()) {
        request->respond(notRunResponse("stopping", "this host is stopping", absl::ZeroDuration()));
        return;
    }
    SubmittedJob submission;
    try {
        submission = this->context.protocol.decodeSubmission(request->request());
    } catch (const JobFormatError &error) {
        request->respond(failureResponse(400, "bad_job", error.what(), "not_run"));
        return;
    }
    if (organisation) {
        for (BatchItem &item : submission.items) {
            this->context.protocol.removeIdentity(item.fields);
        }
    }
    const absl::Time giveUpAt = request->received() + std::min(maxStoreRetryTime, call.timeBudget - responseMargin);
    const JobSubmitter submitter{.virtualHost = call.host, .organisation = organisation};
    this->context.jobs.submit(submission, route, submitter, giveUpAt, [this, request, organisation, name = route.name](SubmitResult result) {
        switch (result) {
        case SubmitResult::Accepted:
            request->respond(jsonResponse(202, "{}"));
            break;
        case SubmitResult::WaitingTokenLimitReached: {
            HttpResponse refusal = notRunResponse("limit", "too many tokens wait on this route", limitRetryAfter);
            refusal.head.status = 429;
            request->respond(refusal);
            this->context.metrics.recordRefusal("limit", organisation.value_or(""));
            break;
        }
        case SubmitResult::Unavailable:
            request->respond(notRunResponse("store_unavailable", "the store can't take the job", storeRetryAfter));
            break;
        case SubmitResult::Unknown:
            request->respond(unknownOutcomeResponse("store_unanswered", "the store did not answer"));
            break;
        case SubmitResult::Hidden:
            respondLookupFailure(request, JobLookup::NotFound);
            break;
        }
        this->context.metrics.recordResponse(name, statusOf(result), this->context.loop.now() - request->received());
    });
}

void JobCallHandler::handle(const std::shared_ptr<HttpExchange> &request, const CallerCall &call, const CallerOrganisation &organisation)
{
    if (!organisation) {
        this->answer(request, call);
        return;
    }
    this->context.jobs.locate(call.id, [this, request, call, organisation](JobLookup result, const JobLocation &location) {
        const JobAccess access = result == JobLookup::Found ? jobAccess(location.organisation, organisation) : JobAccess::Allowed;
        if (result != JobLookup::Found) {
            respondLookupFailure(request, result);
        } else if (access == JobAccess::Allowed) {
            this->answer(request, call);
        } else {
            this->refuseAccess(request, call, access, *organisation);
        }
    });
}

void JobCallHandler::refuseAccess(const std::shared_ptr<HttpExchange> &request, const CallerCall &call, JobAccess access, const std::string &organisation)
{
    const std::string code = access == JobAccess::KeyRequired ? "no_key" : "other_organisation";
    this->context.log.write("job_access_refused", {{"job", call.id}, {"code", code}, {"organisation", organisation}});
    this->context.metrics.recordRefusal(code, organisation);
    if (access == JobAccess::KeyRequired) {
        request->respond(failureResponse(401, code, "the call needs a key", "not_run"));
    } else {
        respondLookupFailure(request, JobLookup::NotFound);
    }
}

void JobCallHandler::handleForwarded(const std::shared_ptr<HttpExchange> &request, const CallerCall &call)
{
    this->rememberRead(request, call);
    this->answerLocally(request, call);
}

void JobCallHandler::answer(const std::shared_ptr<HttpExchange> &request, const CallerCall &call)
{
    this->rememberRead(request, call);
    if (call.kind == CallKind::CancelJob) {
        this->answerLocally(request, call);
        return;
    }
    this->context.jobs.locate(call.id, [this, request, call](JobLookup result, const JobLocation &location) {
        const Peer *owner = result == JobLookup::Found && location.host != this->context.host ? this->context.peers.find(location.host) : nullptr;
        if (result != JobLookup::Found) {
            respondLookupFailure(request, result);
        } else if (owner != nullptr && this->context.peers.isLive(location.host, this->context.loop.now())) {
            this->forward(request, call, *owner);
        } else {
            this->answerLocally(request, call);
        }
    });
}

void JobCallHandler::rememberRead(const std::shared_ptr<HttpExchange> &request, const CallerCall &call)
{
    std::erase_if(this->waitingReads, [](const WaitingRead &read) { return hasEnded(read.exchange.lock()); });
    if (call.kind == CallKind::ReadJob && call.wait > absl::ZeroDuration()) {
        this->waitingReads.push_back({.exchange = request, .call = call});
    }
}

void JobCallHandler::answerWaitingReads()
{
    for (WaitingRead &read : std::exchange(this->waitingReads, {})) {
        if (const auto exchange = read.exchange.lock(); !hasEnded(exchange)) {
            read.call.wait = absl::ZeroDuration();
            this->answerLocally(exchange, read.call);
        }
    }
}

void JobCallHandler::forward(const std::shared_ptr<HttpExchange> &request, const CallerCall &call, const Peer &owner)
{
    HttpRequest copy = request->request();
    copy.fields = copy.fields.endToEnd();
    this->context.protocol.removeIdentity(copy.fields);
    this->context.peerClient.send(
        owner.controlAddress, copy, call.wait + peerResponseTimeout, [this, request, call](const std::optional<HttpResponse> &response) {
            if (!response || response->head.status >= 500) {
                this->answerLocally(request, call);
                return;
            }
            request->respond({.head = {.status = response->head.status, .fields = response->head.fields.endToEnd()}, .body = response->body});
        });
}

void JobCallHandler::answerLocally(const std::shared_ptr<HttpExchange> &request, const CallerCall &call)
{
    switch (call.kind) {
    case CallKind::ReadJob:
        this->context.jobs.read(call.id, call.position, call.wait, [this, request](JobLookup result, const JobPage &page) {
            if (result == JobLookup::Found) {
                request->respond(this->context.protocol.encodePage(page));
            } else {
                respondLookupFailure(request, result);
            }
        });
        break;
    case CallKind::ReadItemBody:
        this->context.jobs.itemBody(call.id, call.itemId, [this, request](JobLookup result, const std::string &body) {
            if (result == JobLookup::Found) {
                request->respond({.head = {.status = 200, .fields = {{"Content-Type", "application/octet-stream"}}}, .body = body});
            } else {
                respondLookupFailure(request, result);
            }
        });
        break;
    case CallKind::CancelJob:
        this->cancel(request, call);
        break;
    case CallKind::Request:
        break;
    }
}

void JobCallHandler::cancel(const std::shared_ptr<HttpExchange> &request, const CallerCall &call)
{
    const absl::Time giveUpAt = request->received() + std::min(maxStoreRetryTime, call.timeBudget - responseMargin);
    this->context.jobs.cancel(call.id, giveUpAt, [this, request, id = call.id](JobLookup result) {
        if (result == JobLookup::Found) {
            request->respond(jsonResponse(200, "{}"));
            this->notifyRunner(id);
        } else {
            respondLookupFailure(request, result);
        }
    });
}

void JobCallHandler::notifyRunner(const std::string &jobId)
{
    const std::optional<std::string> runner = this->context.jobs.runner(jobId);
    if (runner && *runner != this->context.host) {
        this->notifier.notify(*runner, {.jobId = jobId, .header = this->context.jobs.closedHeader(jobId)});
    }
}

} // namespace Bergamotramp
