#ifndef TANAGERTRACK_COMMON_BASE64_HPP
#define TANAGERTRACK_COMMON_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// Encodes bytes in base64 (RFC 4648, section 4) with padding.
std::string encode_base64(std::string_view bytes);

/// Decodes base64 with padding. Returns std::nullopt if `text` is invalid.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace tanagertrack::common

#endif
