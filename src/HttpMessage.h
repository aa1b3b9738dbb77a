#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamotramp {

/** One header field. */
struct HttpField {
    std::string name;
    std::string value;

    bool operator==(const HttpField &) const = default;
};

/** Header fields in the order of the message. Names are case-insensitive. */
class HttpFields
{
public:
    HttpFields() = default;
    HttpFields(std::initializer_list<HttpField> fields);

    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
    void add(std::string name, std::string value);
    /** Replaces all fields of this name by one. */
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /** All fields but the hop-by-hop ones, which apply to a single connection. */
    [[nodiscard]] HttpFields endToEnd() const;
    [[nodiscard]] const std::vector<HttpField> &all() const;

    bool operator==(const HttpFields &) const = default;

private:
    std::vector<HttpField> fields;
};

/** A complete request. */
struct HttpRequest {
    std::string method;
    /** Path with the query, as sent. */
    std::string target;
    HttpFields fields;
    std::string body;

    [[nodiscard]] std::string_view path() const;
    /** Value of a query parameter, percent-decoded; empty when absent. */
    [[nodiscard]] std::string query(std::string_view name) const;

    bool operator==(const HttpRequest &) const = default;
};

/** Status and header fields of a response. */
struct HttpHead {
    int status = 200;
    HttpFields fields;

    bool operator==(const HttpHead &) const = default;
};

/** A complete response. */
struct HttpResponse {
    HttpHead head;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/** Serializes a request with its body. @p host becomes the Host field if the request has none. */
std::string serializeRequest(const HttpRequest &request, const std::string &host);
/** Serializes a status line and header fields, including the empty line that ends them. */
std::string serializeHead(const HttpHead &head);
/** The standard reason phrase of a status. */
std::string_view reasonPhrase(int status);
std::string percentDecode(std::string_view text);
std::string percentEncode(std::string_view text);

} // namespace Bergamotramp
