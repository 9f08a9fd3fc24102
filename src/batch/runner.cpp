#include "batch/runner.hpp"

#include "common/logging.hpp"
#include "http/event_splitter.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::batch
{

using outcome = targets::attempt_end::outcome;
using state::intent_verdict;
using std::chrono::milliseconds;

namespace
{

/// Pause before an item is tried again after an attempt that ended without an
/// answer; grows with each.
constexpr auto broken_pause = milliseconds(50);
constexpr std::uint32_t max_broken_pauses = 20;

/// Pause before a part of a job is read again.
constexpr auto read_again_pause = milliseconds(300);

/// Attempts without an answer after which an item starts from its beginning:
/// what was received so far may not be what its targets go on from.
constexpr std::uint32_t max_broken_resumes = 6;

/// Items looked at in one search for something to start.
constexpr std::size_t max_scanned = 256;

/// Bytes of items that are loaded at a time; jobs that are due later wait.
constexpr std::size_t max_loaded_bytes = 8UL * 1024 * 1024;

/// Items that wait for a place, above which no further ones are loaded.
constexpr std::size_t enough_pending = 512;

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

} // namespace

runner::runner(environment& shared, job_log& jobs, text_store& texts,
               result_recorder& recorder, intake& submissions)
    : shared_(shared), jobs_(jobs), texts_(texts), recorder_(recorder),
      intake_(submissions), timer_(shared.context)
{
    jobs_.add_listener(make_listener());
}

job_listener runner::make_listener()
{
    job_listener listener;
    listener.changes.on_commit =
        [this](const proto::JobCommit& commit, state::commit_verdict verdict)
    {
        if (verdict == state::commit_verdict::accepted &&
            commit.member() == jobs_.member())
            take_job(*jobs_.table().find(commit.job()));
    };
    listener.changes.on_result =
        [this](const state::batch_job& job, std::uint32_t item)
    {
        drop_item(job.id, item);
    };
    listener.changes.on_ended = [this](const state::batch_job& job)
    {
        drop_job(job.id);
    };
    listener.changes.on_taken =
        [this](const state::batch_job& job, const std::string& from)
    {
        if (from == jobs_.member())
            drop_job(job.id);
        if (job.runner == jobs_.member())
            take_job(job);
    };
    listener.changes.on_item_intent =
        [this](const proto::ItemIntent& intent, intent_verdict verdict)
    {
        take_intent(intent, verdict);
    };
    listener.on_loaded = [this]
    {
        take_loaded_state();
    };
    return listener;
}

void runner::start()
{
    tick();
}

void runner::tick()
{
    const auto now = common::clock::now();
    stop_silent(now);
    for (auto& [id, run] : runs_)
    {
        if (run.routeless_since &&
            now - *run.routeless_since > shared_.settings.routeless_time)
            give_up(run);
    }
    load_more(now);
    yield();
    pump();
    timer_.expires_after(shared_.settings.tick);
    timer_.async_wait(
        [this](const auto& ec)
        {
            if (!ec && !handed_over_)
                tick();
        });
}

void runner::set_paused(bool paused)
{
    if (std::exchange(paused_, paused) == paused)
        return;
    common::log_info(
        paused ? "batch_paused" : "batch_resumed",
        {{"running", running_.size()}, {"pending", pending_.size()}});
    if (!paused)
        return pump_soon();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        if (it->may_be_taken_back())
            stop_attempt(it, "paused");
    }
}

// ---- jobs ----

void runner::take_job(const state::batch_job& job)
{
    if (!job.is_open() || handed_over_)
        return;
    auto& run = runs_[job.id];
    run.id = job.id;
    run.host = job.host;
    run.order = job.accepted_at;

    // The time of day may be wrong: a job is never taken to be older than its
    // due time, nor to come from the future.
    const auto due_after = job.due_after_ms != 0
                               ? milliseconds(job.due_after_ms)
                               : shared_.settings.default_due;
    const auto now_ms = common::unix_time_ms();
    const auto age = milliseconds(now_ms - std::min(now_ms, job.created_ms));
    run.due = common::clock::now() + due_after - std::min(age, due_after);

    const auto items = intake_.take_items(job.id);
    if (items.empty())
        return load_more(common::clock::now());
    run.next_part = job.parts.size();
    add_items(run, job, 0, items);
    pump_soon();
}

