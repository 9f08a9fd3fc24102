#ifndef TANAGERTRACK_HTTP_SYNTAX_HPP
#define TANAGERTRACK_HTTP_SYNTAX_HPP

#include <string_view>

namespace tanagertrack::http
{

// What may stand in a request that is written from a caller's data. Anything
// else could end its head and begin another request.

/// Whether a text is a field name: a token as in RFC 9110, 5.6.2.
bool is_field_name(std::string_view text);

/// Whether a text may be a field's value: no control characters but tabs.
bool is_field_value(std::string_view text);

/// Whether a text may be a request's target in origin form: begins with a
/// slash, and has neither spaces nor control characters.
bool is_request_target(std::string_view text);

} // namespace tanagertrack::http

#endif
