#ifndef TANAGERTRACK_STORE_KEYED_RECORD_HPP
#define TANAGERTRACK_STORE_KEYED_RECORD_HPP

#include <optional>
#include <string>
#include <string_view>

namespace tanagertrack::store
{

/// Record of a keyed topic: a length byte, the key, and the value. An empty
/// value removes the key. Holds views of the record's bytes.
struct keyed_entry
{
    std::string_view key;
    std::string_view value;
};

/// Splits the bytes of a record; std::nullopt if they are malformed.
std::optional<keyed_entry> parse_keyed_record(std::string_view bytes);

/// Returns the bytes of a record. The key has at most 255 bytes.
std::string make_keyed_record(std::string_view key, std::string_view value);

} // namespace tanagertrack::store

#endif
