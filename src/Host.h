#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "AdminServer.h"
#include "BatchService.h"
#include "CallerServer.h"
#include "ConfigService.h"
#include "Drain.h"
#include "EventLog.h"
#include "HostContext.h"
#include "JournalService.h"
#include "MembershipService.h"
#include "Metrics.h"
#include "OrderService.h"
#include "RequestHandler.h"
#include "RetryLimiter.h"
#include "SlotService.h"
#include "StoreClient.h"
#include "TimerService.h"
#include "Transport.h"
#include "UpstreamClient.h"
#include "WorkerPool.h"

namespace Bergamotramp {

/** The entry host of the daemon bergamotrampd; owns and connects its services. EntryHost is that of bergamotramp-entryd. */
class Host
{
public:
    /** Binds the addresses and starts serving. Throws TransportError, ServerError or std::runtime_error. */
    explicit Host(HostSettings settings);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    [[nodiscard]] const std::string &callerAddress() const;
    [[nodiscard]] const std::string &adminAddress() const;
    [[nodiscard]] const std::string &peerAddress() const;
    /** Starts a planned shutdown and returns at once. */
    void startDrain();
    /** Waits until a planned shutdown has ended. */
    void waitUntilDrained();

private:
    void createServers();
    void createServices();
    void connectServices();
    CallerServer::Hooks callerHooks();
    AdminServer::Hooks adminHooks();
    void receive(const wire::Envelope &envelope);
    void setSenderFields(wire::Envelope &envelope);
    void drain();
    void performDrainAction(DrainAction action);

    [[nodiscard]] nlohmann::json entries() const;
    [[nodiscard]] nlohmann::json models() const;
    [[nodiscard]] nlohmann::json hosts() const;
    [[nodiscard]] nlohmann::json services() const;
    [[nodiscard]] nlohmann::json upstreamStatus() const;
    [[nodiscard]] nlohmann::json status() const;
    nlohmann::json publish(const std::string &body);
    JobUpload openJob(const std::string &organisation, const std::string &service, const std::string &key, std::optional<absl::Duration> due);
    [[nodiscard]] std::string metricsText();

    HostContext context;
    std::unique_ptr<EventLog> events;
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<UpstreamClient> upstreams;
    std::unique_ptr<WorkerPool> workers;
    RetryLimiter retryLimiter;
    Metrics metrics;
    /** Whether messages of other hosts are handled; false until the services exist and again during destruction. */
    std::atomic<bool> receiving{false};
    std::unique_ptr<Transport> transport;
    std::unique_ptr<MembershipService> membership;
    std::unique_ptr<ConfigService> config;
    std::unique_ptr<SlotService> slots;
    std::unique_ptr<JournalService> journal;
    std::unique_ptr<RequestHandler> requestHandler;
    std::unique_ptr<BatchService> batch;
    std::unique_ptr<OrderService> orders;
    std::unique_ptr<AdminServer> admin;
    std::unique_ptr<CallerServer> callers;

    std::atomic<bool> draining{false};
    std::mutex drainMutex;
    std::condition_variable drainChanged;
    bool drained = false;
    std::thread drainThread;
};

} // namespace Bergamotramp
