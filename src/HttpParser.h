#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "HttpMessage.h"

namespace Bergamotramp {

/** Why a message was not accepted. */
enum class HttpParseError {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/** Bounds of a message, in bytes. */
struct HttpBounds {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;

    bool operator==(const HttpBounds &) const = default;
};

/** How far a message has been read. */
struct HttpProgress {
    bool headComplete = false;
    bool complete = false;
    std::optional<HttpParseError> error;
    /** Bytes of the input that belong to the message. */
    std::size_t consumed = 0;
};

/** Reads one request from bytes that arrive in any pieces. */
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpBounds &bounds);
    ~HttpRequestParser();

    /** Takes bytes up to the end of the head, then of the body; the rest must be presented again, alone or with more. */
    HttpProgress feed(std::string_view bytes);
    [[nodiscard]] HttpRequest take();
    [[nodiscard]] bool keepAlive() const;
    [[nodiscard]] bool expectsContinue() const;

private:
    class Parser;
    std::unique_ptr<Parser> parser;
};

/** Reads one response; its body is handed on as it arrives. */
class HttpResponseParser
{
public:
    explicit HttpResponseParser(const HttpBounds &bounds, std::function<void(std::string_view)> body);
    ~HttpResponseParser();

    /** Takes bytes up to the end of the head, then of the body; the rest must be presented again, alone or with more. */
    HttpProgress feed(std::string_view bytes);
    /** Takes the end of the connection; complete when the response is delimited by it. */
    HttpProgress endOfStream();
    [[nodiscard]] const HttpHead &head() const;
    [[nodiscard]] bool keepAlive() const;
    /** Whether the length is given by the message, not by the end of the connection. */
    [[nodiscard]] bool framed() const;

private:
    class Parser;
    std::unique_ptr<Parser> parser;
};

} // namespace Bergamotramp
