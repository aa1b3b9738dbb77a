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
    if (this->idleThreads < this->tasks.size() && this->threads.size() < this->maxThreads) {
        this->threads.emplace_back([this] { this->run(); });
    }
    this->changed.notify_one();
}

void WorkerPool::stop()
{
    std::vector<std::thread> threadsToJoin;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stopping = true;
        threadsToJoin.swap(this->threads);
    }
    this->changed.notify_all();
    for (std::thread &thread : threadsToJoin) {
        thread.join();
    }
}

void WorkerPool::run()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (true) {
        ++this->idleThreads;
        this->changed.wait(lock, [this] { return this->stopping || !this->tasks.empty(); });
        --this->idleThreads;
        if (this->tasks.empty()) {
            return;
        }
        std::function<void()> task = std::move(this->tasks.front());
        this->tasks.pop_front();
        lock.unlock();
        task();
        // Destroys the objects that the task captured before locking, because their destructors may take time or post tasks.
        task = nullptr;
        lock.lock();
    }
}

} // namespace Bergamotramp
