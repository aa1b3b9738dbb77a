#pragma once

#include <memory>
#include <set>

#include "EntrySettings.h"
#include "EventLoop.h"
#include "HttpServer.h"
#include "JsonLog.h"
#include "KindWatcher.h"
#include "PlatformAdapter.h"

namespace Bergamotramp {

/**
 * The process on a host with a disk. All persistent data is in the platform's store, so the host stores nothing. When the
 * platform asks to empty the host before it is retired, the process only confirms that this is done.
 */
class DiskHost
{
public:
    DiskHost(EventLoop &loop, EntrySettings settings, PlatformAdapter platform, JsonLog &log, EntryMetrics &metrics);

private:
    void confirmEmptying(const ObjectRecord &object);

    EventLoop &loop;
    EntrySettings settings;
    PlatformAdapter platform;
    JsonLog &log;
    EntryMetrics &metrics;
    std::unique_ptr<KindWatcher> watcher;
    std::unique_ptr<HttpServer> metricsServer;
    LoopTimer retryTimer;
};

} // namespace Bergamotramp
