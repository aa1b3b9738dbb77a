#include "HttpParser.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <absl/strings/match.h>

namespace Bergamotramp {

namespace {

namespace http = boost::beast::http;
using BeastView = boost::beast::string_view;
using BeastError = boost::beast::error_code;

std::string toString(BeastView view)
{
    return {view.data(), view.size()};
}

HttpParseError toParseError(const BeastError &error)
{
    if (error == http::error::header_limit) {
        return HttpParseError::HeaderTooLarge;
    }
    return error == http::error::body_limit ? HttpParseError::BodyTooLarge : HttpParseError::Malformed;
}

/** Collects the start line and header fields of a request or response and passes the body on. */
template <bool isRequest>
class MessageParser : public http::basic_parser<isRequest>
{
public:
    explicit MessageParser(const HttpBounds &bounds) : maxUnconsumedBytes(bounds.headerBytes)
    {
        this->header_limit(bounds.headerBytes);
        this->body_limit(bounds.bodyBytes);
    }

    /** Stops at the end of the head, so that the caller of this function can handle the head before the body. */
    HttpProgress feed(std::string_view bytes)
    {
        HttpProgress progress;
        BeastError error;
        const bool headWasComplete = this->is_header_done();
        while (progress.consumed < bytes.size() && !this->is_done() && this->is_header_done() == headWasComplete) {
            const std::size_t parsed = this->put(boost::asio::const_buffer(bytes.data() + progress.consumed, bytes.size() - progress.consumed), error);
            progress.consumed += parsed;
            if (error == http::error::need_more) {
                error = {};
                if (parsed == 0) {
                    this->checkUnconsumed(bytes.size() - progress.consumed, progress);
                    break;
                }
                continue;
            }
            if (error) {
                progress.error = toParseError(error);
                break;
            }
        }
        progress.headComplete = this->is_header_done();
        progress.complete = this->is_done();
        return progress;
    }

    std::string method;
    std::string target;
    int status = 0;
    HttpFields fields;
    std::size_t fieldBytes = 0;
    std::function<void(std::string_view)> bodyHandler;

private:
    // The bytes that the parser can't consume yet stay in the buffer of its caller. They are a part of the head or of the framing of a
    // chunked body, which the limits of the library cover only in part.
    void checkUnconsumed(std::size_t bytes, HttpProgress &progress) const
    {
        if (bytes > this->maxUnconsumedBytes) {
            progress.error = HttpParseError::HeaderTooLarge;
        }
    }

    void on_request_impl(http::verb, BeastView method, BeastView target, int, BeastError &) override
    {
        this->method = toString(method);
        this->target = toString(target);
    }
    void on_response_impl(int status, BeastView, int, BeastError &) override
    {
        this->status = status;
    }
    void on_field_impl(http::field, BeastView name, BeastView value, BeastError &) override
    {
        // A list that has grown has room for up to twice as many fields.
        this->fieldBytes += 2 * sizeof(HttpField) + name.size() + value.size();
        this->fields.add(toString(name), toString(value));
    }
    void on_header_impl(BeastError &) override
    {
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, BeastError &) override
    {
    }
    std::size_t on_body_impl(BeastView body, BeastError &) override
    {
        this->bodyHandler(std::string_view(body.data(), body.size()));
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, BeastView, BeastError &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, BeastError &) override
    {
        this->bodyHandler(std::string_view(body.data(), body.size()));
        return body.size();
    }
    void on_finish_impl(BeastError &) override
    {
    }

    std::size_t maxUnconsumedBytes;
};

} // namespace

class HttpRequestParser::Parser : public MessageParser<true>
{
public:
    using MessageParser<true>::MessageParser;

    HttpRequest request;
};

HttpRequestParser::HttpRequestParser(const HttpBounds &bounds) : parser(std::make_unique<Parser>(bounds))
{
    this->parser->bodyHandler = [requestParser = this->parser.get()](std::string_view bytes) { requestParser->request.body.append(bytes); };
}

HttpRequestParser::~HttpRequestParser() = default;

HttpProgress HttpRequestParser::feed(std::string_view bytes)
{
    const bool headWasComplete = this->parser->is_header_done();
    const HttpProgress progress = this->parser->feed(bytes);
    if (!headWasComplete && progress.headComplete) {
        this->parser->request.method = std::move(this->parser->method);
        this->parser->request.target = std::move(this->parser->target);
        this->parser->request.fields = std::move(this->parser->fields);
    }
    return progress;
}

HttpRequest HttpRequestParser::takeRequest()
{
    return std::move(this->parser->request);
}

bool HttpRequestParser::keepAlive() const
{
    return this->parser->keep_alive();
}

std::optional<std::uint64_t> HttpRequestParser::statedLength() const
{
    const auto length = this->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t HttpRequestParser::heldBytes() const
{
    return this->parser->fieldBytes + this->parser->request.body.capacity();
}

bool HttpRequestParser::expectsContinue() const
{
    const auto value = this->parser->request.fields.find("expect");
    return value && absl::EqualsIgnoreCase(absl::string_view(value->data(), value->size()), "100-continue");
}

class HttpResponseParser::Parser : public MessageParser<false>
{
public:
    using MessageParser<false>::MessageParser;

    HttpHead head;
};

HttpResponseParser::HttpResponseParser(const HttpBounds &bounds, std::function<void(std::string_view)> body) : parser(std::make_unique<Parser>(bounds))
{
    this->parser->bodyHandler = std::move(body);
}

HttpResponseParser::~HttpResponseParser() = default;

HttpProgress HttpResponseParser::feed(std::string_view bytes)
{
    const bool headWasComplete = this->parser->is_header_done();
    const HttpProgress progress = this->parser->feed(bytes);
    if (!headWasComplete && progress.headComplete) {
        this->parser->head.status = this->parser->status;
        this->parser->head.fields = this->parser->fields;
    }
    return progress;
}

HttpProgress HttpResponseParser::endOfStream()
{
    HttpProgress progress;
    BeastError error;
    if (this->parser->is_header_done() && !this->parser->is_done()) {
        this->parser->put_eof(error);
    }
    progress.headComplete = this->parser->is_header_done();
    progress.complete = this->parser->is_done() && !error;
    return progress;
}

const HttpHead &HttpResponseParser::head() const
{
    return this->parser->head;
}

bool HttpResponseParser::keepAlive() const
{
    return this->parser->keep_alive();
}

bool HttpResponseParser::hasExplicitLength() const
{
    return this->parser->chunked() || this->parser->content_length();
}

} // namespace Bergamotramp