void runner::take_loaded_state()
{
    std::vector<std::string> lost;
    for (auto& [id, run] : runs_)
    {
        const auto* job = jobs_.table().find(id);
        if (job == nullptr || !job->is_open() || job->runner != jobs_.member())
        {
            lost.push_back(id);
            continue;
        }
        for (const auto& [index, item] : std::map(run.items))
        {
            if (job->items[index].state != proto::ITEM_OPEN)
                forget_item(run, item);
        }
    }
    for (const auto& it : lost)
        drop_job(it);
    jobs_.table().for_each(
        [this](const state::batch_job& job)
        {
            if (job.runner == jobs_.member() && !runs_.contains(job.id))
                take_job(job);
        });
}

void runner::drop_job(const std::string& id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    auto run = std::move(found->second);
    runs_.erase(found);
    common::log_info("job_dropped",
                     {{"job", id}, {"loaded_items", run.items.size()}});
    for (const auto& [index, item] : std::map(run.items))
        forget_item(run, item);
}

void runner::load_more(common::time_point now)
{
    if (handed_over_ || loaded_bytes_ >= max_loaded_bytes ||
        pending_.size() >= enough_pending)
        return;
    std::vector<job_run*> wanting;
    for (auto& [id, run] : runs_)
    {
        const auto* job = jobs_.table().find(id);
        const bool more = job != nullptr && !run.loading &&
                          now >= run.load_again_at &&
                          run.next_part < job->parts.size();
        if (more)
            wanting.push_back(&run);
    }
    std::ranges::sort(wanting, {},
                      [](const job_run* it)
                      { return std::pair(it->due, it->order); });
    for (auto* run : wanting)
        load_part(*run, *jobs_.table().find(run->id));
}

void runner::load_part(job_run& run, const state::batch_job& job)
{
    const auto& part = job.parts[run.next_part];
    const auto first = job.items.begin() + part.first_item;
    const bool needed = std::any_of(first, first + part.item_count,
                                    [](const auto& it)
                                    { return it.state == proto::ITEM_OPEN; });
    if (!needed)
    {
        ++run.next_part;
        return;
    }
    run.loading = true;
    jobs_.read_record(
        part.offset,
        [this, id = run.id](std::error_code ec, const proto::JobRecord& record)
        { take_part(id, ec, record); });
}

void runner::take_part(const std::string& job, std::error_code ec,
                       const proto::JobRecord& record)
{
    const auto found = runs_.find(job);
    const auto* known = jobs_.table().find(job);
    if (found == runs_.end() || known == nullptr || !found->second.loading)
        return;
    auto& run = found->second;
    run.loading = false;
    if (ec)
    {
        common::log_warning("job_part_unread",
                            {{"job", job}, {"what", ec.message()}});
        run.load_again_at = common::clock::now() + read_again_pause;
        return;
    }
    ++run.next_part;
    const auto& part = part_of(record);
    add_items(run, *known, part.first_item(),
              {part.items().begin(), part.items().end()});
    pump_soon();
}

void runner::add_items(job_run& run, const state::batch_job& job,
                       std::uint32_t first,
                       const std::vector<proto::JobItem>& its)
{
    for (std::size_t i = 0; i < its.size(); ++i)
    {
        const auto index = first + static_cast<std::uint32_t>(i);
        if (job.items[index].state != proto::ITEM_OPEN)
            continue;
        item_run_ptr item(new item_run);
        item->job = run.id;
        item->index = index;
        item->rank = {run.due, run.order, index};
        item->data = its[i];
        item->data_bytes = its[i].ByteSizeLong();
        loaded_bytes_ += item->data_bytes;
        run.items[index] = item;

        const auto progress = job.progress.find(index);
        if (job.intents.contains(index))
            end_item(item, proto::ITEM_UNKNOWN, 0, {});
        else if (progress != job.progress.end())
            load_progress(item, progress->second);
        else
            pending_[item->rank] = item;
    }
}

