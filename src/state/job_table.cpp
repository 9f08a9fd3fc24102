#include "state/job_table.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <utility>

namespace tanagertrack::state
{

namespace
{

/// Key of an intake.
std::string intake_key(const std::string& job, const std::string& intake)
{
    return job + '/' + intake;
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

void job_table::apply(std::uint64_t offset, const jobs::JobRecord& record)
{
    switch (record.kind_case())
    {
    case jobs::JobRecord::kMemberStarted:
        return apply_started(record.member_started());
    case jobs::JobRecord::kMemberStopped:
        return apply_stopped(record.member_stopped());
    case jobs::JobRecord::kPart:
        return apply_part(offset, record.part());
    case jobs::JobRecord::kCommit:
        return apply_commit(offset, record.commit());
    case jobs::JobRecord::kResults:
        return apply_results(record.results());
    case jobs::JobRecord::kEnd:
        return apply_end(record.end());
    case jobs::JobRecord::kTaken:
        return apply_taken(record.taken());
    case jobs::JobRecord::kProgress:
        return apply_progress(record.progress());
    case jobs::JobRecord::KIND_NOT_SET:
        return;
    }
}

void job_table::clear()
{
    jobs_.clear();
    accepted_.clear();
    intakes_.clear();
    waiting_.clear();
    members_.clear();
}

void job_table::apply_part(std::uint64_t offset, const jobs::JobPart& part)
{
    auto& it = intakes_[intake_key(part.job(), part.intake())];
    if (part.first_item() != it.items.size())
        return;
    it.parts.push_back({offset, part.first_item(),
                        static_cast<std::uint32_t>(part.items_size())});
    for (const auto& item : part.items())
        it.items.push_back(
            {common::hash64(item.id()), item.tokens(), jobs::ITEM_OPEN, {}});
}

void job_table::apply_commit(std::uint64_t offset,
                             const jobs::JobCommit& commit)
{
    const auto verdict = judge(commit);
    if (verdict == commit_verdict::accepted)
        accept(offset, commit);
    intakes_.erase(intake_key(commit.job(), commit.intake()));
    if (hooks_.on_commit)
        hooks_.on_commit(commit, verdict);
}

commit_verdict job_table::judge(const jobs::JobCommit& commit) const
{
    if (jobs_.contains(commit.job()))
        return commit_verdict::repeated;
    const auto it = intakes_.find(intake_key(commit.job(), commit.intake()));
    if (it == intakes_.end() || it->second.items.empty() ||
        it->second.items.size() != commit.item_count())
        return commit_verdict::incomplete;
    if (commit.max_waiting_tokens() == 0)
        return commit_verdict::accepted;

    std::uint64_t tokens = waiting_tokens(commit.route());
    for (const auto& item : it->second.items)
        tokens += item.tokens;
    return tokens > commit.max_waiting_tokens() ? commit_verdict::over_limit
                                                : commit_verdict::accepted;
}

void job_table::accept(std::uint64_t offset, const jobs::JobCommit& commit)
{
    auto& from = intakes_[intake_key(commit.job(), commit.intake())];
    auto& it = jobs_[commit.job()];
    it.id = commit.job();
    it.route = commit.route();
    it.host = commit.host();
    it.runner = commit.member();
    it.accepted_at = offset;
    it.created_ms = commit.created_ms();
    it.due_after_ms = commit.due_after_ms();
    it.items = std::move(from.items);
    it.parts = std::move(from.parts);
    accepted_[offset] = it.id;
    auto& waiting = waiting_[it.route];
    for (const auto& item : it.items)
        waiting += item.tokens;
}

void job_table::apply_results(const jobs::ItemResults& results)
{
    auto* it = find_mutable(results.job());
    if (it == nullptr)
        return;
    for (const auto& result : results.results())
    {
        const bool known = result.item() < it->items.size() &&
                           result.state() != jobs::ITEM_OPEN;
        if (!known || it->items[result.item()].state != jobs::ITEM_OPEN)
            continue;
        auto& item = it->items[result.item()];
        item.state = result.state();
        item.text = {result.text_partition(), result.text_offset()};
        it->results.push_back(result.item());
        it->progress.erase(result.item());
        if (!it->ended)
            release_tokens(*it, item.tokens);
        if (hooks_.on_result)
            hooks_.on_result(*it, result.item());
    }
}

void job_table::apply_end(const jobs::JobEnd& end)
{
    auto* it = find_mutable(end.job());
    if (it == nullptr || std::exchange(it->ended, true))
        return;
    for (const auto& item : it->items)
    {
        if (item.state == jobs::ITEM_OPEN)
            release_tokens(*it, item.tokens);
    }
    it->progress.clear();
    if (hooks_.on_ended)
        hooks_.on_ended(*it);
}

void job_table::apply_taken(const jobs::JobTaken& taken)
{
    auto* it = find_mutable(taken.job());
    if (it == nullptr || it->runner != taken.from())
        return;
    it->runner = taken.member();
    if (hooks_.on_taken)
        hooks_.on_taken(*it, taken.from());
}

void job_table::apply_progress(const jobs::ItemProgress& progress)
{
    auto* it = find_mutable(progress.job());
    if (it == nullptr || it->ended || progress.item() >= it->items.size() ||
        it->items[progress.item()].state != jobs::ITEM_OPEN)
        return;
    it->progress[progress.item()] = {
        progress.last_event(),
        {progress.text_partition(), progress.text_offset()},
        progress.failures()};
}

void job_table::apply_started(const jobs::MemberStarted& started)
{
    for (auto& [id, it] : members_)
    {
        if (it.host != started.host() || it.gone || id == started.member())
            continue;
        it.gone = true;
        if (hooks_.on_member)
            hooks_.on_member(it);
    }
    auto& it = members_[started.member()];
    it.id = started.member();
    it.host = started.host();
    it.address = started.address();
    it.port = static_cast<std::uint16_t>(started.port());
    it.gone = false;
    if (hooks_.on_member)
        hooks_.on_member(it);
}

void job_table::apply_stopped(const jobs::MemberStopped& stopped)
{
    const auto it = members_.find(stopped.member());
    if (it == members_.end() || std::exchange(it->second.gone, true))
        return;
    if (hooks_.on_member)
        hooks_.on_member(it->second);
}

void job_table::release_tokens(const batch_job& job, std::uint64_t tokens)
{
    auto& waiting = waiting_[job.route];
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
    for (const auto& [offset, id] : accepted_)
        visit(jobs_.find(id)->second);
}

std::uint64_t job_table::waiting_tokens(std::string_view route) const
{
    const auto it = waiting_.find(route);
    return it == waiting_.end() ? 0 : it->second;
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
        if (!it.gone)
            visit(it);
    }
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
            if (item.state == jobs::ITEM_OPEN)
                release_tokens(it->second, item.tokens);
        }
    }
    accepted_.erase(it->second.accepted_at);
    jobs_.erase(it);
}

} // namespace tanagertrack::state
