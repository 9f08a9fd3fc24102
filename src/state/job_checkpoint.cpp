#include "state/job_checkpoint.hpp"

#include <set>
#include <utility>

namespace tanagertrack::state
{

namespace
{

proto::SavedItem save_item(const job_item& from)
{
    proto::SavedItem it;
    it.set_id_hash(from.id_hash);
    it.set_tokens(from.tokens);
    it.set_state(from.state);
    it.set_text_partition(from.text.partition);
    it.set_text_offset(from.text.offset);
    return it;
}

job_item load_item(const proto::SavedItem& from)
{
    return {from.id_hash(),
            from.tokens(),
            from.state(),
            {from.text_partition(), from.text_offset()}};
}

proto::SavedPart save_part(const job_part& from)
{
    proto::SavedPart it;
    it.set_offset(from.offset);
    it.set_first_item(from.first_item);
    it.set_item_count(from.item_count);
    return it;
}

job_part load_part(const proto::SavedPart& from)
{
    return {from.offset(), from.first_item(), from.item_count()};
}

} // namespace

/// Converts the state of a table to messages of bounded size, and back.
class job_table_serializer
{
public:
    explicit job_table_serializer(std::size_t max_part_bytes)
        : max_part_bytes_(max_part_bytes), states_(1)
    {
    }

    std::vector<proto::JobTableState> save(const job_table& from)
    {
        for (const auto& [offset, id] : from.accepted_ids_)
            save_job(from.jobs_.find(id)->second);
        for (const auto& key : from.submission_order_)
            save_submission(key, from.submissions_.find(key)->second);

        // Departed members are needed only while they are runners of jobs: a
        // new process of the same host takes over these jobs.
        std::set<std::string_view> runners;
        for (const auto& [id, it] : from.jobs_)
            runners.insert(it.runner);
        for (const auto& [id, it] : from.members_)
        {
            if (!it.departed || runners.contains(id))
                save_member(it);
        }
        for (const auto& [id, it] : from.calls_)
            save_call(id, it);
        return std::move(states_);
    }

    static void load(job_table& to, const proto::JobTableState& from)
    {
        for (const auto& it : from.jobs())
            load_job(to, it);
        for (const auto& it : from.intakes())
            load_submission(to, it);
        for (const auto& it : from.members())
        {
            to.members_[it.id()] = {it.id(), it.host(), it.address(),
                                    static_cast<std::uint16_t>(it.port()),
                                    it.gone()};
        }
        for (const auto& it : from.calls())
        {
            auto& call = to.calls_[it.call()];
            call.content_hash = it.content_hash();
            call.member = it.member();
            call.attempt = it.attempt();
            call.created_ms = it.created_ms();
            if (it.ended())
                call.outcome_at = it.outcome_at();
        }
    }

private:
    /// Returns the part that is being filled; starts a new one if it has
    /// reached the limit. A part may exceed the limit by one message.
    proto::JobTableState& current_part()
    {
        if (bytes_ >= max_part_bytes_)
        {
            states_.emplace_back();
            bytes_ = 0;
        }
        return states_.back();
    }

    /// Adds the encoded size of a message to the size of the current part.
    template<typename Message>
    void count_bytes(const Message& it)
    {
        constexpr std::size_t frame_bytes = 4; // tag and length
        bytes_ += it.ByteSizeLong() + frame_bytes;
    }

    void save_job(const batch_job& from)
    {
        proto::SavedJob head;
        head.set_id(from.id);
        head.set_route(from.route);
        head.set_host(from.host);
        head.set_team(from.team);
        head.set_content_hash(from.content_hash);
        head.set_runner(from.runner);
        head.set_accepted_at(from.accepted_at);
        head.set_created_ms(from.created_ms);
        head.set_due_after_ms(from.due_after_ms);
        head.set_keep_ms(from.keep_ms);
        head.set_configuration_version(from.configuration_version);
        head.set_ended(from.cancelled);
        if (from.results_before_cancellation)
            head.set_results_before_end(*from.results_before_cancellation);
        for (const auto& [item, it] : from.progress)
        {
            auto& out = *head.add_progress();
            out.set_item(item);
            out.set_last_event(it.last_event);
            out.set_text_partition(it.text.partition);
            out.set_text_offset(it.text.offset);
            out.set_failures(it.failures);
            out.set_run_ms(static_cast<std::uint32_t>(it.run_time.count()));
        }
        for (const auto& [item, member] : from.intents)
        {
            auto& out = *head.add_intents();
            out.set_item(item);
            out.set_member(member);
        }
        for (const auto& it : from.parts)
            *head.add_parts() = save_part(it);
        count_bytes(head);
        *current_part().add_jobs() = std::move(head);

        // Lists that grow with the number of items may span several parts.
        for (const auto& it : from.items)
            add_to_job(from.id, [&](proto::SavedJob& job)
                       { count_bytes(*job.add_items() = save_item(it)); });
        for (const auto it : from.results)
            add_to_job(from.id,
                       [&](proto::SavedJob& job)
                       {
                           constexpr std::size_t index_bytes = 5; // varint
                           job.add_results(it);
                           bytes_ += index_bytes;
                       });
    }