void runner::load_progress(const item_run_ptr& item,
                           const state::item_progress& progress)
{
    texts_.read(
        progress.text,
        [this, item, progress](std::error_code ec, const proto::ItemText& text)
        {
            if (item->over)
                return;

            // Without its text the item starts from its beginning.
            if (!ec)
            {
                item->text = text.text();
                item->last_event = progress.last_event;
                item->events = 1;
            }
            item->failures = progress.failures;
            requeue(item);
            pump_soon();
        });
}

void runner::give_up(job_run& run)
{
    common::log_info("job_without_route",
                     {{"job", run.id}, {"items", run.items.size()}});
    run.routeless_since.reset();
    for (const auto& [index, item] : std::map(run.items))
    {
        if (!item->over && !item->attempt)
            end_item(item, proto::ITEM_DEAD, 0, {});
    }
}

// ---- items ----

void runner::forget_item(job_run& run, const item_run_ptr& item)
{
    item->over = true;
    pending_.erase(item->rank);
    running_.erase(item);
    loaded_bytes_ -= std::exchange(item->data_bytes, 0);
    run.items.erase(item->index);
    if (auto attempt = std::exchange(item->attempt, nullptr))
        attempt->cancel();
}

void runner::drop_item(const std::string& job, std::uint32_t index)
{
    const auto run = runs_.find(job);
    if (run == runs_.end())
        return;
    const auto found = run->second.items.find(index);
    if (found != run->second.items.end())
        forget_item(run->second, item_run_ptr(found->second));
    if (!jobs_.table().find(job)->is_open())
        runs_.erase(run);
}

void runner::pump_soon()
{
    if (std::exchange(pump_posted_, true))
        return;
    boost::asio::post(shared_.context,
                      [this]
                      {
                          pump_posted_ = false;
                          pump();
                      });
}

void runner::pump()
{
    const bool full =
        recorder_.unrecorded() >= shared_.settings.max_unrecorded ||
        recorder_.unrecorded_bytes() >= shared_.settings.max_unrecorded_bytes;
    if (paused_ || handed_over_ || full || pending_.empty())
        return;
    const auto now = common::clock::now();
    std::set<std::string> busy;
    std::vector<item_run_ptr> looked_at;
    for (const auto& [rank, item] : pending_)
    {
        if (looked_at.size() >= max_scanned)
            break;
        looked_at.push_back(item);
    }
    for (const auto& item : looked_at)
    {
        if (item->over)
            continue;
        auto& run = runs_.find(item->job)->second;
        const auto to = find_route(run, *item);
        if (busy.contains(to.service) || !may_start(run, item, to, now))
            continue;
        const auto where = choose_target(*item, to.service);
        if (!where)
        {
            busy.insert(to.service);
            continue;
        }
        pending_.erase(item->rank);
        send(run, item, where);
    }
}

bool runner::may_start(job_run& run, const item_run_ptr& item,
                       const item_route& to, common::time_point now)
{
    if (to.service.empty())
    {
        if (!run.routeless_since)
            run.routeless_since = now;
        return false;
    }
    run.routeless_since.reset();
    return item->not_before <= now &&
           (!item->data.not_repeatable() || has_intent(item));
}

bool runner::has_intent(const item_run_ptr& item)
{
    if (item->intent != item_intent::none)
        return item->intent == item_intent::granted;
    item->intent = item_intent::asked;
    proto::JobRecord record;
    auto& intent = *record.mutable_item_intent();
    intent.set_job(item->job);
    intent.set_item(item->index);
    intent.set_member(jobs_.member());
    jobs_.append({record}, true,
                 [this](std::error_code, std::uint64_t)
                 { jobs_.confirm(milliseconds(0), [](std::error_code) {}); });
    return false;
}

