#ifndef TANAGERTRACK_COMMON_UTF8_HPP
#define TANAGERTRACK_COMMON_UTF8_HPP

#include <string_view>

namespace tanagertrack::common
{

/// Returns true if `text` is well-formed UTF-8 (RFC 3629: no overlong forms, no
/// surrogates, nothing above U+10FFFF).
bool is_valid_utf8(std::string_view text);

} // namespace tanagertrack::common

#endif
