#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "BatchService.h"
#include "CallerServer.h"
#include "HostContext.h"
#include "JournalledRequest.h"
#include "ModelExchange.h"
#include "PlainExchange.h"

namespace Bergamotramp {

/** Handles callers' requests and batch items on this host: validates them, records them in the journal and runs them. Thread-safe. */
class RequestHandler
{
public:
    RequestHandler(const HostContext &context, ExchangeDependencies dependencies, JournalService &journal);

    /** POST /v1/completions and /v1/chat/completions. Throws CallerError. */
    CallerResponse handleModelRequest(const CallerRequest &request);
    /** /s/SERVICE/PATH. Throws CallerError. */
    CallerResponse handlePlainRequest(const CallerRequest &request);
    /** The result that the journal has recorded under an idempotency key. Throws CallerError. */
    CompleteResponse recordedResult(const std::string &organisation, const std::string &service, const std::string &key);
    /** Runs one item of a batch job. Does not throw. */
    ItemResult runItem(const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation);

private:
    class JournalledExchange;

    ServiceSpec findService(const std::string &name, ServiceKind kind) const;
    std::string nextRequestId();
    ModelRequest buildModelRequest(const CallerRequest &request, nlohmann::json body);
    PlainRequest buildPlainRequest(const CallerRequest &request);
    ItemResult runModelItem(const JobHeader &job, const ServiceSpec &service, const std::string &body, CallCancellation &cancellation);
    ItemResult runPlainItem(
        const JobHeader &job, const ServiceSpec &service, const std::string &customId, const std::string &body, CallCancellation &cancellation);

    const HostContext &context;
    ExchangeDependencies dependencies;
    JournalService &journal;
    std::atomic<std::uint64_t> requestCount{0};
};

} // namespace Bergamotramp
