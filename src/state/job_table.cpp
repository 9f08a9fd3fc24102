#include "state/job_table.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::state
{

namespace
{

/// Maximum number of submissions without a commit that are kept. Results of
/// commits depend on it, so it must be the same in all readers.
constexpr std::size_t max_submissions = 4096;

std::string submission_key(const std::string& job, const std::string& nonce)
{
    return job + '/' + nonce;
}

} // namespace

std::optional<std::uint32_t>
batch_job::find_item(std::string_view item_id) const
{
    const auto hash = common::hash64(item_id);
    const auto it = std::ranges::find(items, hash, &job_item::id_hash);
    if (it == items.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(it - items.begin());
}

job_table::job_table(job_table_hooks hooks) : hooks_(std::move(hooks))
{
}

void job_table::apply(std::uint64_t offset, const proto::JobRecord& record)
{
    switch (record.kind_case())
    {
    case proto::JobRecord::kMemberStarted:
        return apply_member_start(record.member_started());
    case proto::JobRecord::kMemberStopped:
        return apply_member_stop(record.member_stopped());
    case proto::JobRecord::kPart:
        return apply_part(offset, record.part());
    case proto::JobRecord::kCommit:
        return apply_commit(offset, record.commit());
    case proto::JobRecord::kResults:
        return apply_results(record.results());
    case proto::JobRecord::kEnd:
        return apply_job_end(record.end());
    case proto::JobRecord::kTaken:
        return apply_reassignment(record.taken());
    case proto::JobRecord::kProgress:
        return apply_progress(record.progress());
    case proto::JobRecord::kItemIntent:
        return apply_item_intent(record.item_intent());
    case proto::JobRecord::kCallIntent:
        return apply_call_intent(record.call_intent());
    case proto::JobRecord::kCallOutcome:
        return apply_call_outcome(offset, record.call_outcome());
    case proto::JobRecord::kCallForgotten:
        return apply_call_forgotten(record.call_forgotten());
    case proto::JobRecord::kMoved:
        return apply_move(record.moved());
    case proto::JobRecord::kCheckpoint:
    case proto::JobRecord::kPartCopy:
    case proto::JobRecord::KIND_NOT_SET:
        return;
    }
}

void job_table::clear()
{
    jobs_.clear();
    accepted_ids_.clear();
    submissions_.clear();
    submission_order_.clear();
    waiting_tokens_.clear();
    members_.clear();
    calls_.clear();
}

void job_table::apply_part(std::uint64_t offset, const proto::JobPart& part)
{
    const auto key = submission_key(part.job(), part.intake());
    const auto [position, inserted] = submissions_.try_emplace(key);
    auto& it = position->second;
    if (inserted)
    {
        // Drops the oldest submission, which has probably been abandoned.
        submission_order_.push_back(key);
        if (submission_order_.size() > max_submissions)
        {
            submissions_.erase(submission_order_.front());
            submission_order_.pop_front();
        }
    }

    // A part that is repeated, or that follows a missing one, is ignored. The
    // commit finds too few items if one is missing.
    if (part.first_item() != it.items.size())
        return;
    it.parts.push_back({offset, part.first_item(),
                        static_cast<std::uint32_t>(part.items_size())});
    for (const auto& item : part.items())
        it.items.push_back(
            {common::hash64(item.id()), item.tokens(), proto::ITEM_OPEN, {}});
}

void job_table::apply_commit(std::uint64_t offset,
                             const proto::JobCommit& commit)
{
    const auto result = evaluate_commit(commit);
    if (result == commit_result::accepted)
        accept_job(offset, commit);
    const auto key = submission_key(commit.job(), commit.intake());
    if (submissions_.erase(key) != 0)
        submission_order_.erase(std::ranges::find(submission_order_, key));
    if (hooks_.on_commit)
        hooks_.on_commit(commit, result);
}

commit_result job_table::evaluate_commit(const proto::JobCommit& commit) const
{
    if (const auto* known = find(commit.job()))
    {
        const bool same = commit.content_hash().empty() ||
                          commit.content_hash() == known->content_hash;
        return same && known->is_visible_to(commit.team())
                   ? commit_result::repeated
                   : commit_result::conflict;
    }
    const auto it =
        submissions_.find(submission_key(commit.job(), commit.intake()));
    if (it == submissions_.end() || it->second.items.empty() ||
        it->second.items.size() != commit.item_count())
        return commit_result::incomplete;
    if (commit.max_waiting_tokens() == 0)
        return commit_result::accepted;

    std::uint64_t tokens = waiting_tokens(commit.route(), commit.team());
    for (const auto& item : it->second.items)
        tokens += item.tokens;
    return tokens > commit.max_waiting_tokens() ? commit_result::over_limit
                                                : commit_result::accepted;
}

void job_table::accept_job(std::uint64_t offset, const proto::JobCommit& commit)
{
    auto& from = submissions_[submission_key(commit.job(), commit.intake())];
    auto& it = jobs_[commit.job()];
    it.id = commit.job();
    it.route = commit.route();
    it.host = commit.host();
    it.runner = commit.member();
    it.accepted_at = offset;
    it.created_ms = commit.created_ms();
    it.due_after_ms = commit.due_after_ms();
    it.keep_ms = commit.keep_ms();
    it.team = commit.team();
    it.content_hash = commit.content_hash();
    it.configuration_version = commit.configuration_version();
    it.items = std::move(from.items);
    it.parts = std::move(from.parts);
    accepted_ids_[offset] = it.id;
    auto& waiting = waiting_tokens_[{it.route, it.team}];
    for (const auto& item : it.items)
        waiting += item.tokens;
}

void job_table::apply_results(const proto::ItemResults& results)
{
    auto* it = find_mutable(results.job());
    if (it == nullptr)
        return;
    for (const auto& result : results.results())
    {
        const bool known = result.item() < it->items.size() &&
                           result.state() != proto::ITEM_OPEN;
        if (!known || it->items[result.item()].state != proto::ITEM_OPEN)
            continue;
        auto& item = it->items[result.item()];
        item.state = result.state();
        item.text = {result.text_partition(), result.text_offset()};
        it->results.push_back(result.item());
        it->progress.erase(result.item());
        it->intents.erase(result.item());
        if (!it->cancelled)
            release_tokens(*it, item.tokens);
        if (hooks_.on_result)
            hooks_.on_result(*it, result.item());
    }
}

void job_table::apply_job_end(const proto::JobEnd& end)
{
    auto* it = find_mutable(end.job());
    if (it == nullptr || std::exchange(it->cancelled, true))
        return;
    it->results_before_cancellation =
        static_cast<std::uint32_t>(it->results.size());
    for (const auto& item : it->items)
    {
        if (item.state == proto::ITEM_OPEN)
            release_tokens(*it, item.tokens);
    }
    it->progress.clear();
    if (hooks_.on_cancelled)
        hooks_.on_cancelled(*it);
}

void job_table::apply_reassignment(const proto::JobTaken& taken)
{
    auto* it = find_mutable(taken.job());
    if (it == nullptr || it->runner != taken.from())
        return;
    it->runner = taken.member();
    if (hooks_.on_reassigned)
        hooks_.on_reassigned(*it, taken.from());
}

void job_table::apply_progress(const proto::ItemProgress& progress)
{
    auto* it = find_mutable(progress.job());
    if (it == nullptr || it->cancelled || progress.item() >= it->items.size() ||
        it->items[progress.item()].state != proto::ITEM_OPEN)
        return;
    it->progress[progress.item()] = {
        progress.last_event(),
        {progress.text_partition(), progress.text_offset()},
        progress.failures(),
        std::chrono::milliseconds(progress.run_ms())};
}

void job_table::apply_item_intent(const proto::ItemIntent& intent)
{
    const auto result = record_item_intent(intent);
    if (hooks_.on_item_intent)
        hooks_.on_item_intent(intent, result);
}

intent_result job_table::record_item_intent(const proto::ItemIntent& intent)
{
    auto* it = find_mutable(intent.job());
    const bool open = it != nullptr && !it->cancelled &&
                      intent.item() < it->items.size() &&
                      it->items[intent.item()].state == proto::ITEM_OPEN;
    if (!open)
        return intent_result::no_open_item;
    const bool first =
        it->intents.emplace(intent.item(), intent.member()).second;
    return first ? intent_result::first : intent_result::repeated;
}

void job_table::apply_call_intent(const proto::CallIntent& intent)
{
    const auto [position, inserted] = calls_.try_emplace(intent.call());
    auto& it = position->second;
    auto result = intent_result::repeated;
    if (inserted)
    {
        it.content_hash = intent.content_hash();
        it.member = intent.member();
        it.attempt = intent.attempt();
        it.created_ms = intent.created_ms();
        result = intent_result::first;
    }
    else if (it.content_hash != intent.content_hash())
        result = intent_result::conflict;
    if (hooks_.on_call_intent)
        hooks_.on_call_intent(intent, result);
}

void job_table::apply_call_outcome(std::uint64_t offset,
                                   const proto::CallOutcome& outcome)
{
    // The first outcome of a call counts. A copy changes only the location of
    // an outcome that is known.
    const auto it = calls_.find(outcome.call());
    if (it == calls_.end() ||
        it->second.outcome_at.has_value() != outcome.copied())
        return;
    it->second.outcome_at = offset;
    if (outcome.copied())
        return;
    if (hooks_.on_call_completed)
        hooks_.on_call_completed(outcome.call());
}

void job_table::apply_call_forgotten(const proto::CallForgotten& forgotten)
{
    const auto it = calls_.find(forgotten.call());
    const bool holds_intent = it != calls_.end() &&
                              it->second.attempt == forgotten.attempt() &&
                              !it->second.outcome_at;
    if (!holds_intent)
        return;
    calls_.erase(it);
    if (hooks_.on_call_completed)
        hooks_.on_call_completed(forgotten.call());
}

void job_table::apply_move(const proto::JobMoved& moved)
{
    auto* it = find_mutable(moved.job());
    if (it == nullptr)
        return;
    for (const auto& copy : moved.parts())
    {
        const auto part = std::ranges::find(it->parts, copy.first_item(),
                                            &job_part::first_item);
        if (part != it->parts.end())
            part->offset = copy.offset();
    }
    for (const auto& copy : moved.results())
    {
        const bool known = copy.item() < it->items.size() &&
                           it->items[copy.item()].state == copy.state() &&
                           copy.state() != proto::ITEM_OPEN;
        if (known)
            it->items[copy.item()].text = {copy.text_partition(),
                                           copy.text_offset()};
    }
    for (const auto& copy : moved.progress())
    {
        // Progress that was recorded after the copy refers to a newer text.
        const auto known = it->progress.find(copy.item());
        if (known != it->progress.end() &&
            known->second.last_event == copy.last_event())
            known->second.text = {copy.text_partition(), copy.text_offset()};
    }
    if (moved.complete() && hooks_.on_moved)
        hooks_.on_moved(*it);
}

void job_table::apply_member_start(const proto::MemberStarted& started)
{
    for (auto& [id, it] : members_)
    {
        if (it.host != started.host() || it.departed || id == started.member())
            continue;
        it.departed = true;
        if (hooks_.on_member)
            hooks_.on_member(it);
    }
    auto& it = members_[started.member()];
    it.id = started.member();
    it.host = started.host();
    it.address = started.address();
    it.port = static_cast<std::uint16_t>(started.port());
    it.departed = false;
    if (hooks_.on_member)
        hooks_.on_member(it);
}

void job_table::apply_member_stop(const proto::MemberStopped& stopped)
{
    const auto it = members_.find(stopped.member());
    if (it == members_.end() || std::exchange(it->second.departed, true))
        return;
    if (hooks_.on_member)
        hooks_.on_member(it->second);
}

void job_table::release_tokens(const batch_job& job, std::uint64_t tokens)
{
    auto& waiting = waiting_tokens_[{job.route, job.team}];
    waiting -= std::min(waiting, tokens);
}

const batch_job* job_table::find(std::string_view id) const
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

batch_job* job_table::find_mutable(std::string_view id)
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void job_table::for_each(
    const std::function<void(const batch_job&)>& visit) const
{
    for (const auto& [offset, id] : accepted_ids_)
        visit(jobs_.find(id)->second);
}

std::uint64_t job_table::waiting_tokens(std::string_view route,
                                        std::string_view team) const
{
    const auto it =
        waiting_tokens_.find({std::string(route), std::string(team)});
    return it == waiting_tokens_.end() ? 0 : it->second;
}

const batch_member* job_table::find_member(std::string_view id) const
{
    const auto it = members_.find(id);
    return it == members_.end() ? nullptr : &it->second;
}

void job_table::for_each_member(
    const std::function<void(const batch_member&)>& visit) const
{
    for (const auto& [id, it] : members_)
    {
        if (!it.departed)
            visit(it);
    }
}

const at_most_once_call* job_table::find_call(std::string_view id) const
{
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
}

void job_table::for_each_call(
    const std::function<void(const std::string& id, const at_most_once_call&)>&
        visit) const
{
    for (const auto& [id, it] : calls_)
        visit(id, it);
}

void job_table::forget_call(const std::string& id)
{
    calls_.erase(id);
}

void job_table::forget(const std::string& id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    if (it->second.is_open())
    {
        for (const auto& item : it->second.items)
        {
            if (item.state == proto::ITEM_OPEN)
                release_tokens(it->second, item.tokens);
        }
    }
    accepted_ids_.erase(it->second.accepted_at);
    jobs_.erase(it);
}

} // namespace tanagertrack::state