    /// Calls `function` with the job's message in the part that is being
    /// filled; adds the message if there is none.
    template<typename Function>
    void add_to_job(const std::string& id, Function function)
    {
        auto& state = current_part();
        const auto n = state.jobs_size();
        if (n == 0 || state.jobs(n - 1).id() != id)
            state.add_jobs()->set_id(id);
        function(*state.mutable_jobs(state.jobs_size() - 1));
    }

    void save_submission(const std::string& key,
                         const job_table::submission& from)
    {
        proto::SavedIntake out;
        out.set_key(key);
        for (const auto& it : from.items)
            *out.add_items() = save_item(it);
        for (const auto& it : from.parts)
            *out.add_parts() = save_part(it);
        count_bytes(out);
        *current_part().add_intakes() = std::move(out);
    }

    void save_member(const batch_member& from)
    {
        proto::SavedMember out;
        out.set_id(from.id);
        out.set_host(from.host);
        out.set_address(from.address);
        out.set_port(from.port);
        out.set_gone(from.departed);
        count_bytes(out);
        *current_part().add_members() = std::move(out);
    }

    void save_call(const std::string& id, const at_most_once_call& from)
    {
        proto::SavedCall out;
        out.set_call(id);
        out.set_content_hash(from.content_hash);
        out.set_member(from.member);
        out.set_attempt(from.attempt);
        out.set_created_ms(from.created_ms);
        out.set_ended(from.outcome_at.has_value());
        out.set_outcome_at(from.outcome_at.value_or(0));
        count_bytes(out);
        *current_part().add_calls() = std::move(out);
    }

    static void load_job(job_table& to, const proto::SavedJob& from)
    {
        auto& it = to.jobs_[from.id()];
        if (it.id.empty())
        {
            // Only the first message of a job has these fields; the others
            // continue its lists.
            it.id = from.id();
            it.route = from.route();
            it.host = from.host();
            it.team = from.team();
            it.content_hash = from.content_hash();
            it.runner = from.runner();
            it.accepted_at = from.accepted_at();
            it.created_ms = from.created_ms();
            it.due_after_ms = from.due_after_ms();
            it.keep_ms = from.keep_ms();
            it.configuration_version = from.configuration_version();
            it.cancelled = from.ended();
            if (from.has_results_before_end())
                it.results_before_cancellation = from.results_before_end();
            to.accepted_ids_[it.accepted_at] = it.id;
        }
        for (const auto& part : from.parts())
            it.parts.push_back(load_part(part));
        for (const auto& item : from.items())
        {
            it.items.push_back(load_item(item));
            const bool is_waiting =
                !it.cancelled && item.state() == proto::ITEM_OPEN;
            to.waiting_tokens_[{it.route, it.team}] +=
                is_waiting ? item.tokens() : 0;
        }
        it.results.insert(it.results.end(), from.results().begin(),
                          from.results().end());
        for (const auto& progress : from.progress())
            it.progress[progress.item()] = {
                progress.last_event(),
                {progress.text_partition(), progress.text_offset()},
                progress.failures(),
                std::chrono::milliseconds(progress.run_ms())};
        for (const auto& intent : from.intents())
            it.intents[intent.item()] = intent.member();
    }

    static void load_submission(job_table& to, const proto::SavedIntake& from)
    {
        auto& it = to.submissions_[from.key()];
        to.submission_order_.push_back(from.key());
        for (const auto& item : from.items())
            it.items.push_back(load_item(item));
        for (const auto& part : from.parts())
            it.parts.push_back(load_part(part));
    }

    std::size_t max_part_bytes_;
    std::vector<proto::JobTableState> states_;

    /// Estimated size in bytes of the part that is being filled.
    std::size_t bytes_ = 0;
};

std::vector<proto::JobRecord> make_checkpoint(const job_table& from,
                                              std::uint64_t as_of,
                                              std::string_view id,
                                              std::size_t max_part_bytes)
{
    auto states = job_table_serializer(max_part_bytes).save(from);
    std::vector<proto::JobRecord> records(states.size());
    for (std::size_t i = 0; i < states.size(); ++i)
    {
        auto& part = *records[i].mutable_checkpoint();
        part.set_id(std::string(id));
        part.set_as_of(as_of);
        part.set_index(static_cast<std::uint32_t>(i));
        part.set_count(static_cast<std::uint32_t>(states.size()));
        *part.mutable_state() = std::move(states[i]);
    }
    return records;
}

void checkpoint_reader::add_part(const proto::CheckpointPart& part)
{
    auto& parts = incomplete_[part.id()];
    parts[part.index()] = part.state();
    if (parts.size() < part.count())
        return;
    newest_ = checkpoint();
    newest_->as_of = part.as_of();
    for (auto& [index, state] : parts)
        newest_->states.push_back(std::move(state));

    // Incomplete checkpoints are no longer needed.
    incomplete_.clear();
}

void checkpoint_reader::clear()
{
    incomplete_.clear();
    newest_.reset();
}

void load_checkpoint(job_table& to, const checkpoint_reader::checkpoint& from)
{
    to.clear();
    for (const auto& it : from.states)
        job_table_serializer::load(to, it);
}

} // namespace tanagertrack::state
