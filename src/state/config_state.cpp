#include "state/config_state.hpp"

#include "state/config_lists.hpp"

#include <boost/assert.hpp>
#include <google/protobuf/arena.h>

#include <algorithm>

namespace tanagertrack::state
{

namespace
{

constexpr std::size_t arena_block_bytes = 64 * 1024;

/// Upper bounds of the encoding overhead in a snapshot in bytes, with tags and
/// lengths.
constexpr std::size_t object_overhead_bytes = 6;
constexpr std::size_t part_overhead_bytes = 128;

/// Copies a configuration into an arena of its own, which the returned pointer
/// keeps alive. The copy needs few allocations and is freed as a whole.
std::shared_ptr<proto::FleetConfig> copy(const proto::FleetConfig& config)
{
    google::protobuf::ArenaOptions options;
    options.max_block_size = arena_block_bytes;
    auto arena = std::make_shared<google::protobuf::Arena>(options);
    auto* out =
        google::protobuf::Arena::CreateMessage<proto::FleetConfig>(arena.get());
    *out = config;
    return {std::move(arena), out};
}

/// Parts of an object's name "kind/name".
struct object_name
{
    std::string_view kind;
    std::string_view name;
};

object_name split_object(std::string_view object)
{
    const auto slash = object.find('/');
    BOOST_ASSERT(slash != std::string_view::npos);
    return {object.substr(0, slash), object.substr(slash + 1)};
}

/// Returns the ticket number of an object, or 0 if it does not exist.
std::uint64_t existing_number(const proto::FleetConfig& config,
                              std::string_view object)
{
    const auto number = [](const auto* spec)
    {
        return spec == nullptr ? std::uint64_t{0} : spec->ticket();
    };
    const auto [kind, name] = split_object(object);
    if (kind == "targets")
        return number(find(config.targets(), name));
    if (kind == "models")
        return number(find(config.models(), name));
    if (kind == "services")
        return number(find(config.services(), name));
    return number(find(config.teams(), name));
}

void erase_object(proto::FleetConfig& config, std::string_view object)
{
    const auto [kind, name] = split_object(object);
    if (kind == "targets")
        erase(*config.mutable_targets(), name);
    else if (kind == "models")
        erase(*config.mutable_models(), name);
    else if (kind == "services")
        erase(*config.mutable_services(), name);
    else
        erase(*config.mutable_teams(), name);
}

/// Returns true if the ticket sets the model or service, or if the
/// configuration has it and the ticket does not remove it.
bool is_known_name(const proto::FleetConfig& config,
                   const config::ticket& ticket, const std::string& name)
{
    const auto removes = [&ticket](const std::string& object)
    {
        return std::ranges::binary_search(ticket.removed, object);
    };
    const auto sets = [&name](const auto& list)
    {
        return std::ranges::binary_search(
            list, name, {},
            [](const auto& it) -> const std::string& { return it.name(); });
    };

    const bool model =
        sets(ticket.models) ||
        (find(config.models(), name) != nullptr && !removes("models/" + name));
    const bool service =
        sets(ticket.services) || (find(config.services(), name) != nullptr &&
                                  !removes("services/" + name));
    return model || service;
}

/// Drops removed objects, those with the lowest ticket numbers first, until at
/// most `max_removed` are left.
void trim_removed(proto::FleetConfig& config, std::size_t max_removed)
{
    auto& list = *config.mutable_removed();
    while (static_cast<std::size_t>(list.size()) > max_removed)
    {
        const auto oldest = std::ranges::min_element(
            list, {}, [](const proto::RemovedSpec& it) { return it.ticket(); });
        config.set_removed_floor(
            std::max(config.removed_floor(), oldest->ticket()));
        list.erase(oldest);
    }
}

/// Drops the oldest accepted tickets until at most `max_accepted` are left.
void trim_accepted(proto::FleetConfig& config, std::size_t max_accepted)
{
    auto& list = *config.mutable_accepted();
    while (static_cast<std::size_t>(list.size()) > max_accepted)
    {
        config.set_accepted_floor(
            std::max(config.accepted_floor(), list.begin()->number()));
        list.erase(list.begin());
    }
}

/// Splits a configuration into the parts of a snapshot.
class snapshot_writer
{
public:
    snapshot_writer(const proto::FleetConfig& config, std::uint64_t through,
                    std::size_t max_part_bytes)
        : config_(config), through_(through), max_part_bytes_(max_part_bytes)
    {
        BOOST_ASSERT(max_part_bytes >= 1024);
        start_part();
    }

