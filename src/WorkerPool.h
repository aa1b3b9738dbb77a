#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Bergamotramp {

/** Thread pool that adds a thread, up to a limit, when a task is posted and too few threads are idle. Tasks must not throw. */
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t maxThreads);
    /** Calls stop(). */
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void post(std::function<void()> task);
    /** Runs all queued tasks, then joins the threads. No task may be posted afterwards. */
    void stop();

private:
    void run();

    const std::size_t maxThreads;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    std::size_t idleThreads = 0;
    bool stopping = false;
};

} // namespace Bergamotramp
