#include "batch/explorer.hpp"

#include <algorithm>

namespace tanagertrack::test
{

namespace
{

constexpr std::size_t node_count = 3;
constexpr std::size_t job_count = 6;
constexpr std::size_t call_count = 3;

std::string text_of(const std::string& job, std::uint32_t item)
{
    return "text of " + job + '/' + std::to_string(item);
}

proto::JobItem make_item(const std::string& job, std::uint32_t index,
                         std::uint32_t tokens)
{
    proto::JobItem it;
    it.set_id(job + '/' + std::to_string(index));
    it.set_tokens(tokens);
    it.set_body("body");
    return it;
}

} // namespace

explorer::explorer(std::uint64_t seed) : random_(seed)
{
    constexpr double max_fault_share = 0.5;
    fault_share_ = max_fault_share * static_cast<double>(below(5)) / 4;
    draw_fates();
    for (std::size_t n = 0; n < node_count; ++n)
    {
        nodes_.emplace_back();
        add_node(n);
    }
}

explorer::~explorer()
{
    // Handlers that are left must find no process.
    for (auto& it : nodes_)
        it->kill();
}

std::size_t explorer::below(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

bool explorer::chance(double p)
{
    return std::bernoulli_distribution(p)(random_);
}

explorer_node& explorer::any_node()
{
    return *nodes_[below(nodes_.size())];
}

void explorer::fail(const std::string& what)
{
    if (failure_.empty())
        failure_ = what;
}

void explorer::draw_fates()
{
    store_.append_outcome = [this]
    {
        if (!chance(fault_share_))
            return call_outcome::done;
        constexpr std::array fates{
            call_outcome::refused, call_outcome::answer_lost,
            call_outcome::request_lost, call_outcome::late};
        return fates[below(fates.size())];
    };
    store_.read_outcome = [this]
    {
        return chance(fault_share_ / 2) ? call_outcome::refused
                                        : call_outcome::done;
    };
}

void explorer::add_node(std::size_t place)
{
    const auto name = "m" + std::to_string(started_++);
    nodes_[place] = std::make_unique<node>(context_, store_, name);
    nodes_[place]->jobs.add_listener(make_listener(name));
    nodes_[place]->jobs.start();
}

batch::job_listener explorer::make_listener(const std::string& name)
{
    batch::job_listener listener;
    listener.changes.on_result =
        [this](const state::batch_job& job, std::uint32_t item)
    {
        const auto position = job.results.size() - 1;
        const auto [at, fresh] = shown_.try_emplace({job.id, position}, item);
        if (!fresh && at->second != item)
            fail("two items at position " + std::to_string(position) + " of " +
                 job.id);
    };
    listener.changes.on_item_intent =
        [this, name](const proto::ItemIntent& intent,
                     state::intent_verdict verdict)
    {
        if (verdict != state::intent_verdict::first || intent.member() != name)
            return;
        if (++item_grants_[{intent.job(), intent.item()}] > 1)
            fail("two runs of an item of " + intent.job());
    };
    return listener;
}

std::string explorer::run(unsigned steps)
{
    for (unsigned n = 0; n < steps && failure_.empty(); ++n)
    {
        step();
        poll();
    }
    if (failure_.empty())
        settle();
    if (failure_.empty())
        check_end();
    return failure_;
}

void explorer::poll()
{
    constexpr std::size_t max_handlers = 12;
    for (auto n = below(max_handlers); n > 0; --n)
    {
        context_.restart();
        context_.poll_one();
    }
}

void explorer::step()
{
    using action = void (explorer::*)();
    constexpr std::array<action, 14> actions{
        &explorer::submit,           &explorer::submit,
        &explorer::submit,           &explorer::finish_item,
        &explorer::finish_item,      &explorer::finish_item,
        &explorer::end_job,          &explorer::take_job,
        &explorer::ask_call,         &explorer::end_call,
        &explorer::ask_item,         &explorer::restart_node,
        &explorer::write_checkpoint, &explorer::expire_records};
    (this->*actions[below(actions.size())])();
    if (chance(0.2))
        store_.run_one_late([this](std::size_t n) { return below(n); });
}

void explorer::submit()
{
    auto& where = any_node();
    batch::job_terms terms;
    terms.job = "j" + std::to_string(below(job_count));
    terms.route = "r";
    terms.max_waiting_tokens = explorer_limit;
    terms.deadline = common::clock::now();
    if (chance(0.8))
        terms.deadline += std::chrono::hours(1);

    auto& history = jobs_[terms.job];
    if (history.tokens.empty())
    {
        constexpr std::size_t max_items = 4;
        constexpr std::size_t max_tokens = 30;
        for (auto n = 1 + below(max_items); n > 0; --n)
            history.tokens.push_back(
                static_cast<std::uint32_t>(1 + below(max_tokens)));
    }
    ++history.attempts;
    const auto it = where.submissions.open(
        terms,
        [this, &history,
         alive = where.alive](const batch::submission_verdict& why)
        {
            if (!*alive)
                return;
            history.accepted |= !why;
            if (why && why->ran == common::execution::not_run)
                ++history.refused;
            if (why && why->ran != common::execution::not_run)
                ++coverage.open_outcomes;
        });
    for (std::uint32_t n = 0; n < history.tokens.size(); ++n)
        it->add(make_item(terms.job, n, history.tokens[n]));
    it->commit();
}

void explorer::finish_item()
{
    // A process ends an item of a job that it believes to run.
    auto& where = any_node();
    std::vector<std::pair<std::string, std::uint32_t>> open;
    where.jobs.table().for_each(
        [&](const state::batch_job& job)
        {
            for (std::uint32_t n = 0; n < job.items.size(); ++n)
            {
                const bool candidate = job.runner == where.jobs.member() &&
                                       !job.ended &&
                                       job.items[n].state == proto::ITEM_OPEN &&
                                       !where.ended_items.contains({job.id, n});
                if (candidate)
                    open.emplace_back(job.id, n);
            }
        });
    if (open.empty())
        return;
    const auto& chosen = open[below(open.size())];
    where.ended_items.insert(chosen);
    batch::item_end end;
    end.job = chosen.first;
    end.item = chosen.second;
    end.text.set_item(chosen.first + '/' + std::to_string(chosen.second));
    end.text.set_text(text_of(chosen.first, chosen.second));
    where.recorder.add(std::move(end));
}

void explorer::end_job()
{
    if (!chance(0.3))
        return;
    const auto job = "j" + std::to_string(below(job_count));
    auto& where = any_node();
    where.reads.end(job,
                    [this, job, alive = where.alive](std::error_code ec)
                    {
                        if (*alive && !ec)
                            jobs_[job].end_confirmed = true;
                    });
}

void explorer::take_job()
{
    // Whoever holds the first partition may believe that a runner is gone.
    auto& where = any_node();
    const auto job = "j" + std::to_string(below(job_count));
    const auto* known = where.jobs.table().find(job);
    if (known == nullptr)
        return;
    proto::JobRecord record;
    auto& taken = *record.mutable_taken();
    taken.set_job(job);
    taken.set_from(known->runner);
    taken.set_member(any_node().jobs.member());
    where.jobs.append(record);
}

void explorer::ask_call()
{
    auto& where = any_node();
    const auto call = "c" + std::to_string(below(call_count));
    const auto attempt = "a" + std::to_string(attempts_++);
    const auto deadline =
        common::clock::now() +
        (chance(0.8) ? std::chrono::hours(1) : std::chrono::hours(0));
    where.calls.ask(call, "content", attempt, deadline,
                    [this, call, attempt,
                     alive = where.alive](const batch::call_permit& permit)
                    {
                        using kind = batch::call_permit::kind;
                        auto& history = calls_[call];
                        if (!*alive)
                            return;
                        if (permit.what == kind::run)
                        {
                            history.granted.insert(attempt);
                            running_calls_.emplace_back(call, attempt);
                            if (history.granted.size() > 1)
                                fail("two runs of call " + call);
                        }
                        const bool foreign =
                            permit.what == kind::answered &&
                            permit.answer.status != 0 &&
                            !history.reported.contains(permit.answer.body);
                        if (foreign)
                            fail("unknown answer of call " + call);
                    });
}

void explorer::end_call()
{
    if (running_calls_.empty())
        return;
    const auto at = running_calls_.begin() +
                    static_cast<std::ptrdiff_t>(below(running_calls_.size()));
    const auto [call, attempt] = *at;
    running_calls_.erase(at);

    // Any process may speak for the one that ran it: what counts is the log.
    auto& where = any_node();
    if (chance(0.5))
    {
        calls_[call].granted.erase(attempt);
        return where.calls.report_not_run(call, attempt);
    }
    calls_[call].reported.insert(attempt);
    where.calls.report(call, {200, "text/plain", attempt},
                       [](std::error_code) {});
}

void explorer::ask_item()
{
    auto& where = any_node();
    const auto job = "j" + std::to_string(below(job_count));
    if (where.jobs.table().find(job) == nullptr)
        return;
    proto::JobRecord record;
    auto& intent = *record.mutable_item_intent();
    intent.set_job(job);
    intent.set_item(0);
    intent.set_member(where.jobs.member());
    where.jobs.append(record);
}

void explorer::restart_node()
{
    if (!chance(0.4))
        return;
    const auto place = below(nodes_.size());
    nodes_[place]->kill();
    dead_.push_back(std::move(nodes_[place]));
    add_node(place);
}

void explorer::write_checkpoint()
{
    // Whoever holds the first partition does so, and two may believe that.
    auto& where = any_node();
    if (where.jobs.is_current() && chance(0.3))
        where.jobs.append_checkpoint();
}

void explorer::collect_records()
{
    const auto found = store_.model.read("jobs", 0, records_.size(), SIZE_MAX,
                                         common::clock::now());
    for (const auto& it : found.records)
    {
        proto::JobRecord record;
        if (!record.ParseFromString(it))
            fail("unreadable record");
        if (record.has_checkpoint())
            checkpoints_.take(record.checkpoint());
        records_.push_back(it);
    }
}

void explorer::expire_records()
{
    collect_records();
    if (!checkpoints_.newest() || !chance(0.3))
        return;

    // Some records before the checkpoint may still be there.
    const auto as_of = checkpoints_.newest()->as_of;
    store_.model.trim("jobs", 0,
                      as_of - below(std::min<std::size_t>(as_of, 3) + 1));
    ++coverage.expiries;
}

void explorer::settle()
{
    const auto done = []
    {
        return call_outcome::done;
    };
    store_.append_outcome = done;
    store_.read_outcome = done;
    while (store_.run_one_late([this](std::size_t n) { return below(n); }))
        run_ready(context_);
    run_ready(context_);
}

state::job_table explorer::fold_log()
{
    // Waiting tokens, counted in another way than by the table.
    std::map<std::string, std::map<std::uint32_t, std::uint64_t>> waiting;
    state::job_table_hooks hooks;
    hooks.on_commit =
        [&](const proto::JobCommit& commit, state::commit_verdict verdict)
    {
        if (verdict != state::commit_verdict::accepted)
            return;
        ++coverage.accepted;
        if (waiting.contains(commit.job()))
            fail(commit.job() + " was accepted twice");
        const auto& tokens = jobs_.at(commit.job()).tokens;
        for (std::uint32_t n = 0; n < tokens.size(); ++n)
            waiting[commit.job()][n] = tokens[n];
        std::uint64_t sum = 0;
        for (const auto& [job, items] : waiting)
        {
            for (const auto& [item, n] : items)
                sum += n;
        }
        if (sum > explorer_limit)
            fail("waiting tokens over the limit");
    };
    hooks.on_result = [&](const state::batch_job& job, std::uint32_t item)
    {
        ++coverage.results;
        waiting[job.id].erase(item);
    };
    hooks.on_ended = [&](const state::batch_job& job)
    {
        waiting[job.id].clear();
    };
    hooks.on_taken = [&](const state::batch_job&, const std::string&)
    {
        ++coverage.taken;
    };
    hooks.on_call_intent =
        [&](const proto::CallIntent&, state::intent_verdict verdict)
    {
        if (verdict == state::intent_verdict::repeated)
            ++coverage.repeated_calls;
    };
    state::job_table truth(std::move(hooks));
    collect_records();
    std::uint64_t offset = 0;
    for (const auto& it : records_)
    {
        proto::JobRecord record;
        record.ParseFromString(it);
        truth.apply(offset++, record);
    }
    return truth;
}

void explorer::check_end()
{
    const auto truth = fold_log();
    check_jobs(truth);
    check_nodes(truth);
    check_texts(truth);
}

void explorer::check_jobs(const state::job_table& truth)
{
    for (const auto& [id, history] : jobs_)
    {
        const auto* job = truth.find(id);
        if (history.accepted && job == nullptr)
            fail(id + " was accepted and is lost");
        if (job != nullptr && history.attempts == history.refused)
            fail(id + " was refused as not run at every attempt and runs");
        if (job != nullptr && job->items.size() != history.tokens.size())
            fail(id + " has another number of items");
        if (history.end_confirmed && job != nullptr && !job->ended)
            fail("the end of " + id + " was confirmed and is lost");
    }
}

void explorer::check_nodes(const state::job_table& truth)
{
    for (const auto& it : nodes_)
    {
        if (it->jobs.table().size() != truth.size())
            fail(it->jobs.member() + " knows " +
                 std::to_string(it->jobs.table().size()) + " jobs instead of " +
                 std::to_string(truth.size()));
        truth.for_each(
            [&](const state::batch_job& job)
            {
                const auto* known = it->jobs.table().find(job.id);
                const bool same =
                    known != nullptr && known->results == job.results &&
                    known->runner == job.runner && known->ended == job.ended;
                if (!same)
                    fail(it->jobs.member() + " sees " + job.id +
                         " differently");
                std::set<std::uint32_t> listed(job.results.begin(),
                                               job.results.end());
                if (listed.size() != job.results.size())
                    fail("an item of " + job.id + " stands twice");
            });
        if (it->recorder.unrecorded() != 0)
            fail(it->jobs.member() + " has ends that were not recorded");
    }
    for (const auto& [place, item] : shown_)
    {
        const auto* job = truth.find(place.first);
        if (job == nullptr || job->results.size() <= place.second ||
            job->results[place.second] != item)
            fail("a shown result of " + place.first + " is gone");
    }
}

void explorer::check_texts(const state::job_table& truth)
{
    add_node(0);
    run_ready(context_);
    truth.for_each(
        [&](const state::batch_job& job)
        {
            for (const auto item : job.results)
            {
                bool told = false;
                nodes_[0]->texts.read(
                    job.items[item].text,
                    [&](std::error_code ec, const proto::ItemText& text)
                    {
                        told = true;
                        if (ec || text.text() != text_of(job.id, item))
                            fail("the text of an item of " + job.id +
                                 " is not its own");
                    });
                run_ready(context_);
                if (!told)
                    fail("a text can't be read");
            }
        });
}

} // namespace tanagertrack::test
