#include "entry/job_id.hpp"

#include "common/hash.hpp"

#include <boost/assert.hpp>

#include <charconv>

namespace tanagertrack::entry
{

namespace
{

constexpr std::string_view job_prefix = "batch-";
constexpr std::size_t hash_digits = 32;

std::uint32_t partition_of(std::string_view hash, std::uint32_t partitions)
{
    BOOST_ASSERT(partitions > 0);
    std::uint64_t value = 0;
    for (const unsigned char c : hash.substr(0, sizeof(value)))
        value = value << 8 | c;
    return static_cast<std::uint32_t>(value % partitions);
}

} // namespace

placed_id make_job_id(std::string_view team, std::string_view key,
                      std::uint32_t partitions)
{
    const auto hash = common::hash128({team, key});
    const auto partition = partition_of(hash, partitions);
    return {std::string(job_prefix) + std::to_string(partition) + "-" +
                common::to_hex(hash),
            partition};
}

placed_id make_call_id(std::string_view team, std::string_view service,
                       std::string_view key, std::uint32_t partitions)
{
    const auto hash = common::hash128({team, service, key});
    return {"call-" + common::to_hex(hash), partition_of(hash, partitions)};
}

std::optional<std::uint32_t> parse_job_partition(std::string_view id,
                                                 std::uint32_t partitions)
{
    if (!id.starts_with(job_prefix))
        return std::nullopt;
    id.remove_prefix(job_prefix.size());
    std::uint32_t partition = 0;
    const auto* end = id.data() + id.size();
    const auto result = std::from_chars(id.data(), end, partition);
    const std::string_view rest(result.ptr,
                                static_cast<std::size_t>(end - result.ptr));
    if (result.ec != std::errc() || partition >= partitions ||
        rest.size() != hash_digits + 1 || rest.front() != '-')
        return std::nullopt;
    return partition;
}

} // namespace tanagertrack::entry
