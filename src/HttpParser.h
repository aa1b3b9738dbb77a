#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "HttpMessage.h"

namespace Bergamotramp {

/** Why a message was rejected. */
enum class HttpParseError {
    Malformed,
    /** The head, the line with the size of a chunk, or the fields behind the last chunk are over the limit. */
    HeaderTooLarge,
    BodyTooLarge,
};

/** Size limits of a message, in bytes. */
struct HttpBounds {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;

    bool operator==(const HttpBounds &) const = default;
};

/** Parsing state of a message after some input. */
struct HttpProgress {
    bool headComplete = false;
    bool complete = false;
    std::optional<HttpParseError> error;
    /** Number of input bytes that were parsed; the caller removes them from its buffer. */
    std::size_t consumed = 0;
};

/** Parses one request from bytes that arrive in pieces of any size. */
class HttpRequestParser
{
public:
    explicit HttpRequestParser(const HttpBounds &bounds);
    ~HttpRequestParser();

    /** Parses up to the end of the head, or, after that, up to the end of the message. The caller passes unconsumed bytes again, alone or with more. */
    HttpProgress feed(std::string_view bytes);
    /** Moves the complete request out of the parser. */
    [[nodiscard]] HttpRequest takeRequest();
    [[nodiscard]] bool keepAlive() const;
    /** Length of the body if the head states it. */
    [[nodiscard]] std::optional<std::uint64_t> statedLength() const;
    /** Memory of what was parsed so far, approximately. */
    [[nodiscard]] std::size_t heldBytes() const;
    /** Whether the sender waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool expectsContinue() const;

private:
    class Parser;
    std::unique_ptr<Parser> parser;
};

/** Parses one response and passes its body on as it arrives. */
class HttpResponseParser
{
public:
    explicit HttpResponseParser(const HttpBounds &bounds, std::function<void(std::string_view)> body);
    ~HttpResponseParser();

    /** Parses up to the end of the head, or, after that, up to the end of the message. The caller passes unconsumed bytes again, alone or with more. */
    HttpProgress feed(std::string_view bytes);
    /** Handles the end of the connection, which completes a response without an explicit length. */
    HttpProgress endOfStream();
    [[nodiscard]] const HttpHead &head() const;
    [[nodiscard]] bool keepAlive() const;
    /** Whether the length of the body is given by Content-Length or chunks, not by the end of the connection. */
    [[nodiscard]] bool hasExplicitLength() const;

private:
    class Parser;
    std::unique_ptr<Parser> parser;
};

} // namespace Bergamotramp
