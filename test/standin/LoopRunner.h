#pragma once

#include <functional>

#include <absl/time/time.h>

#include "EventLoop.h"

namespace Bergamotramp {

/** Runs @p loop until @p condition holds; returns false after 40 seconds, so that a failing test ends. */
bool runUntil(EventLoop &loop, const std::function<bool()> &condition);

/** Runs @p loop for @p duration, for tests that check that something does not happen. */
void runFor(EventLoop &loop, absl::Duration duration);

} // namespace Bergamotramp
