#ifndef TANAGERTRACK_STANDIN_ANSWER_TEXT_HPP
#define TANAGERTRACK_STANDIN_ANSWER_TEXT_HPP

#include "common/hash.hpp"

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace tanagertrack::standin
{

/// Hash of a prompt as it appears in answers: 16 hexadecimal digits.
inline std::string prompt_hash(std::string_view prompt)
{
    char out[17];
    std::snprintf(out, sizeof out, "%016llx",
                  static_cast<unsigned long long>(common::hash64(prompt)));
    return out;
}

/// Token `index` (from 0) of an answer with `count` tokens: "w0 ", "w1 ", ...,
/// and the prompt's hash as the last one.
inline std::string answer_token(std::string_view hash, std::uint32_t index,
                                std::uint32_t count)
{
    if (index + 1 >= count)
        return std::string(hash);
    return 'w' + std::to_string(index) + ' ';
}

/// Complete answer of `count` tokens to a prompt. The numbered tokens and the
/// hash let a test check that an answer is complete and belongs to its request.
/// The prompt of a chat is the contents of its messages, each followed by a
/// line end.
inline std::string answer_text(std::string_view prompt, std::uint32_t count)
{
    const auto hash = prompt_hash(prompt);
    std::string out;
    for (std::uint32_t n = 0; n < count; ++n)
        out += answer_token(hash, n, count);
    return out;
}

} // namespace tanagertrack::standin

#endif
