#include "batch/explorer.hpp"

#include <algorithm>

namespace tanagertrack::test
{

namespace
{

constexpr std::size_t process_count = 3;
constexpr std::size_t job_count = 6;
constexpr std::size_t call_count = 3;

std::string make_text(const std::string& job, std::uint32_t item)
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
    fault_share_ = max_fault_share * static_cast<double>(random_below(5)) / 4;
    inject_store_faults();
    for (std::size_t n = 0; n < process_count; ++n)
    {
        processes_.emplace_back();
        start_process(n);
    }
}

explorer::~explorer()
{
    // Handlers that are still queued must not access the processes.
    for (auto& it : processes_)
        it->kill();
}

std::size_t explorer::random_below(std::size_t n)
{
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
}

bool explorer::with_probability(double p)
{
    return std::bernoulli_distribution(p)(random_);
}

explorer_process& explorer::random_process()
{
    return *processes_[random_below(processes_.size())];
}

void explorer::report_violation(const std::string& description)
{
    if (violation_.empty())
        violation_ = description;
}

void explorer::inject_store_faults()
{
    store_.append_outcome = [this]
    {
        if (!with_probability(fault_share_))
            return call_outcome::done;
        constexpr std::array faults{
            call_outcome::refused, call_outcome::answer_lost,
            call_outcome::request_lost, call_outcome::late};
        return faults[random_below(faults.size())];
    };
    store_.read_outcome = [this]
    {
        return with_probability(fault_share_ / 2) ? call_outcome::refused
                                                  : call_outcome::done;
    };
}

void explorer::start_process(std::size_t index)
{
    const auto name = "m" + std::to_string(processes_started_++);
    processes_[index] = std::make_unique<explorer_process>(
        context_, store_, name, with_probability(0.3));
    processes_[index]->jobs.add_listener(make_listener(name));
    processes_[index]->jobs.start();
}

batch::job_listener explorer::make_listener(const std::string& name)
{
    batch::job_listener listener;
    listener.changes.on_result =
        [this](const state::batch_job& job, std::uint32_t item)
    {
        const auto position = job.results.size() - 1;
        const auto [at, inserted] =
            observed_results_.try_emplace({job.id, position}, item);
        if (!inserted && at->second != item)
            report_violation("two items at result position " +
                             std::to_string(position) + " of job " + job.id);
    };
    listener.changes.on_item_intent =
        [this, name](const proto::ItemIntent& intent,
                     state::intent_result result)
    {
        if (result != state::intent_result::first || intent.member() != name)
            return;
        if (++granted_item_intents_[{intent.job(), intent.item()}] > 1)
            report_violation("more than one intent was granted for item " +
                             std::to_string(intent.item()) + " of job " +
                             intent.job());
    };
    return listener;
}

std::string explorer::run(unsigned steps)
{
    for (unsigned n = 0; n < steps && violation_.empty(); ++n)
    {
        run_step();
        run_some_handlers();
    }
    if (violation_.empty())
        finish_pending_calls();
    add_to_trace("end");
    if (violation_.empty())
        check_invariants();
    return violation_;
}

void explorer::add_to_trace(std::string_view what)
{
    std::size_t record_bytes = 0;
    for (const auto& it : job_records_)
        record_bytes += it.size();
    trace_ += std::string(what) + " appends " + std::to_string(store_.appends) +
              " reads " + std::to_string(store_.reads) + " handlers " +
              std::to_string(handlers_run_) + " records " +
              std::to_string(job_records_.size()) + " bytes " +
              std::to_string(record_bytes) + '\n';
}

void explorer::run_some_handlers()
{
    constexpr std::size_t max_handlers = 12;
    for (auto n = random_below(max_handlers); n > 0; --n)
    {
        context_.restart();
        handlers_run_ += context_.poll_one();
    }
}

void explorer::run_step()
{
    using action = void (explorer::*)();
    constexpr std::array<action, 16> actions{
        &explorer::submit_job,         &explorer::submit_job,
        &explorer::submit_job,         &explorer::finish_item,
        &explorer::finish_item,        &explorer::finish_item,
        &explorer::cancel_job,         &explorer::reassign_job,
        &explorer::request_call,       &explorer::report_call,
        &explorer::append_item_intent, &explorer::restart_process,
        &explorer::append_checkpoint,  &explorer::expire_records,
        &explorer::read_state,         &explorer::read_results};
    const auto chosen = random_below(actions.size());
    add_to_trace("action " + std::to_string(chosen));
    (this->*actions[chosen])();
    if (with_probability(0.2))
        store_.run_one_late([this](std::size_t n) { return random_below(n); });
}

void explorer::submit_job()
{
    auto& process = random_process();
    batch::job_terms terms;
    terms.job = "j" + std::to_string(random_below(job_count));
    terms.route = "r";
    terms.max_waiting_tokens = explorer_max_waiting_tokens;

    // The deadline of one submission in five has passed when it starts.
    terms.deadline = common::clock::now();
    if (with_probability(0.8))
        terms.deadline += std::chrono::hours(1);

    auto& history = jobs_[terms.job];
    if (history.tokens.empty())
    {
        constexpr std::size_t max_items = 4;
        constexpr std::size_t max_tokens = 30;
        for (auto n = 1 + random_below(max_items); n > 0; --n)
            history.tokens.push_back(
                static_cast<std::uint32_t>(1 + random_below(max_tokens)));
    }
    ++history.submissions;
    const auto it = process.intake.open(
        terms,
        [this, &history,
         alive = process.alive](const batch::submission_result& result)
        {
            if (!*alive)
                return;
            history.accepted |= !result;
            history.reported_accepted |= !result;
            if (result && result->ran == common::execution::not_run)
                ++history.refused_not_run;
            if (result && result->ran != common::execution::not_run)
                ++coverage.unknown_outcomes;
        });
    for (std::uint32_t n = 0; n < history.tokens.size(); ++n)
        it->add(make_item(terms.job, n, history.tokens[n]));
    it->commit();
}

void explorer::finish_item()
{
    // Choose among the open items of the jobs that this process believes it
    // runs.
    auto& process = random_process();
    std::vector<std::pair<std::string, std::uint32_t>> open;
    process.jobs.table().for_each(
        [&](const state::batch_job& job)
        {
            for (std::uint32_t n = 0; n < job.items.size(); ++n)
            {
                const bool candidate =
                    job.runner == process.jobs.member() && !job.cancelled &&
                    job.items[n].state == proto::ITEM_OPEN &&
                    !process.finished_items.contains({job.id, n});
                if (candidate)
                    open.emplace_back(job.id, n);
            }
        });
    if (open.empty())
        return;
    const auto& chosen = open[random_below(open.size())];
    process.finished_items.insert(chosen);
    batch::item_end end;
    end.job = chosen.first;
    end.item = chosen.second;
    end.text.set_item(chosen.first + '/' + std::to_string(chosen.second));
    end.text.set_text(make_text(chosen.first, chosen.second));
    process.recorder.add(std::move(end));
}

void explorer::cancel_job()
{
    if (!with_probability(0.3))
        return;
    const auto job = "j" + std::to_string(random_below(job_count));
    auto& process = random_process();
    process.results.cancel(
        job,
        [this, job, alive = process.alive](std::error_code ec)
        {
            if (!*alive || ec)
                return;
            jobs_[job].cancel_confirmed = true;
            jobs_[job].reported_cancelled = true;
        });
}

void explorer::read_state()
{
    auto& process = random_process();
    const auto id = "j" + std::to_string(random_below(job_count));
    process.results.find_current(
        id, common::clock::now(),
        [this, id, before = jobs_[id],
         alive = process.alive](std::error_code ec, const state::batch_job* job)
        {
            if (!*alive || ec)
                return;
            ++coverage.reads;
            if (job == nullptr)
            {
                if (before.reported_accepted)
                    report_violation("job " + id +
                                     " is unknown after it was accepted");
                return;
            }
            if (job->results.size() < before.reported_results)
                report_violation("job " + id + " has " +
                                 std::to_string(job->results.size()) +
                                 " results after " +
                                 std::to_string(before.reported_results));
            if (before.reported_cancelled && !job->cancelled)
                report_violation("job " + id +
                                 " is open after it was cancelled");
            const bool final_count_changed =
                before.reported_final_results && job->cancelled &&
                job->counted_results() != *before.reported_final_results;
            if (final_count_changed)
                report_violation("the counted results of job " + id +
                                 " changed after its cancellation");
            auto& history = jobs_[id];
            history.reported_accepted = true;
            history.reported_cancelled |= job->cancelled;
            if (job->cancelled)
                history.reported_final_results = job->counted_results();
            history.reported_results =
                std::max(history.reported_results, job->results.size());
        });
}

void explorer::read_results()
{
    auto& process = random_process();
    const auto id = "j" + std::to_string(random_below(job_count));
    const auto before = jobs_[id];
    const auto after = random_below(before.reported_results + 1);
    process.results.read(
        id, after, SIZE_MAX, std::chrono::milliseconds(0), common::clock::now(),
        [this, id, before, after,
         alive = process.alive](const batch::results_page& page)
        {
            if (!*alive || page.ec)
                return;
            ++coverage.reads;
            if (page.results.empty() && after < before.reported_results)
                report_violation(
                    "no result at position " + std::to_string(after) +
                    " of job " + id + " after " +
                    std::to_string(before.reported_results) + " were reported");
            auto& history = jobs_[id];
            history.reported_results =
                std::max(history.reported_results, page.next);
        });
}

void explorer::reassign_job()
{
    // Any process that believes it is the leader may consider a runner lost
    // and reassign its jobs.
    auto& process = random_process();
    const auto job = "j" + std::to_string(random_below(job_count));
    const auto* known = process.jobs.table().find(job);
    if (known == nullptr)
        return;
    proto::JobRecord record;
    auto& reassignment = *record.mutable_taken();
    reassignment.set_job(job);
    reassignment.set_from(known->runner);
    reassignment.set_member(random_process().jobs.member());
    process.jobs.append(record);
}

void explorer::request_call()
{
    auto& process = random_process();
    const auto call = "c" + std::to_string(random_below(call_count));
    const auto attempt = "a" + std::to_string(call_attempts_++);

    // The deadline of one request in five has passed when it starts.
    const auto deadline =
        common::clock::now() +
        (with_probability(0.8) ? std::chrono::hours(1) : std::chrono::hours(0));
    process.calls.request_run(
        call, "content", attempt, deadline,
        [this, call, attempt,
         alive = process.alive](const batch::call_decision& decision)
        {
            using outcome = batch::call_decision::outcome;
            auto& history = calls_[call];
            if (!*alive)
                return;
            if (decision.result == outcome::run)
            {
                history.granted_attempts.insert(attempt);
                running_calls_.emplace_back(call, attempt);
                if (history.granted_attempts.size() > 1)
                    report_violation("two attempts may run call " + call);
            }
            const bool is_unknown_answer =
                decision.result == outcome::answered &&
                decision.answer.status != 0 &&
                !history.reported_attempts.contains(decision.answer.body);
            if (is_unknown_answer)
                report_violation("call " + call +
                                 " got an answer that no process reported: " +
                                 decision.answer.body);
        });
}

void explorer::report_call()
{
    if (running_calls_.empty())
        return;
    const auto chosen =
        running_calls_.begin() +
        static_cast<std::ptrdiff_t>(random_below(running_calls_.size()));
    const auto [call, attempt] = *chosen;
    running_calls_.erase(chosen);

    // Any process may report for the one that ran the call: the record in
    // the log decides, not its writer.
    auto& process = random_process();
    if (with_probability(0.5))
    {
        calls_[call].granted_attempts.erase(attempt);
        return process.calls.report_not_run(call, attempt);
    }
    calls_[call].reported_attempts.insert(attempt);
    process.calls.report(call, {200, "text/plain", attempt},
                         [](std::error_code) {});
}

void explorer::append_item_intent()
{
    auto& process = random_process();
    const auto job = "j" + std::to_string(random_below(job_count));
    if (process.jobs.table().find(job) == nullptr)
        return;
    proto::JobRecord record;
    auto& intent = *record.mutable_item_intent();
    intent.set_job(job);
    intent.set_item(0);
    intent.set_member(process.jobs.member());
    process.jobs.append(record);
}

void explorer::restart_process()
{
    if (!with_probability(0.4))
        return;
    const auto index = random_below(processes_.size());
    processes_[index]->kill();
    killed_processes_.push_back(std::move(processes_[index]));
    start_process(index);
}

void explorer::append_checkpoint()
{
    // The leader appends checkpoints; two processes may believe they are the
    // leader at the same time.
    auto& process = random_process();
    if (process.jobs.is_current() && with_probability(0.3))
        process.jobs.append_checkpoint();
}

void explorer::collect_records()
{
    const auto found = store_.model.read("jobs", 0, job_records_.size(),
                                         SIZE_MAX, common::clock::now());
    for (const auto& it : found.records)
    {
        proto::JobRecord record;
        if (!record.ParseFromString(it))
            report_violation("record " + std::to_string(job_records_.size()) +
                             " of the topic of jobs can't be parsed");
        if (record.has_checkpoint())
            checkpoints_.add_part(record.checkpoint());
        job_records_.push_back(it);
    }
}

void explorer::expire_records()
{
    collect_records();
    if (!checkpoints_.newest() || !with_probability(0.3))
        return;

    // Up to 3 of the records before `as_of` are kept.
    const auto as_of = checkpoints_.newest()->as_of;
    store_.model.trim(
        "jobs", 0, as_of - random_below(std::min<std::size_t>(as_of, 3) + 1));
    ++coverage.expiries;
}

void explorer::finish_pending_calls()
{
    const auto done = []
    {
        return call_outcome::done;
    };
    store_.append_outcome = done;
    store_.read_outcome = done;
    while (
        store_.run_one_late([this](std::size_t n) { return random_below(n); }))
        run_ready(context_);
    run_ready(context_);

    // Processes that read late catch up.
    for (const auto& it : processes_)
        it->jobs.read_soon();
    run_ready(context_);
}

state::job_table explorer::fold_log()
{
    // Waiting tokens per job and item, counted independently of the table.
    std::map<std::string, std::map<std::uint32_t, std::uint64_t>> waiting;
    state::job_table_hooks hooks;
    hooks.on_commit =
        [&](const proto::JobCommit& commit, state::commit_result result)
    {
        if (result != state::commit_result::accepted)
            return;
        ++coverage.accepted;
        if (waiting.contains(commit.job()))
            report_violation("job " + commit.job() + " was accepted twice");
        const auto& tokens = jobs_.at(commit.job()).tokens;
        for (std::uint32_t n = 0; n < tokens.size(); ++n)
            waiting[commit.job()][n] = tokens[n];
        std::uint64_t sum = 0;
        for (const auto& [job, items] : waiting)
        {
            for (const auto& [item, n] : items)
                sum += n;
        }
        if (sum > explorer_max_waiting_tokens)
            report_violation(std::to_string(sum) +
                             " tokens are waiting, above the limit of " +
                             std::to_string(explorer_max_waiting_tokens));
    };
    hooks.on_result = [&](const state::batch_job& job, std::uint32_t item)
    {
        ++coverage.results;
        waiting[job.id].erase(item);
    };
    hooks.on_cancelled = [&](const state::batch_job& job)
    {
        waiting[job.id].clear();
    };
    hooks.on_reassigned = [&](const state::batch_job&, const std::string&)
    {
        ++coverage.reassigned;
    };
    hooks.on_call_intent =
        [&](const proto::CallIntent&, state::intent_result result)
    {
        if (result == state::intent_result::repeated)
            ++coverage.repeated_calls;
    };
    state::job_table reference(std::move(hooks));
    collect_records();
    std::uint64_t offset = 0;
    for (const auto& it : job_records_)
    {
        proto::JobRecord record;
        record.ParseFromString(it);
        reference.apply(offset++, record);
    }
    return reference;
}

void explorer::check_invariants()
{
    const auto reference = fold_log();
    check_jobs(reference);
    check_processes(reference);
    check_texts(reference);
}

void explorer::check_jobs(const state::job_table& reference)
{
    for (const auto& [id, history] : jobs_)
    {
        const auto* job = reference.find(id);
        if (history.accepted && job == nullptr)
            report_violation("job " + id + " was accepted and is lost");
        if (job != nullptr && history.submissions == history.refused_not_run)
            report_violation("job " + id +
                             " was refused as not run by every submission but "
                             "is in the log");
        if (job != nullptr && job->items.size() != history.tokens.size())
            report_violation(
                "job " + id + " has " + std::to_string(job->items.size()) +
                " items instead of " + std::to_string(history.tokens.size()));
        if (history.cancel_confirmed && job != nullptr && !job->cancelled)
            report_violation("the cancellation of job " + id +
                             " was confirmed and is lost");
    }
}

void explorer::check_processes(const state::job_table& reference)
{
    for (const auto& it : processes_)
    {
        if (it->jobs.table().size() != reference.size())
            report_violation(it->jobs.member() + " knows " +
                             std::to_string(it->jobs.table().size()) +
                             " jobs instead of " +
                             std::to_string(reference.size()));
        reference.for_each(
            [&](const state::batch_job& job)
            {
                const auto* known = it->jobs.table().find(job.id);
                const bool same = known != nullptr &&
                                  known->results == job.results &&
                                  known->runner == job.runner &&
                                  known->cancelled == job.cancelled;
                if (!same)
                    report_violation(it->jobs.member() +
                                     " has another state of job " + job.id +
                                     " than the log");
                std::set<std::uint32_t> unique_items(job.results.begin(),
                                                     job.results.end());
                if (unique_items.size() != job.results.size())
                    report_violation(
                        "an item is listed twice in the results of job " +
                        job.id);
            });
        if (it->recorder.unrecorded() != 0)
            report_violation(it->jobs.member() + " has " +
                             std::to_string(it->recorder.unrecorded()) +
                             " ends of items that were not recorded");
    }
    for (const auto& [key, item] : observed_results_)
    {
        const auto* job = reference.find(key.first);
        if (job == nullptr || job->results.size() <= key.second ||
            job->results[key.second] != item)
            report_violation("the result of job " + key.first +
                             " at position " + std::to_string(key.second) +
                             " is lost or has changed");
    }
}

void explorer::check_texts(const state::job_table& reference)
{
    // A process that starts now reads the texts, without state of its own.
    start_process(0);
    run_ready(context_);
    reference.for_each(
        [&](const state::batch_job& job)
        {
            for (const auto item : job.results)
            {
                bool handler_ran = false;
                processes_[0]->texts.read(
                    job.items[item].text,
                    [&](std::error_code ec, const proto::ItemText& text)
                    {
                        handler_ran = true;
                        if (ec || text.text() != make_text(job.id, item))
                            report_violation(
                                "the text of item " + std::to_string(item) +
                                " of job " + job.id +
                                " can't be read or is another one");
                    });
                run_ready(context_);
                if (!handler_ran)
                    report_violation("the read of a text of job " + job.id +
                                     " did not end");
            }
        });
}

} // namespace tanagertrack::test
