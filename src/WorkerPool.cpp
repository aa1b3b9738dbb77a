#include "WorkerPool.h"

namespace Bergamotramp {

WorkerPool::WorkerPool(std::size_t maxThreads) : maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
    this->stop();
}

void WorkerPool::post(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tasks.push_back(std::move(task));
    if (this->idle < this->tasks.size() && this->threads.size() < this->maxThreads) {
        this->threads.emplace_back([this] { this->run(); });
    }
    this->changed.notify_one();
}

void WorkerPool::stop()
{
    std::vector<std::thread> joining;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        joining.swap(this->threads);
    }
    this->changed.notify_all();
    for (std::thread &thread : joining) {
        thread.join();
    }
}

void WorkerPool::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        ++this->idle;
        this->changed.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        --this->idle;
        if (this->tasks.empty()) {
            return;
        }
        std::function<void()> task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        task();
        // What the task holds may be released here, so it is not done under the lock.
        task = nullptr;
        lock.lock();
    }
}

} // namespace Bergamotramp
