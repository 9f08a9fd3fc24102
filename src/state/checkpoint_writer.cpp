#include "state/checkpoint_writer.hpp"

#include <boost/assert.hpp>

namespace tanagertrack::state
{

namespace
{

/// Upper bounds of encoded sizes in bytes, with tags and lengths.
constexpr std::size_t chunk_bytes = 30;
constexpr std::size_t item_bytes = 1 + 10 + 3 + 5;
constexpr std::size_t string_overhead = 6;
constexpr std::size_t message_overhead = 64;

void set_chunk(const chunk_location& chunk, proto::ChunkLocation& out)
{
    out.set_offset(chunk.place.offset);
    out.set_entry(chunk.place.entry);
    out.set_first_item(chunk.first_item);
    out.set_item_count(chunk.item_count);
}

} // namespace

checkpoint_writer::checkpoint_writer(std::string holder,
                                     std::size_t max_part_bytes)
    : holder_(std::move(holder)), max_part_bytes_(max_part_bytes)
{
    BOOST_ASSERT(max_part_bytes >= 512);
    reserve(0);
}

void checkpoint_writer::add_job(const job& value)
{
    reserve(value.commit().ByteSizeLong() + message_overhead);
    auto* index = parts_.back().add_jobs();
    *index->mutable_commit() = value.commit();
    index->set_cancelled(value.cancelled());
    index->set_accepted_offset(value.accepted_offset());
    add_chunks(value, index);
    add_items(value, index);
}

void checkpoint_writer::add_call(proto::CallIndex call)
{
    reserve(call.ByteSizeLong() + string_overhead);
    *parts_.back().add_calls() = std::move(call);
}

void checkpoint_writer::add_intake(const std::string& job_id,
                                   const std::string& nonce,
                                   const std::vector<chunk_location>& chunks)
{
    const auto head_bytes = job_id.size() + nonce.size() + message_overhead;
    proto::IntakeIndex* index = nullptr;
    for (const auto& chunk : chunks)
    {
        const auto parts = parts_.size();
        reserve(chunk_bytes);
        if (index == nullptr || parts != parts_.size())
        {
            index = parts_.back().add_intakes();
            index->set_job_id(job_id);
            index->set_intake(nonce);
            part_bytes_ += head_bytes;
        }
        set_chunk(chunk, *index->add_chunks());
    }
}

void checkpoint_writer::add_forgotten(std::string hash)
{
    reserve(hash.size() + string_overhead);
    parts_.back().add_forgotten(std::move(hash));
}

std::vector<proto::Checkpoint> checkpoint_writer::finish()
{
    parts_.back().set_last(true);
    return std::move(parts_);
}

void checkpoint_writer::reserve(std::size_t bytes)
{
    if (parts_.empty() || part_bytes_ + bytes > max_part_bytes_)
    {
        const auto number = static_cast<std::uint32_t>(parts_.size());
        auto& part = parts_.emplace_back();
        part.set_part(number);
        part.set_holder(holder_);
        part_bytes_ = holder_.size() + message_overhead;
    }
    part_bytes_ += bytes;
}

void checkpoint_writer::add_chunks(const job& value, proto::JobIndex*& index)
{
    for (const auto& chunk : value.chunks())
    {
        const auto parts = parts_.size();
        reserve(chunk_bytes);
        if (parts != parts_.size())
        {
            index = parts_.back().add_jobs();
            index->mutable_commit()->set_job_id(value.id());
            part_bytes_ += value.id().size() + message_overhead;
        }
        set_chunk(chunk, *index->add_chunks());
    }
}

void checkpoint_writer::add_items(const job& value, proto::JobIndex*& index)
{
    for (std::uint32_t item = 0; item < value.item_count(); ++item)
    {
        const auto parts = parts_.size();
        reserve(item_bytes);
        if (parts != parts_.size())
        {
            index = parts_.back().add_jobs();
            index->mutable_commit()->set_job_id(value.id());
            index->set_first_item(item);
            part_bytes_ += value.id().size() + message_overhead;
        }
        add_item(value, item, *index);
    }
}

void checkpoint_writer::add_item(const job& value, std::uint32_t item,
                                 proto::JobIndex& index)
{
    const auto place = value.result(item);
    index.mutable_statuses()->push_back(static_cast<char>(value.status(item)));
    index.add_result_offsets(place.offset);
    index.add_result_entries(place.entry);
    if (value.has_intent(item))
        index.add_intents(item);
}

} // namespace tanagertrack::state