void runner::take_intent(const proto::ItemIntent& intent,
                         intent_verdict verdict)
{
    const auto run = runs_.find(intent.job());
    if (run == runs_.end())
        return;
    const auto found = run->second.items.find(intent.item());
    if (found == run->second.items.end() || found->second->over)
        return;
    const auto item = found->second;
    const bool own = intent.member() == jobs_.member();
    if (verdict == intent_verdict::first && own)
    {
        item->intent = item_intent::granted;
        return pump_soon();
    }

    // Another process may run the item, or may have.
    if (item->intent != item_intent::granted &&
        verdict != intent_verdict::void_item)
        end_item(item, proto::ITEM_UNKNOWN, 0, {});
}

runner::item_route runner::find_route(job_run& run, const item_run& item)
{
    if (!item.data.service().empty())
        return {nullptr, item.data.service()};
    const auto configuration = shared_.configuration();
    if (!configuration)
        return {};
    const auto* route = configuration->find_route(run.host, item.data.path());
    if (route == nullptr || route->kind != fleet::route_kind::batch)
        return {};

    // The same item goes to the same service.
    std::size_t total = 0;
    for (const auto& it : route->services)
        total += it.weight;
    auto drawn = total == 0 ? 0 : (run.order + item.index) % total;
    for (const auto& it : route->services)
    {
        if (drawn < it.weight)
            return {route, it.service};
        drawn -= it.weight;
    }
    return {};
}

targets::target_ptr runner::choose_target(const item_run& item,
                                          const std::string& service)
{
    std::vector<targets::target_ptr> usable;
    std::vector<const routing::target_load*> loads;
    const auto& all = shared_.targets.of_service(service);
    for (const auto& it : all)
    {
        const bool avoided = it->id() == item.avoided && all.size() > 1;
        if (avoided || it->load.free_slots() <= shared_.starts_before(*it))
            continue;
        usable.push_back(it);
        loads.push_back(&it->load);
    }
    const auto choice = shared_.place.choose_batch(
        loads, shared_.settings.reserve, common::clock::now());
    return choice ? usable[choice->index] : nullptr;
}

void runner::send(const job_run& run, const item_run_ptr& item,
                  const targets::target_ptr& where)
{
    http::header_list given;
    for (const auto& it : item->data.headers())
        given.add(it.name(), it.value());
    http::header_list headers;
    http::copy_end_to_end(given, headers);
    targets::attempt_order order;
    order.work = routing::work_class::batch;
    order.request = shared_.protocol.write(
        {item->data.id(), item->data.method(), item->data.path(), run.host,
         headers, item->data.body(), where->id(), std::nullopt,
         item->last_event});
    order.request_id = item->data.id();
    order.events = !item->data.whole_answer();
    order.after_event = item->last_event;
    if (item->data.not_repeatable())
        order.max_rest = milliseconds(0);
    if (item->data.whole_answer())
        item->restart();

    targets::attempt_hooks hooks;
    hooks.on_piece =
        [item](std::string_view piece, std::optional<std::uint64_t> event)
    {
        item->broken = 0;
        if (!event)
        {
            // A whole answer, or the body of a failure.
            if (item->data.whole_answer())
                item->text += piece;
            return;
        }
        if (item->events++ != 0)
            item->text += '\n';
        item->text += http::event_data(piece);
        item->last_event = event;
    };
    hooks.on_end = [this, item](const targets::attempt_end& end)
    {
        take_end(item, end);
    };
    ++counts_.started;
    ++item->attempts;
    common::log_info("item_sent",
                     {{"job", item->job},
                      {"item", item->data.id()},
                      {"target", where->id()},
                      {"after_event", item->last_event.value_or(0)},
                      {"attempt", item->attempts},
                      {"online", where->load.online()},
                      {"batch", where->load.batch()},
                      {"slots", where->load.slots}});
    item->attempt = new targets::attempt(shared_.protocol, where,
                                         std::move(order), std::move(hooks));
    running_.insert(item);
    item->attempt->start();
}

