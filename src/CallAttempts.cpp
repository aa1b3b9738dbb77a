#include "CallAttempts.h"

#include <algorithm>
#include <utility>

namespace Bergamotramp {

CallAttempts::CallAttempts(const AttemptContext &context) : context(context)
{
}

void CallAttempts::setHooks(Hooks attemptHooks)
{
    this->hooks = std::move(attemptHooks);
}

RunningAttempt &CallAttempts::add(const UpstreamInfo &upstream, bool stream)
{
    const int number = ++this->added;
    // The hooks hold no reference to this object, because the call may end in one of them.
    UpstreamAttempt::Hooks attemptHooks{
        .streamStarted = [number, report = this->hooks.streamStarted](const HttpHead &head) { report(number, head); },
        .event = [number, report = this->hooks.event](const StreamEvent &event) { report(number, event); },
        .ended = [number, report = this->hooks.ended](const AttemptResult &result) { report(number, result); },
    };
    return this->attempts.emplace_back(
        RunningAttempt{.number = number,
                       .attempt = std::make_unique<UpstreamAttempt>(this->context, upstream, false, stream, std::move(attemptHooks)),
                       .started = this->context.loop.now()});
}

RunningAttempt *CallAttempts::find(int number)
{
    const auto found = std::ranges::find(this->attempts, number, &RunningAttempt::number);
    return found == this->attempts.end() ? nullptr : &*found;
}

void CallAttempts::stop(int number)
{
    const auto found = std::ranges::find(this->attempts, number, &RunningAttempt::number);
    if (found != this->attempts.end()) {
        UpstreamAttempt::stopAndDestroyLater(this->context.loop, std::move(found->attempt));
        this->attempts.erase(found);
    }
}

void CallAttempts::stopAll()
{
    for (RunningAttempt &running : std::exchange(this->attempts, {})) {
        UpstreamAttempt::stopAndDestroyLater(this->context.loop, std::move(running.attempt));
    }
}

bool CallAttempts::empty() const
{
    return this->attempts.empty();
}

const std::vector<RunningAttempt> &CallAttempts::running() const
{
    return this->attempts;
}

int CallAttempts::count() const
{
    return this->added;
}

} // namespace Bergamotramp
