#pragma once

#include <string>

#include <absl/time/time.h>

#include "HttpMessage.h"

namespace Bergamotramp {

/** Retry-After of a host that does not know the configuration or any ready host yet. */
inline constexpr absl::Duration startingRetryAfter = absl::Milliseconds(400);

/**
 * An error response that this host itself creates, with a JSON body. @p code is for programs, @p message for people.
 * @p state tells whether the request may have run: "not_run" or "unknown".
 */
HttpResponse failureResponse(int status, const std::string &code, const std::string &message, const std::string &state);
/** A 503 response for a request that has not run. The caller may send it again after @p retryAfter. */
HttpResponse notRunResponse(const std::string &code, const std::string &message, absl::Duration retryAfter);
/** A 504 response for a request that may have run, which promises nothing. */
HttpResponse unknownOutcomeResponse(const std::string &code, const std::string &message);
/** A response whose body is JSON text. */
HttpResponse jsonResponse(int status, const std::string &body);

} // namespace Bergamotramp
