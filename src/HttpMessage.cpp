#include "HttpMessage.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>

namespace Bergamotramp {

namespace {

constexpr std::array<std::string_view, 8> hopByHopFields{
    "connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"};

bool equalNames(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()), absl::string_view(right.data(), right.size()));
}

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = absl::ascii_tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

HttpFields::HttpFields(std::initializer_list<HttpField> fields) : fields(fields)
{
}

std::optional<std::string_view> HttpFields::find(std::string_view name) const
{
    for (const HttpField &field : this->fields) {
        if (equalNames(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

void HttpFields::add(std::string name, std::string value)
{
    this->fields.push_back({std::move(name), std::move(value)});
}

void HttpFields::set(std::string_view name, std::string value)
{
    this->remove(name);
    this->add(std::string(name), std::move(value));
}

void HttpFields::remove(std::string_view name)
{
    std::erase_if(this->fields, [name](const HttpField &field) { return equalNames(field.name, name); });
}

HttpFields HttpFields::endToEnd() const
{
    std::vector<std::string> connectionOptions;
    for (const HttpField &field : this->fields) {
        if (equalNames(field.name, "connection")) {
            for (const absl::string_view part : absl::StrSplit(field.value, ',')) {
                connectionOptions.emplace_back(absl::StripAsciiWhitespace(part));
            }
        }
    }
    HttpFields result;
    for (const HttpField &field : this->fields) {
        const auto matches = [&field](std::string_view name) { return equalNames(field.name, name); };
        if (std::ranges::none_of(hopByHopFields, matches) && std::ranges::none_of(connectionOptions, matches)) {
            result.fields.push_back(field);
        }
    }
    return result;
}

const std::vector<HttpField> &HttpFields::all() const
{
    return this->fields;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(this->target).substr(0, this->target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const std::size_t start = this->target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    for (const absl::string_view part : absl::StrSplit(this->target.substr(start + 1), '&')) {
        const std::size_t equals = part.find('=');
        if (percentDecode(std::string_view(part.data(), std::min(equals, part.size()))) == name) {
            return equals == absl::string_view::npos ? std::string() : percentDecode(std::string_view(part.data() + equals + 1, part.size() - equals - 1));
        }
    }
    return {};
}

std::string serializeRequest(const HttpRequest &request, const std::string &host)
{
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    if (!request.fields.find("host")) {
        absl::StrAppend(&text, "Host: ", host, "\r\n");
    }
    for (const HttpField &field : request.fields.all()) {
        if (!equalNames(field.name, "content-length")) {
            absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
        }
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
    }
    absl::StrAppend(&text, "\r\n", request.body);
    return text;
}

std::string serializeHead(const HttpHead &head)
{
    const std::string_view reason = reasonPhrase(head.status);
    std::string text = absl::StrCat("HTTP/1.1 ", head.status, " ", absl::string_view(reason.data(), reason.size()), "\r\n");
    for (const HttpField &field : head.fields.all()) {
        absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
    }
    absl::StrAppend(&text, "\r\n");
    return text;
}

std::string_view reasonPhrase(int status)
{
    const boost::beast::string_view reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {reason.data(), reason.size()};
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escaped = text[index] == '%' && index + 2 < text.size() && hexValue(text[index + 1]) >= 0 && hexValue(text[index + 2]) >= 0;
        if (escaped) {
            result.push_back(static_cast<char>(hexValue(text[index + 1]) * 16 + hexValue(text[index + 2])));
            index += 2;
        } else {
            result.push_back(text[index]);
        }
    }
    return result;
}

std::string percentEncode(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '.' || character == '_' || character == '~') {
            result.push_back(character);
        } else {
            absl::StrAppend(&result, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
        }
    }
    return result;
}

} // namespace Bergamotramp
