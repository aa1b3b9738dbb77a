#pragma once

#include <memory>
#include <set>

#include "EntrySettings.h"
#include "EventLoop.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "KindWatcher.h"
#include "PlatformLink.h"

namespace Bergamotramp {

/**
 * The process on a host with a disk. All that lasts is in the platform's store, so it keeps nothing and a host can be
 * emptied at once; the process only says so.
 */
class DiskHost
{
public:
    DiskHost(EventLoop &loop, EntrySettings settings, PlatformLink platform, JsonLog &log, EntryMetrics &metrics);

private:
    void take(const ObjectRecord &object);

    EventLoop &loop;
    EntrySettings settings;
    PlatformLink platform;
    JsonLog &log;
    EntryMetrics &metrics;
    std::unique_ptr<KindWatcher> watcher;
    std::unique_ptr<HttpServer> metricsServer;
    LoopTimer retry;
};

} // namespace Bergamotramp
