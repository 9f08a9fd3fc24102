#include "common/base64.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>

namespace tanagertrack::common
{

namespace
{

namespace iterators = boost::archive::iterators;

using encoder = iterators::base64_from_binary<
    iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using decoder = iterators::transform_width<
    iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;

/// Four characters encode three bytes.
constexpr std::size_t group_chars = 4;
constexpr std::size_t group_bytes = 3;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::string text(encoder(bytes.begin()), encoder(bytes.end()));
    while (text.size() % group_chars != 0)
        text += '=';
    return text;
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.size() % group_chars != 0)
        return std::nullopt;
    const auto unpadded = text.substr(0, text.find_last_not_of('=') + 1);
    const auto padding = text.size() - unpadded.size();
    if (padding >= group_bytes)
        return std::nullopt;

    // The iterators only decode complete groups, so the padding is replaced by
    // 'A' (zero bits) and cut off from the result.
    std::string padded(unpadded);
    padded.append(padding, 'A');
    const std::string_view source = padded;
    try
    {
        std::string bytes(decoder(source.begin()), decoder(source.end()));
        bytes.resize(text.size() / group_chars * group_bytes - padding);
        return bytes;
    }
    catch (const iterators::dataflow_exception&)
    {
        return std::nullopt;
    }
}

} // namespace tanagertrack::common
