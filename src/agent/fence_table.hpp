#ifndef TANAGERTRACK_AGENT_FENCE_TABLE_HPP
#define TANAGERTRACK_AGENT_FENCE_TABLE_HPP

#include <cstdint>
#include <vector>

namespace tanagertrack::agent
{

/// Highest claim seen for each partition. Work under a lower claim comes from
/// a holder that was replaced. One thread.
class fence_table
{
public:
    /// For partitions 0 to `partitions` - 1; others are not fenced.
    explicit fence_table(std::uint32_t partitions) : claims_(partitions)
    {
    }

    /// Takes a claim; returns whether it is higher than all before.
    bool raise(std::uint32_t partition, std::uint64_t claim)
    {
        if (partition >= claims_.size() || claim <= claims_[partition])
            return false;
        claims_[partition] = claim;
        return true;
    }

    /// Whether work under the claim is stale. Claim 0 is not fenced.
    bool is_stale(std::uint32_t partition, std::uint64_t claim) const
    {
        return claim != 0 && partition < claims_.size() &&
               claim < claims_[partition];
    }

private:
    std::vector<std::uint64_t> claims_;
};

} // namespace tanagertrack::agent

#endif
