#include "store/keyed_record.hpp"

#include <boost/assert.hpp>

#include <cstddef>

namespace tanagertrack::store
{

std::optional<keyed_entry> parse_keyed_record(std::string_view bytes)
{
    const std::size_t key_length =
        bytes.empty() ? 0 : static_cast<unsigned char>(bytes.front());
    if (bytes.size() < 1 + key_length)
        return std::nullopt;
    return keyed_entry{bytes.substr(1, key_length),
                       bytes.substr(1 + key_length)};
}

std::string make_keyed_record(std::string_view key, std::string_view value)
{
    constexpr std::size_t max_key_length = 255;
    BOOST_ASSERT(key.size() <= max_key_length);
    std::string bytes(1, static_cast<char>(key.size()));
    bytes += key;
    bytes += value;
    return bytes;
}

} // namespace tanagertrack::store
