#include "KindWatcher.h"

namespace Bergamotramp {

KindWatcher::KindWatcher(EventLoop &loop, ObjectStore &store, std::string kind, const Pace &pace, Hooks hooks)
    : loop(loop), store(store), kind(std::move(kind)), pace(pace), hooks(std::move(hooks))
{
}

void KindWatcher::start()
{
    this->started = true;
    this->list();
}

void KindWatcher::setPace(const Pace &changed)
{
    this->pace = changed;
}

void KindWatcher::list()
{
    this->waitingToRetry = false;
    this->store.list(this->kind, [this, current = this->round](const ListReply &reply) {
        if (current != this->round) {
            return;
        }
        if (reply.result != StoreResult::Done) {
            this->failed(reply.result);
            return;
        }
        this->answered();
        this->revision = reply.revision;
        this->hooks.listed(reply.objects);
        this->watch();
    });
}

void KindWatcher::watch()
{
    this->waitingToRetry = false;
    this->store.watch(this->kind, this->revision, this->pace.watchWait, [this, current = this->round](const WatchReply &reply) {
        if (current != this->round) {
            return;
        }
        if (reply.result == StoreResult::HistoryGone) {
            this->answered();
            this->list();
            return;
        }
        if (reply.result != StoreResult::Done) {
            this->failed(reply.result);
            return;
        }
        this->answered();
        this->revision = reply.revision;
        for (const ObjectChange &change : reply.changes) {
            this->hooks.changed(change);
        }
        if (reply.changes.empty() || this->pace.coalesce == absl::ZeroDuration()) {
            this->watch();
        } else {
            this->timer = this->loop.after(this->pace.coalesce, [this] { this->watch(); });
        }
    });
}

void KindWatcher::failed(StoreResult result)
{
    this->available = false;
    this->waitingToRetry = true;
    this->timer = this->loop.after(this->pace.retry, [this] { this->retryNow(); });
    this->hooks.lost(result);
}

void KindWatcher::retryNow()
{
    if (!this->waitingToRetry) {
        return;
    }
    this->timer.cancel();
    // A list is answered at once where a watch would wait, so it shows sooner whether the store is there.
    this->list();
}

void KindWatcher::restart()
{
    if (this->waitingToRetry || !this->started) {
        return;
    }
    ++this->round;
    this->available = false;
    this->waitingToRetry = true;
    this->timer = this->loop.after(this->pace.retry, [this] { this->retryNow(); });
}

void KindWatcher::answered()
{
    if (!this->available) {
        this->available = true;
        this->hooks.regained();
    }
}

} // namespace Bergamotramp