    template<typename Spec>
    void add(const google::protobuf::RepeatedPtrField<Spec>& list,
             Spec* (proto::FleetConfig::*add_to)())
    {
        for (const auto& it : list)
        {
            const auto bytes = it.ByteSizeLong() + object_overhead_bytes;
            if (part_bytes_ + bytes > max_part_bytes_)
                start_part();
            part_bytes_ += bytes;
            *(parts_.back().mutable_config()->*add_to)() = it;
        }
    }

    std::vector<proto::ConfigSnapshot> finish()
    {
        for (auto& it : parts_)
            it.set_parts(static_cast<std::uint32_t>(parts_.size()));
        return std::move(parts_);
    }

private:
    void start_part()
    {
        const auto number = static_cast<std::uint32_t>(parts_.size());
        auto& part = parts_.emplace_back();
        part.set_part(number);
        part.set_through_offset(through_);
        part.mutable_config()->set_version(config_.version());
        part.mutable_config()->set_removed_floor(config_.removed_floor());
        part.mutable_config()->set_accepted_floor(config_.accepted_floor());
        part_bytes_ = part_overhead_bytes;
    }

    const proto::FleetConfig& config_;
    std::uint64_t through_;
    std::size_t max_part_bytes_;
    std::vector<proto::ConfigSnapshot> parts_;

