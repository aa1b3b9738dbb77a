#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Bergamotramp {

/** Threads that run tasks; threads are added while none is idle, up to a limit. Tasks must not throw. */
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t maxThreads);
    /** Runs what is queued, then joins. */
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void post(std::function<void()> task);
    /** Runs what is queued and joins; no task may be posted afterwards. */
    void stop();

private:
    void run();

    const std::size_t maxThreads;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace Bergamotramp
