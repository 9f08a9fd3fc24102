#ifndef TANAGERTRACK_HTTP_SYNTAX_HPP
#define TANAGERTRACK_HTTP_SYNTAX_HPP

#include <string_view>

namespace tanagertrack::http
{

// Checks for caller data that is written into a request. Invalid characters
// could end the header and start another request (request smuggling).

/// Returns true if `text` is a field name: a token as in RFC 9110, 5.6.2.
bool is_field_name(std::string_view text);

/// Returns true if `text` is a valid field value: without control characters
/// other than tabs.
bool is_field_value(std::string_view text);

/// Returns true if `text` is a valid request target in origin form: it starts
/// with a slash and contains neither spaces nor control characters.
bool is_request_target(std::string_view text);

/// Returns the credentials in the value of an Authorization field with the
/// scheme Bearer, whose case is ignored; empty for another scheme.
std::string_view bearer_credentials(std::string_view authorization);

} // namespace tanagertrack::http

#endif