void runner::take_end(const item_run_ptr& item, const targets::attempt_end& end)
{
    const auto attempt = std::exchange(item->attempt, nullptr);
    running_.erase(item);
    if (item->over)
        return;
    if (end.what != outcome::complete || !is_success(end.status))
        common::log_info("item_attempt_failed",
                         {{"job", item->job},
                          {"item", item->data.id()},
                          {"target", attempt->where()->id()},
                          {"status", end.status},
                          {"reason", end.reason},
                          {"what", end.ec.message()},
                          {"events", item->events}});
    if (end.what == outcome::complete)
        take_answer(item, *attempt, end.status);
    else
        take_broken(item, *attempt, end);
    pump_soon();
}

void runner::take_answer(const item_run_ptr& item,
                         const targets::attempt& attempt, unsigned status)
{
    const auto& target = attempt.where()->id();
    if (is_success(status))
        return end_item(item, proto::ITEM_DONE, status, target);
    const auto meaning = shared_.judge_failure(status);
    if (meaning == failure_kind::counted)
        ++item->failures;
    const bool hopeless = meaning == failure_kind::permanent ||
                          item->data.not_repeatable() ||
                          item->failures >= max_failures(item->job);
    if (hopeless)
        return end_item(item, proto::ITEM_DEAD, status, target);
    item->avoided = target;
    item->not_before = common::clock::now() + broken_pause;
    requeue(item);
}

void runner::take_broken(const item_run_ptr& item,
                         const targets::attempt& attempt,
                         const targets::attempt_end& end)
{
    const auto& target = attempt.where()->id();
    if (end.what != outcome::not_run && item->data.not_repeatable())
        return end_item(item, proto::ITEM_UNKNOWN, end.status, target);
    ++item->broken;
    item->avoided = target;
    item->not_before = common::clock::now() +
                       broken_pause * std::min(item->broken, max_broken_pauses);
    if (item->broken == max_broken_resumes)
        item->restart();
    requeue(item);
}

std::uint32_t runner::max_failures(const std::string& job) const
{
    const auto configuration = shared_.configuration();
    const auto* known = jobs_.table().find(job);
    if (!configuration || known == nullptr)
        return shared_.settings.max_failures;
    const auto* route = configuration->find_route_named(known->route);
    return route == nullptr ? shared_.settings.max_failures
                            : route->max_attempts;
}

void runner::end_item(const item_run_ptr& item, proto::ItemState state,
                      unsigned status, const std::string& target)
{
    const bool done = state == proto::ITEM_DONE;
    const bool unknown = state == proto::ITEM_UNKNOWN;
    ++(done ? counts_.done : unknown ? counts_.unknown : counts_.dead);
    common::log_info("item_ended", {{"job", item->job},
                                    {"item", item->data.id()},
                                    {"state", done      ? "done"
                                              : unknown ? "unknown"
                                                        : "dead"},
                                    {"status", status},
                                    {"events", item->events},
                                    {"attempts", item->attempts},
                                    {"failures", item->failures}});
    item->over = true;
    pending_.erase(item->rank);
    item_end end;
    end.job = item->job;
    end.item = item->index;
    end.state = state;
    end.text.set_item(item->data.id());
    end.text.set_http_status(status);
    end.text.set_target(target);
    end.text.set_attempts(item->attempts);
    if (done || item->data.whole_answer())
        end.text.set_text(std::move(item->text));
    recorder_.add(std::move(end));
}

void runner::requeue(const item_run_ptr& item)
{
    if (!item->over)
        pending_[item->rank] = item;
}

