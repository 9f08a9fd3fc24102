#ifndef TANAGERTRACK_COMMON_HASH_HPP
#define TANAGERTRACK_COMMON_HASH_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::common
{

/// XXH3 64-bit hash; the same on all platforms and library versions.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// XXH3 128-bit hash as 16 bytes, most significant byte first.
std::string hash128(std::string_view data);

/// 128-bit hash of several parts. Equal bytes that are split differently have
/// different hashes.
std::string hash128(std::initializer_list<std::string_view> parts);

/// Returns `bytes` as lower-case hexadecimal digits.
std::string to_hex(std::string_view bytes);

/// Computes the XXH3 128-bit hash of data that arrives in pieces.
class incremental_hash
{
public:
    incremental_hash();
    ~incremental_hash();

    /// Adds the next piece.
    void update(std::string_view data);

    /// Returns the hash of all pieces so far, 16 bytes.
    std::string digest() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Returns 128 random bits from the operating system as 32 hexadecimal digits,
/// for ids of requests and of process starts.
std::string random_id();

} // namespace tanagertrack::common

#endif
