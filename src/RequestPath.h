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

/** What callers' requests and batch items go through on this host: checks, journal, attempts. Thread-safe. */
class RequestPath
{
public:
    RequestPath(const HostContext &context, ExchangeParts parts, JournalService &journal);

    /** POST /v1/completions and /v1/chat/completions. Throws CallerError. */
    CallerAnswer model(const CallerRequest &request);
    /** /s/SERVICE/PATH. Throws CallerError. */
    CallerAnswer plain(const CallerRequest &request);
    /** The recorded result under a key. Throws CallerError. */
    WholeAnswer recorded(const std::string &organisation, const std::string &service, const std::string &key);
    /** Runs one item of a batch job. Does not throw. */
    ItemResult runItem(const JobHeader &job, const std::string &customId, const std::string &body, CallCancellation &cancellation);

private:
    class KeyedStream;

    ServiceSpec findService(const std::string &name, ServiceKind kind) const;
    std::string nextId();
    ModelRequest buildModelRequest(const CallerRequest &request, nlohmann::json body);
    PlainRequest buildPlainRequest(const CallerRequest &request);
    ItemResult runModelItem(const JobHeader &job, const ServiceSpec &service, const std::string &body, CallCancellation &cancellation);
    ItemResult runPlainItem(
        const JobHeader &job, const ServiceSpec &service, const std::string &customId, const std::string &body, CallCancellation &cancellation);

    const HostContext &context;
    ExchangeParts parts;
    JournalService &journal;
    std::atomic<std::uint64_t> requestCount{0};
};

} // namespace Bergamotramp