bool runner::make_room(targets::target& where)
{
    // The item with the most time left gives way; among equals the one that
    // has got least far.
    item_run_ptr chosen;
    const auto gives_way_before = [](const item_run& a, const item_run& b)
    {
        return std::pair(std::get<0>(a.rank), b.events) >
               std::pair(std::get<0>(b.rank), a.events);
    };
    for (const auto& it : running_)
    {
        const bool candidate =
            it->attempt->where().get() == &where && it->may_be_taken_back();
        if (candidate && (!chosen || gives_way_before(*it, *chosen)))
            chosen = it;
    }
    if (!chosen)
        return false;
    ++counts_.preempted;
    stop_attempt(chosen, "preempted");
    return true;
}

void runner::yield()
{
    std::set<targets::target_ptr> used;
    for (const auto& it : running_)
        used.insert(it->attempt->where());
    for (const auto& it : used)
    {
        const auto& load = it->load;
        if (load.total() <= load.slots)
            continue;
        const auto excess = load.total() - load.slots;
        const auto others = std::min(excess, shared_.yields_before(*it));
        const auto own = std::min(excess - others, load.own_batch);
        for (std::uint32_t n = 0; n < own; ++n)
            make_room(*it);
    }
}

void runner::stop_attempt(const item_run_ptr& item, std::string_view why)
{
    const auto attempt = std::exchange(item->attempt, nullptr);
    attempt->cancel();
    running_.erase(item);
    common::log_info("item_stopped", {{"job", item->job},
                                      {"item", item->data.id()},
                                      {"target", attempt->where()->id()},
                                      {"why", why},
                                      {"events", item->events}});
    requeue(item);
}

void runner::stop_silent(common::time_point now)
{
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        const auto patience = it->data.whole_answer()
                                  ? shared_.settings.answer_patience
                                  : shared_.settings.event_patience;
        if (now - it->attempt->last_progress() < patience)
            continue;
        it->avoided = it->attempt->where()->id();
        if (it->may_be_taken_back())
        {
            stop_attempt(it, "silent");
            continue;
        }
        const auto attempt = std::exchange(it->attempt, nullptr);
        attempt->cancel();
        running_.erase(it);
        end_item(it, proto::ITEM_UNKNOWN, 0, it->avoided);
    }
}

// ---- planned stop ----

void runner::hand_over(std::function<void()> done)
{
    handed_over_ = true;
    timer_.cancel();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
    {
        if (it->may_be_taken_back())
            stop_attempt(it, "hand_over");
    }
    recorder_.flush();

    std::vector<item_run_ptr> begun;
    std::vector<proto::ItemText> texts;
    for (const auto& [rank, item] : pending_)
    {
        if (!item->last_event)
            continue;
        begun.push_back(item);
        auto& text = texts.emplace_back();
        text.set_item(item->data.id());
        text.set_text(item->text);
    }
    if (begun.empty())
        return done();
    texts_.write(
        std::move(texts),
        [this, begun, done = std::move(done)](
            std::error_code ec, const std::vector<state::text_location>& places)
        {
            if (ec)
                return done();
            append_progress(begun, places, done);
        });
}

void runner::append_progress(const std::vector<item_run_ptr>& its,
                             const std::vector<state::text_location>& places,
                             const std::function<void()>& done)
{
    std::vector<proto::JobRecord> records(its.size());
    for (std::size_t i = 0; i < its.size(); ++i)
    {
        auto& it = *records[i].mutable_progress();
        it.set_job(its[i]->job);
        it.set_item(its[i]->index);
        it.set_last_event(*its[i]->last_event);
        it.set_text_partition(places[i].partition);
        it.set_text_offset(places[i].offset);
        it.set_failures(its[i]->failures);
    }
    jobs_.append(records, true,
                 [done](std::error_code, std::uint64_t) { done(); });
}

// ---- counts ----

runner_counts runner::counts() const
{
    auto counts = counts_;
    counts.pending = pending_.size();
    counts.running = running_.size();
    return counts;
}

std::size_t runner::running_items(std::string_view job) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        running_, [job](const auto& it) { return it->job == job; }));
}

} // namespace tanagertrack::batch
