#pragma once

#include <string>

#include <absl/time/time.h>

#include "HttpMessage.h"

namespace Bergamotramp {

/** An answer of this host's own: @p code for programs, @p message for people, state is "not_run" or "unknown". */
HttpResponse failureResponse(int status, const std::string &code, const std::string &message, const std::string &state);
/** 503 for a request that has not run; the caller may send it again after @p retryAfter. */
HttpResponse notRunResponse(const std::string &code, const std::string &message, absl::Duration retryAfter);
/** A JSON answer. */
HttpResponse jsonResponse(int status, const std::string &body);

} // namespace Bergamotramp
