#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "EntryMetrics.h"
#include "EventLoop.h"
#include "HttpServer.h"
#include "JobAccess.h"
#include "JobChangeNotifier.h"
#include "JobService.h"
#include "JsonLog.h"
#include "PeerClient.h"
#include "PeerTable.h"
#include "RoutingConfig.h"
#include "ServingProtocol.h"

namespace Bergamotramp {

/** Services of the entry host that JobCallHandler uses. */
struct JobCallContext {
    EventLoop &loop;
    JobService &jobs;
    const PeerTable &peers;
    PeerClient &peerClient;
    const ServingProtocol &protocol;
    JsonLog &log;
    EntryMetrics &metrics;
    /** Name of this host. */
    std::string host;
    /** Whether this host is stopping and accepts no more jobs. */
    std::function<bool()> stopping;
    /** Asks the store again for the changes to jobs since the last one that it has reported. */
    std::function<void()> renewJobWatch;
};

/** Answers the calls of callers and of other hosts about jobs. Reads go to the host that runs the job. */
class JobCallHandler
{
public:
    explicit JobCallHandler(JobCallContext context);

    /** Accepts or refuses a new job. */
    void submit(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Route &route, const CallerOrganisation &organisation);
    /** Answers a caller's call about an existing job, if the caller has access to it. */
    void handle(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const CallerOrganisation &organisation);
    /** Answers a call that another host has forwarded after it has checked the caller's access. */
    void handleForwarded(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    /** Applies a request that JobChangeNotice::matches(). */
    void handleChangeNotice(const std::shared_ptr<HttpExchange> &exchange);

    /** Answers the reads that wait for results with the results that there are. */
    void answerWaitingReads();

private:
    /** A read that may wait for results. */
    struct WaitingRead {
        std::weak_ptr<HttpExchange> exchange;
        CallerCall call;
    };

    /** Answers a call of a caller without access to the job. */
    void refuseAccess(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, JobAccess access, const std::string &organisation);
    void rememberRead(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    /** Answers a call whose caller has access to the job, here or at the host that runs the job. */
    void answer(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    void answerLocally(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    void forward(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call, const Peer &owner);
    void cancel(const std::shared_ptr<HttpExchange> &exchange, const CallerCall &call);
    /** Notifies the host that runs a cancelled job, so that its items stop before that host's watch reports the change. */
    void notifyRunner(const std::string &jobId);

    JobCallContext context;
    JobChangeNotifier notifier;
    std::vector<WaitingRead> waitingReads;
};

} // namespace Bergamotramp
