#pragma once

#include <functional>

#include <absl/time/time.h>

#include "EventLoop.h"

namespace Bergamotramp {

/** Runs @p loop until @p condition holds; false when the limit is over, which only ends a test that has failed. */
bool runUntil(EventLoop &loop, const std::function<bool()> &condition);

/** Runs @p loop for a while, for what must not happen. */
void runFor(EventLoop &loop, absl::Duration duration);

} // namespace Bergamotramp
