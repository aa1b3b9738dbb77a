#include "DiskHost.h"

namespace Bergamotramp {

namespace {

constexpr absl::Duration retryDelay = absl::Seconds(1);
constexpr std::size_t metricsConnections = 50;

} // namespace

DiskHost::DiskHost(EventLoop &loop, EntrySettings hostSettings, PlatformAdapter platformAdapter, JsonLog &log, EntryMetrics &metrics)
    : loop(loop), settings(std::move(hostSettings)), platform(std::move(platformAdapter)), log(log), metrics(metrics)
{
    this->metricsServer =
        std::make_unique<HttpServer>(loop, this->settings.metricsAddress, metricsConnections, [this](const std::shared_ptr<HttpExchange> &request) {
            request->respond({.head = {.status = 200, .fields = {{"Content-Type", "text/plain; version=0.0.4"}}}, .body = this->metrics.text()});
        });
    this->watcher = std::make_unique<KindWatcher>(loop,
                                                  *this->platform.store,
                                                  this->platform.emptyingKind,
                                                  KindWatcher::Timing{.watchWait = absl::Seconds(30), .coalesce = absl::ZeroDuration(), .retry = retryDelay},
                                                  KindWatcher::Hooks{.listed =
                                                                         [this](const std::vector<ObjectRecord> &objects) {
                                                                             for (const ObjectRecord &object : objects) {
                                                                                 this->confirmEmptying(object);
                                                                             }
                                                                         },
                                                                     .changed =
                                                                         [this](const ObjectChange &change) {
                                                                             if (!change.removed) {
                                                                                 this->confirmEmptying(change.object);
                                                                             }
                                                                         },
                                                                     .storeFailed =
                                                                         [this](StoreResult result) {
                                                                             this->log.write("store_lost", {{"unanswered", result == StoreResult::Unanswered}});
                                                                         },
                                                                     .storeRecovered = [this] { this->log.write("store_regained", {}); }});
    this->watcher->start();
}

void DiskHost::confirmEmptying(const ObjectRecord &object)
{
    const nlohmann::json status = this->platform.encodeEmptying({.host = this->settings.name, .done = true});
    if (object.name != this->settings.name || object.status == status) {
        return;
    }
    this->log.write("emptying", {{"revision", object.revision}});
    this->platform.store->putStatus(this->platform.emptyingKind, object.name, object.revision, status, [this, object](const ObjectReply &reply) {
        const bool finished = reply.result == StoreResult::Done || reply.result == StoreResult::NotFound;
        this->log.write("emptied", {{"revision", object.revision}, {"ok", finished}});
        if (!finished) {
            this->retryTimer = this->loop.after(retryDelay, [this, object, reply] { this->confirmEmptying(reply.object ? *reply.object : object); });
        }
    });
}

} // namespace Bergamotramp
