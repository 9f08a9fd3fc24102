#ifndef TANAGERTRACK_STATE_CHECKPOINT_WRITER_HPP
#define TANAGERTRACK_STATE_CHECKPOINT_WRITER_HPP

#include "proto/records.pb.h"
#include "state/job.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tanagertrack::state
{

/// Splits the index of a partition into checkpoint parts. One thread.
class checkpoint_writer
{
public:
    /// `holder` is the entry id in the current claim. A part has at most
    /// about `max_part_bytes` (at least 512).
    checkpoint_writer(std::string holder, std::size_t max_part_bytes);

    /// Adds a job; a large one is spread over several parts.
    void add_job(const job& value);

    /// Adds an online call with an intent.
    void add_call(proto::CallIndex call);

    /// Adds an intake without a commit; a large one is spread.
    void add_intake(const std::string& job_id, const std::string& nonce,
                    const std::vector<chunk_location>& chunks);

    /// Adds the hash of the id of a forgotten job.
    void add_forgotten(std::string hash);

    /// All parts, in order. Call once, last.
    std::vector<proto::Checkpoint> finish();

private:
    void reserve(std::size_t bytes);
    void add_chunks(const job& value, proto::JobIndex*& index);
    void add_items(const job& value, proto::JobIndex*& index);
    void add_item(const job& value, std::uint32_t item, proto::JobIndex& index);

    std::string holder_;
    std::size_t max_part_bytes_;
    std::vector<proto::Checkpoint> parts_;

    /// Bytes of the last part, an upper estimate.
    std::size_t part_bytes_ = 0;
};

} // namespace tanagertrack::state

#endif
