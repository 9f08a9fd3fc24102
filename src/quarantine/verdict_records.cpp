#include "quarantine/verdict_records.hpp"

#include "common/logging.hpp"
#include "proto/quarantine.pb.h"
#include "store/keyed_record.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace tanagertrack::quarantine
{

namespace
{

/// Maximum size of a recorded set; a record with a larger one is not valid.
constexpr int max_recorded_parts = 64;

std::optional<routing::part_key> parse_key(const std::string& text)
{
    constexpr int base = 16;
    routing::part_key part = 0;
    const auto* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, part, base);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return part;
}

/// Returns std::nullopt if the record is not valid.
std::optional<crash_cause> read_cause(const proto::VerdictRecord& record)
{
    crash_cause cause;
    cause.part = record.part();
    cause.parts = {record.parts().begin(), record.parts().end()};
    cause.exact = record.exact();
    std::ranges::sort(cause.parts);
    if (record.parts_size() > max_recorded_parts ||
        !std::ranges::binary_search(cause.parts, cause.part))
        return std::nullopt;
    return cause;
}

} // namespace

verdict_records::verdict_records(boost::asio::io_context& context,
                                 const store::store_service& service,
                                 const std::string& topic,
                                 const std::string& writer, record_hooks hooks)
    : hooks_(std::move(hooks))
{
    store::keyed_hooks changes;
    changes.on_value =
        [this](const std::string& key, std::optional<std::string_view> value)
    {
        apply(key, value);
    };
    changes.on_list = [this](const std::vector<std::string>& keys)
    {
        const std::set<std::string> existing(keys.begin(), keys.end());
        for (const auto& [part, terms] : std::map(recorded_))
        {
            if (!existing.contains(routing::to_string(part)))
                apply(routing::to_string(part), std::nullopt);
        }
    };
    changes.on_reachable = [topic](bool reachable)
    {
        common::log_info(reachable ? "store_regained" : "store_lost",
                         {{"topic", topic}});
    };
    const store::partition_ref partition{topic, 0};
    follower_ = std::make_shared<store::keyed_follower>(
        context, service, partition, store::follower_settings(),
        std::move(changes));
    writer_ = std::make_shared<store::partition_writer>(
        context, service, partition, writer, store::writer_settings());
}

void verdict_records::start()
{
    follower_->start();
}

void verdict_records::apply(const std::string& key,
                            std::optional<std::string_view> value)
{
    const auto part = parse_key(key);
    if (part && !value)
    {
        if (recorded_.erase(*part) != 0)
            hooks_.on_removed(*part);
        return;
    }
    proto::VerdictRecord record;
    const bool parsed =
        part &&
        record.ParseFromArray(value->data(), static_cast<int>(value->size()));
    const auto cause = parsed ? read_cause(record) : std::nullopt;
    if (!cause || cause->part != *part)
        return common::log_warning(
            "verdict_record_skipped",
            {{"key", key}, {"bytes", value ? value->size() : 0}});
    recorded_[*part] = record.terms();
    hooks_.on_recorded(*cause, record.terms());
}

void verdict_records::write(const verdict& value)
{
    proto::VerdictRecord record;
    record.set_part(value.cause.part);
    for (const auto part : value.cause.parts)
        record.add_parts(part);
    record.set_exact(value.cause.exact);
    record.set_terms(value.terms);
    append(value.cause.part, record.SerializeAsString());
}

void verdict_records::remove(routing::part_key part)
{
    append(part, {});
}

void verdict_records::append(routing::part_key part, const std::string& value)
{
    writer_->append(
        {store::make_keyed_record(routing::to_string(part), value)}, true,
        [part](std::error_code ec, std::uint64_t)
        {
            if (ec)
                common::log_warning("verdict_record_dropped",
                                    {{"part", routing::to_string(part)},
                                     {"what", ec.message()}});
        });
}

std::uint32_t verdict_records::recorded_terms(routing::part_key part) const
{
    const auto it = recorded_.find(part);
    return it == recorded_.end() ? 0 : it->second;
}

} // namespace tanagertrack::quarantine