    /// Upper estimate of the size of the last part in bytes.
    std::size_t part_bytes_ = 0;
};

std::string join_errors(const std::vector<config::setting_error>& errors)
{
    // Keeps results small; the operator can fix these errors first.
    constexpr std::size_t max_errors = 20;
    std::string text;
    for (std::size_t i = 0; i < std::min(errors.size(), max_errors); ++i)
        text += (i == 0 ? "" : "\n") + to_string(errors[i]);
    if (errors.size() > max_errors)
        text += "\nand " + std::to_string(errors.size() - max_errors) + " more";
    return text;
}

const proto::AcceptedTicket* find_accepted(const proto::FleetConfig& config,
                                           std::uint64_t number)
{
    const auto found = std::ranges::find(config.accepted(), number,
                                         [](const proto::AcceptedTicket& it)
                                         { return it.number(); });
    return found == config.accepted().end() ? nullptr : &*found;
}

} // namespace

std::string_view to_string(ticket_result_kind kind)
{
    switch (kind)
    {
    case ticket_result_kind::accepted:
        return "accepted";
    case ticket_result_kind::same_ticket:
        return "same_ticket";
    case ticket_result_kind::stale:
        return "stale";
    case ticket_result_kind::conflict:
        return "conflict";
    case ticket_result_kind::invalid:
        break;
    }
    return "invalid";
}

config_state::config_state(config_limits limits)
    : limits_(limits), current_(std::make_shared<proto::FleetConfig>())
{
}

config_state::~config_state() = default;

bool config_state::load(const proto::FleetConfig& config,
                        std::uint64_t read_through)
{
    std::vector<ticket_result> results;
    return adopt(config, read_through, results);
}

std::vector<ticket_result>
config_state::apply(std::uint64_t offset, const proto::ConfigRecord& record)
{
    std::vector<ticket_result> results;
    if (offset <= read_through_)
        return results;
    if (offset != read_through_ + 1)
    {
        // A snapshot that covers the gap also covers the tickets that were
        // deferred before it.
        complete_ = false;
        deferred_.clear();
        deferred_bytes_ = 0;
        deferred_from_ = offset;
    }
    read_through_ = offset;

    if (record.has_snapshot())
        apply_snapshot(record.writer(), record.snapshot(), results);
    else if (record.has_ticket() && complete_)
        results.push_back(apply_ticket(offset, record.ticket()));
    else if (record.has_ticket())
        defer_ticket(offset, record.ticket());
    return results;
}

ticket_result config_state::preview(const proto::Ticket& ticket) const
{
    config::ticket parsed;
    return evaluate_ticket(read_through_ + 1, ticket, parsed);
}

bool config_state::complete() const
{
    return complete_;
}

config_state::snapshot config_state::current() const
{
    return current_;
}

std::uint64_t config_state::read_through() const
{
    return read_through_;
}

std::optional<ticket_result>
config_state::find_result(std::uint64_t number) const
{
    if (const auto* accepted = find_accepted(*current_, number))
        return ticket_result{ticket_result_kind::accepted, number,
                             accepted->offset()};
    const auto found = std::find_if(results_.rbegin(), results_.rend(),
                                    [number](const ticket_result& it)
                                    { return it.number == number; });
    if (found == results_.rend())
        return std::nullopt;
    return *found;
}

std::vector<proto::ConfigSnapshot>
config_state::make_snapshot(std::size_t max_part_bytes) const
{
    BOOST_ASSERT(complete_);
    snapshot_writer writer(*current_, read_through_, max_part_bytes);
    writer.add(current_->targets(), &proto::FleetConfig::add_targets);
    writer.add(current_->models(), &proto::FleetConfig::add_models);
    writer.add(current_->services(), &proto::FleetConfig::add_services);
    writer.add(current_->teams(), &proto::FleetConfig::add_teams);
    writer.add(current_->removed(), &proto::FleetConfig::add_removed);
    writer.add(current_->accepted(), &proto::FleetConfig::add_accepted);
    return writer.finish();
}

std::size_t config_state::memory_bytes() const
{
    // Long strings are allocated outside the arena; the encoded size is used as
    // an estimate of their size.
    const auto* arena = current_->GetArena();
    return sizeof(*this) + deferred_bytes_ +
           results_.size() * sizeof(ticket_result) + current_->ByteSizeLong() +
           (arena == nullptr ? 0 : arena->SpaceAllocated());
}

ticket_result config_state::evaluate_ticket(std::uint64_t offset,
                                            const proto::Ticket& record,
                                            config::ticket& parsed) const
{
    ticket_result result;
    result.number = record.number();
    result.offset = offset;
    const auto errors =
        config::parse_ticket("ticket", record.document(), parsed);
    if (!errors.empty())
        result.message = join_errors(errors);
    else if (parsed.number != record.number())
        result.message =
            "the document has ticket number " + std::to_string(parsed.number) +
            ", but the record has " + std::to_string(record.number());
    else if (evaluate_number(parsed, result) &&
             evaluate_objects(parsed, result) &&
             evaluate_references(parsed, result) &&
             evaluate_table_sizes(parsed, result))
        result.kind = ticket_result_kind::accepted;
    return result;
}

bool config_state::evaluate_number(const config::ticket& parsed,
                                   ticket_result& result) const
{
    if (const auto* known = find_accepted(*current_, parsed.number))
    {
        const bool same = known->content_hash() == content_hash(parsed);
        result.kind = same ? ticket_result_kind::same_ticket
                           : ticket_result_kind::conflict;
        result.message = "ticket " + std::to_string(parsed.number) +
                         (same ? " was already accepted at offset "
                               : " was already accepted with other content at "
                                 "offset ") +
                         std::to_string(known->offset());
        return false;
    }
    if (parsed.number > current_->accepted_floor())
        return true;
    result.kind = ticket_result_kind::stale;
    result.last_number = current_->accepted_floor();
    result.message = "expected a ticket number above " +
                     std::to_string(result.last_number) + ", found " +
                     std::to_string(parsed.number);
    return false;
}

bool config_state::evaluate_objects(const config::ticket& parsed,
                                    ticket_result& result) const
{
    for (const auto& object : changed_objects(parsed))
    {
        const auto last = last_number(object);
        if (parsed.number > last)
            continue;
        result.kind = ticket_result_kind::stale;
        result.object = object;
        result.last_number = last;
        result.message = object + ": expected a ticket number above " +
                         std::to_string(last) + ", found " +
                         std::to_string(parsed.number);
        return false;
    }
    return true;
}

bool config_state::evaluate_references(const config::ticket& parsed,
                                       ticket_result& result) const
{
    for (const auto& target : parsed.targets)
    {
        for (const auto& name : target.models())
        {
            if (is_known_name(*current_, parsed, name))
                continue;
            result.message = "targets/" + target.name() +
                             ".models: no model or service '" + name + "'";
            return false;
        }
    }
    return true;
}

bool config_state::evaluate_table_sizes(const config::ticket& parsed,
                                        ticket_result& result) const
{
    const auto fits = [&result](std::string_view kind, const auto& list,
                                const auto& changes, std::size_t limit)
    {
        const auto count =
            static_cast<std::size_t>(list.size()) + count_new(list, changes);
        if (count <= limit)
            return true;
        result.message = std::string(kind) + ": expected at most " +
                         std::to_string(limit) + " in all, found " +
                         std::to_string(count);
        return false;
    };
    return fits("targets", current_->targets(), parsed.targets,
                limits_.max_targets) &&
           fits("models", current_->models(), parsed.models,
                limits_.max_models) &&
           fits("services", current_->services(), parsed.services,
                limits_.max_services) &&
           fits("teams", current_->teams(), parsed.teams, limits_.max_teams);
}

std::uint64_t config_state::last_number(std::string_view object) const
{
    if (const auto number = existing_number(*current_, object))
        return number;
    if (const auto* removed = find(current_->removed(), object))
        return removed->ticket();
    return current_->removed_floor();
}

ticket_result config_state::apply_ticket(std::uint64_t offset,
                                         const proto::Ticket& record)
{
    config::ticket parsed;
    auto result = evaluate_ticket(offset, record, parsed);
    if (result.kind == ticket_result_kind::accepted)
        apply_accepted(offset, parsed);
    results_.push_back(result);
    if (results_.size() > limits_.max_results)
        results_.pop_front();
    return result;
}

void config_state::apply_accepted(std::uint64_t offset,
                                  const config::ticket& parsed)
{
    auto next = copy(*current_);
    next->set_version(offset);
    merge(*next->mutable_targets(), parsed.targets);
    merge(*next->mutable_models(), parsed.models);
    merge(*next->mutable_services(), parsed.services);
    merge(*next->mutable_teams(), parsed.teams);

    std::vector<proto::RemovedSpec> removed;
    for (const auto& object : parsed.removed)
    {
        erase_object(*next, object);
        proto::RemovedSpec spec;
        spec.set_object(object);
        spec.set_ticket(parsed.number);
        removed.push_back(std::move(spec));
    }
    // Objects that exist again hold their ticket number themselves.
    if (next->removed_size() > 0)
    {
        for (const auto& object : changed_objects(parsed))
            erase(*next->mutable_removed(), object);
    }
    merge(*next->mutable_removed(), removed);
    trim_removed(*next, limits_.max_removed);

    auto* accepted = next->add_accepted();
    accepted->set_number(parsed.number);
    accepted->set_content_hash(content_hash(parsed));
    accepted->set_offset(offset);
    trim_accepted(*next, limits_.max_accepted);
    current_ = std::move(next);
}

void config_state::apply_snapshot(const std::string& writer,
                                  const proto::ConfigSnapshot& part,
                                  std::vector<ticket_result>& results)
{
    // A complete state has applied all records that the snapshot covers.
    if (complete_)
        return;
    if (part.part() == 0)
        progress_ = {writer, {}, 0};
    auto& merged = progress_.merged;
    const bool is_next =
        part.part() == progress_.next_part && writer == progress_.writer &&
        (part.part() == 0 || part.through_offset() == merged.through_offset());
    if (!is_next || merged.ByteSizeLong() + part.ByteSizeLong() >
                        limits_.max_deferred_bytes)
        return;

    merged.MergeFrom(part);
    ++progress_.next_part;
    if (progress_.next_part < part.parts())
        return;
    adopt(merged.config(), merged.through_offset(), results);
    progress_ = {};
}

bool config_state::adopt(const proto::FleetConfig& config,
                         std::uint64_t through,
                         std::vector<ticket_result>& results)
{
    const bool is_ahead =
        complete_ ? through > read_through_ : through + 1 >= deferred_from_;
    if (!is_ahead || config.version() < current_->version())
        return false;

    current_ = copy(config);
    complete_ = true;
    read_through_ = std::max(read_through_, through);
    for (const auto& it : deferred_)
    {
        if (it.offset > through)
            results.push_back(apply_ticket(it.offset, it.record));
    }
    deferred_.clear();
    deferred_bytes_ = 0;
    return true;
}

void config_state::defer_ticket(std::uint64_t offset,
                                const proto::Ticket& record)
{
    deferred_.push_back({offset, record});
    deferred_bytes_ += record.ByteSizeLong() + sizeof(deferred_ticket);
    // Dropped tickets have to be covered by a later snapshot.
    while (deferred_bytes_ > limits_.max_deferred_bytes)
    {
        const auto& oldest = deferred_.front();
        deferred_bytes_ -=
            oldest.record.ByteSizeLong() + sizeof(deferred_ticket);
        deferred_from_ = oldest.offset + 1;
        deferred_.pop_front();
    }
}

} // namespace tanagertrack::state
