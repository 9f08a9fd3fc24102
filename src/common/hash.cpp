#include "common/hash.hpp"

#include <xxhash.h>

#include <random>

namespace tanagertrack::common
{

namespace
{

std::string to_big_endian(XXH128_hash_t hash)
{
    XXH128_canonical_t buf;
    XXH128_canonicalFromHash(&buf, hash);
    return {reinterpret_cast<const char*>(buf.digest), sizeof(buf.digest)};
}

} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string hash128(std::string_view data)
{
    return to_big_endian(XXH3_128bits(data.data(), data.size()));
}

std::string hash128(std::initializer_list<std::string_view> parts)
{
    incremental_hash hash;
    for (const auto part : parts)
    {
        // Each part is preceded by its length, so that ("ab","c") and
        // ("a","bc") have different hashes.
        const std::uint64_t n = part.size();
        hash.update({reinterpret_cast<const char*>(&n), sizeof(n)});
        hash.update(part);
    }
    return hash.digest();
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char c : bytes)
    {
        text += digits[c >> 4];
        text += digits[c & 15];
    }
    return text;
}

struct incremental_hash::impl
{
    XXH3_state_t* state = XXH3_createState();

    ~impl()
    {
        XXH3_freeState(state);
    }
};

incremental_hash::incremental_hash() : impl_(std::make_unique<impl>())
{
    XXH3_128bits_reset(impl_->state);
}

incremental_hash::~incremental_hash() = default;

void incremental_hash::update(std::string_view data)
{
    XXH3_128bits_update(impl_->state, data.data(), data.size());
}

std::string incremental_hash::digest() const
{
    return to_big_endian(XXH3_128bits_digest(impl_->state));
}

std::string random_id()
{
    static thread_local std::random_device device;
    std::string bytes;
    for (int i = 0; i < 4; ++i)
    {
        const auto word = device();
        bytes.append(reinterpret_cast<const char*>(&word), sizeof(word));
    }
    return to_hex(bytes);
}

} // namespace tanagertrack::common
