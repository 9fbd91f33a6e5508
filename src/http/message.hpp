/// HTTP messages, independent of the HTTP library.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rml::http {

struct header
{
    std::string name;
    std::string value;
};
using header_list = std::vector<header>;

/// Compares header names case-insensitively.
bool equal_names(std::string_view a, std::string_view b);

/// True when a comma-separated header value, such as that of Connection, contains the name
/// (case-insensitive).
bool list_contains(std::string_view value, std::string_view name);

/// Value of the first header with that name, compared case-insensitively.
std::optional<std::string> find_header(const header_list& headers, std::string_view name);

struct request
{
    std::string method{"GET"};
    std::string target{"/"}; ///< path and query
    header_list headers;
    std::string body;
};

struct response
{
    int status{200};
    header_list headers;
    std::string body;
};

/// Creates a response with content type application/json.
response json_response(int status, std::string body);

/// Path of a request target, without the query.
std::string_view path_of(std::string_view target);

/// Value of a query parameter; percent encoding is not decoded.
std::optional<std::string> query_value(std::string_view target, std::string_view name);

} // namespace rml::http
