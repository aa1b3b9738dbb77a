#include "KindWatcher.h"

namespace Bergamotramp {

KindWatcher::KindWatcher(EventLoop &loop, ObjectStore &store, std::string kind, const Timing &timing, Hooks hooks)
    : loop(loop), store(store), kind(std::move(kind)), timing(timing), hooks(std::move(hooks))
{
}

void KindWatcher::start()
{
    this->started = true;
    this->list();
}

void KindWatcher::setTiming(const Timing &newTiming)
{
    this->timing = newTiming;
}

void KindWatcher::list()
{
    this->retryPending = false;
    this->store.list(this->kind, [this, restartsAtCall = this->restartCount](const ListReply &reply) {
        if (restartsAtCall != this->restartCount) {
            return;
        }
        if (reply.result != StoreResult::Done) {
            this->handleFailure(reply.result);
            return;
        }
        this->handleAnswer();
        this->hooks.listed(reply.objects);
        this->revision = reply.revision;
        this->confirm(reply.includesUntil);
        this->watch();
    });
}

void KindWatcher::watch()
{
    this->retryPending = false;
    this->store.watch(this->kind, this->revision, this->timing.watchWait, [this, restartsAtCall = this->restartCount](const WatchReply &reply) {
        if (restartsAtCall != this->restartCount) {
            return;
        }
        if (reply.result == StoreResult::HistoryExpired) {
            this->handleAnswer();
            this->list();
            return;
        }
        if (reply.result != StoreResult::Done) {
            this->handleFailure(reply.result);
            return;
        }
        this->handleAnswer();
        for (const ObjectChange &change : reply.changes) {
            this->hooks.changed(change);
        }
        this->revision = reply.revision;
        this->confirm(reply.includesUntil);
        if (reply.changes.empty() || this->timing.coalesce == absl::ZeroDuration()) {
            this->watch();
        } else {
            this->timer = this->loop.after(this->timing.coalesce, [this] { this->watch(); });
        }
    });
}

void KindWatcher::handleFailure(StoreResult result)
{
    this->storeAvailable = false;
    this->retryPending = true;
    this->timer = this->loop.after(this->timing.retry, [this] { this->retryNow(); });
    this->hooks.storeFailed(result);
}

void KindWatcher::retryNow()
{
    if (!this->retryPending) {
        return;
    }
    this->timer.cancel();
    // A list is answered at once whereas a watch would wait, so it shows sooner whether the store is available.
    this->list();
}

void KindWatcher::restart()
{
    if (this->retryPending || !this->started) {
        return;
    }
    ++this->restartCount;
    this->storeAvailable = false;
    this->retryPending = true;
    this->timer = this->loop.after(this->timing.retry, [this] { this->retryNow(); });
}

void KindWatcher::renewWatch()
{
    if (this->retryPending || this->revision == 0) {
        return;
    }
    ++this->restartCount;
    this->timer.cancel();
    this->watch();
}

std::uint64_t KindWatcher::reportedRevision() const
{
    return this->revision;
}

void KindWatcher::confirm(absl::Time includesUntil)
{
    if (this->hooks.confirmed && includesUntil != absl::InfinitePast()) {
        this->hooks.confirmed(includesUntil);
    }
}

void KindWatcher::handleAnswer()
{
    if (!this->storeAvailable) {
        this->storeAvailable = true;
        this->hooks.storeRecovered();
    }
}

} // namespace Bergamotramp
