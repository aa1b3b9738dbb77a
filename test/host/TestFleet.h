#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>

#include "EventLog.h"
#include "HostContext.h"
#include "StandinPlatform.h"
#include "StoreClient.h"
#include "TimerService.h"
#include "Transport.h"

namespace Bergamotramp {

/** The hosts of one test with the objects that their services use, and one stand-in for the store. */
class TestFleet
{
public:
    /** One host; the test creates the services that it needs. */
    struct Host {
        std::string name;
        std::unique_ptr<EventLog> events;
        std::unique_ptr<StoreClient> store;
        std::unique_ptr<TimerService> timers;
        std::unique_ptr<Transport> transport;
        std::function<void(const wire::Envelope &)> received;
        std::mutex mutex;
        HostContext context;
    };

    explicit TestFleet(absl::Duration storeTimeout = absl::Seconds(2)) : storeTimeout(storeTimeout)
    {
    }

    Host &add(const std::string &name)
    {
        auto host = std::make_unique<Host>();
        host->name = name;
        host->events = std::make_unique<EventLog>(name, "");
        host->store = std::make_unique<StoreClient>(StoreSettings{this->platform.address(), this->storeTimeout});
        host->timers = std::make_unique<TimerService>();
        host->transport = std::make_unique<Transport>("127.0.0.1:0",
                                                      Transport::Hooks{[raw = host.get()](const wire::Envelope &envelope) {
                                                                           const std::lock_guard<std::mutex> lock(raw->mutex);
                                                                           if (raw->received) {
                                                                               raw->received(envelope);
                                                                           }
                                                                       },
                                                                       [raw = host.get()](wire::Envelope &envelope) {
                                                                           envelope.mutable_from()->set_name(raw->name);
                                                                           envelope.set_hybrid_time(raw->events->nextTimestamp());
                                                                       }});
        host->context.settings.name = name;
        host->context.settings.journalShards = 4;
        host->context.settings.batchConcurrency = 16;
        host->context.incarnation = ++this->incarnations;
        host->context.transport = host->transport.get();
        host->context.store = host->store.get();
        host->context.events = host->events.get();
        host->context.timers = host->timers.get();
        host->context.liveHosts = [this] { return this->live(); };
        this->setLive(name, host->transport->address());
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    void setMessageHandler(Host &host, std::function<void(const wire::Envelope &)> received)
    {
        const std::lock_guard<std::mutex> lock(host.mutex);
        host.received = std::move(received);
    }

    /** Removes a host from the live hosts that all hosts see, as if it had been declared dead. */
    void removeLiveHost(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->liveHosts.erase(name);
    }

    /** Sets the faults that the stand-in for the store injects. */
    void setFaults(const nlohmann::json &faults) const
    {
        httplib::Client control("http://" + this->platform.address());
        control.Post("/control/faults", faults.dump(), "application/json");
    }

    StandinPlatform platform;

private:
    std::vector<HostInfo> live()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<HostInfo> infos;
        for (const auto &[name, info] : this->liveHosts) {
            infos.push_back(info);
        }
        return infos;
    }
    void setLive(const std::string &name, const std::string &address)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        HostInfo info;
        info.name = name;
        info.peerAddress = address;
        this->liveHosts[name] = info;
    }

    absl::Duration storeTimeout;
    std::mutex mutex;
    std::map<std::string, HostInfo> liveHosts;
    std::uint64_t incarnations = 0;
    std::vector<std::unique_ptr<Host>> hosts;
};

} // namespace Bergamotramp
