#include "common/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace tanagertrack::common
{

namespace
{

/// Returns the length of the sequence that starts with byte `lead`, or 0 if no
/// sequence does.
std::size_t sequence_length(unsigned char lead)
{
    if (lead < 0x80)
        return 1;
    if (lead >= 0xC2 && lead < 0xE0)
        return 2;
    if (lead >= 0xE0 && lead < 0xF0)
        return 3;
    if (lead >= 0xF0 && lead < 0xF5)
        return 4;
    return 0;
}

/// Returns true if the second byte is in the range allowed by the first one.
/// This excludes overlong forms, surrogates and code points over U+10FFFF.
bool second_in_range(unsigned char lead, unsigned char second)
{
    switch (lead)
    {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second < 0xA0;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second < 0x90;
    default:
        return true;
    }
}

} // namespace

bool is_valid_utf8(std::string_view text)
{
    std::size_t i = 0;
    while (i < text.size())
    {
        const auto lead = static_cast<unsigned char>(text[i]);
        const auto n = sequence_length(lead);
        if (n == 0 || i + n > text.size())
            return false;
        for (std::size_t k = 1; k < n; ++k)
        {
            const auto c = static_cast<unsigned char>(text[i + k]);
            if ((c & 0xC0) != 0x80)
                return false;
            if (k == 1 && !second_in_range(lead, c))
                return false;
        }
        i += n;
    }
    return true;
}

} // namespace tanagertrack::common
