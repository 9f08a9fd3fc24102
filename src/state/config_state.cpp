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

/// Upper bounds of encoded sizes in a snapshot, with tags and lengths.
constexpr std::size_t object_overhead_bytes = 6;
constexpr std::size_t part_overhead_bytes = 128;

/// Copies a configuration into an arena of its own, which the pointer keeps
/// alive: the copy takes few allocations and is freed in one go.
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

struct object_name
{
    std::string_view kind;
    std::string_view name;
};

object_name split(std::string_view object)
{
    const auto slash = object.find('/');
    BOOST_ASSERT(slash != std::string_view::npos);
    return {object.substr(0, slash), object.substr(slash + 1)};
}

/// Ticket number of an existing object; 0: there is none.
std::uint64_t existing_number(const proto::FleetConfig& config,
                              std::string_view object)
{
    const auto number = [](const auto* spec)
    {
        return spec == nullptr ? std::uint64_t{0} : spec->ticket();
    };
    const auto [kind, name] = split(object);
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
    const auto [kind, name] = split(object);
    if (kind == "targets")
        erase(*config.mutable_targets(), name);
    else if (kind == "models")
        erase(*config.mutable_models(), name);
    else if (kind == "services")
        erase(*config.mutable_services(), name);
    else
        erase(*config.mutable_teams(), name);
}

/// Whether the ticket or the configuration has the model or service, and the
/// ticket does not remove it.
bool knows_name(const proto::FleetConfig& config, const config::ticket& ticket,
                const std::string& name)
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

/// Drops the removed objects with the lowest numbers above the limit.
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

/// Drops the oldest accepted tickets above the limit.
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

    /// Bytes of the last part, an upper estimate.
    std::size_t part_bytes_ = 0;
};

std::string join(const std::vector<config::setting_error>& errors)
{
    // Enough for an operator to start with; a verdict stays small.
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
        complete_ = false;
        waiting_.clear();
        waiting_bytes_ = 0;
        waiting_from_ = offset;
    }
    read_through_ = offset;

    if (record.has_snapshot())
        apply_snapshot(record.writer(), record.snapshot(), results);
    else if (record.has_ticket() && complete_)
        results.push_back(apply_ticket(offset, record.ticket()));
    else if (record.has_ticket())
        hold_back(offset, record.ticket());
    return results;
}

ticket_result config_state::preview(const proto::Ticket& ticket) const
{
    config::ticket parsed;
    return judge(read_through_ + 1, ticket, parsed);
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
    // Long texts lie outside the arena; the encoded size stands for them.
    const auto* arena = current_->GetArena();
    return sizeof(*this) + waiting_bytes_ +
           results_.size() * sizeof(ticket_result) + current_->ByteSizeLong() +
           (arena == nullptr ? 0 : arena->SpaceAllocated());
}

ticket_result config_state::judge(std::uint64_t offset,
                                  const proto::Ticket& record,
                                  config::ticket& parsed) const
{
    ticket_result result;
    result.number = record.number();
    result.offset = offset;
    const auto errors =
        config::parse_ticket("ticket", record.document(), parsed);
    if (!errors.empty())
        result.message = join(errors);
    else if (parsed.number != record.number())
        result.message = "the document has the number " +
                         std::to_string(parsed.number) + ", the record " +
                         std::to_string(record.number());
    else if (judge_number(parsed, result) && judge_objects(parsed, result) &&
             judge_references(parsed, result) && judge_sizes(parsed, result))
        result.kind = ticket_result_kind::accepted;
    return result;
}

bool config_state::judge_number(const config::ticket& parsed,
                                ticket_result& result) const
{
    if (const auto* known = find_accepted(*current_, parsed.number))
    {
        const bool same = known->content_hash() == content_hash(parsed);
        result.kind = same ? ticket_result_kind::same_ticket
                           : ticket_result_kind::conflict;
        result.message = same ? "accepted before at offset "
                              : "the number was used with other content at "
                                "offset ";
        result.message += std::to_string(known->offset());
        return false;
    }
    if (parsed.number > current_->accepted_floor())
        return true;
    result.kind = ticket_result_kind::stale;
    result.lost_to = current_->accepted_floor();
    result.message = "numbers up to " + std::to_string(result.lost_to) +
                     " are no longer accepted";
    return false;
}

bool config_state::judge_objects(const config::ticket& parsed,
                                 ticket_result& result) const
{
    for (const auto& object : touched_objects(parsed))
    {
        const auto last = last_number(object);
        if (parsed.number > last)
            continue;
        result.kind = ticket_result_kind::stale;
        result.object = object;
        result.lost_to = last;
        result.message =
            object + " has the state of ticket " + std::to_string(last);
        return false;
    }
    return true;
}

bool config_state::judge_references(const config::ticket& parsed,
                                    ticket_result& result) const
{
    for (const auto& target : parsed.targets)
    {
        for (const auto& name : target.models())
        {
            if (knows_name(*current_, parsed, name))
                continue;
            result.message = "targets/" + target.name() +
                             ".models: no model or service '" + name + "'";
            return false;
        }
    }
    return true;
}

bool config_state::judge_sizes(const config::ticket& parsed,
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
    auto result = judge(offset, record, parsed);
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
    // Objects that exist again carry their number themselves.
    if (next->removed_size() > 0)
    {
        for (const auto& object : touched_objects(parsed))
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
    // A complete state has read everything that the snapshot covers.
    if (complete_)
        return;
    if (part.part() == 0)
        progress_ = {writer, {}, 0};
    auto& sum = progress_.parts;
    const bool expected =
        part.part() == progress_.next_part && writer == progress_.writer &&
        (part.part() == 0 || part.through_offset() == sum.through_offset());
    if (!expected ||
        sum.ByteSizeLong() + part.ByteSizeLong() > limits_.max_waiting_bytes)
        return;

    sum.MergeFrom(part);
    ++progress_.next_part;
    if (progress_.next_part < part.parts())
        return;
    adopt(sum.config(), sum.through_offset(), results);
    progress_ = {};
}

bool config_state::adopt(const proto::FleetConfig& config,
                         std::uint64_t through,
                         std::vector<ticket_result>& results)
{
    const bool ahead =
        complete_ ? through > read_through_ : through + 1 >= waiting_from_;
    if (!ahead || config.version() < current_->version())
        return false;

    current_ = copy(config);
    complete_ = true;
    read_through_ = std::max(read_through_, through);
    for (const auto& it : waiting_)
    {
        if (it.offset > through)
            results.push_back(apply_ticket(it.offset, it.record));
    }
    waiting_.clear();
    waiting_bytes_ = 0;
    return true;
}

void config_state::hold_back(std::uint64_t offset, const proto::Ticket& record)
{
    waiting_.push_back({offset, record});
    waiting_bytes_ += record.ByteSizeLong() + sizeof(waiting_ticket);
    // A later snapshot has to cover what is dropped here.
    while (waiting_bytes_ > limits_.max_waiting_bytes)
    {
        const auto& oldest = waiting_.front();
        waiting_bytes_ -= oldest.record.ByteSizeLong() + sizeof(waiting_ticket);
        waiting_from_ = oldest.offset + 1;
        waiting_.pop_front();
    }
}

} // namespace tanagertrack::state
