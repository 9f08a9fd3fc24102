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
using std::chrono::milliseconds;

namespace
{

constexpr unsigned status_unprocessable = 422;
constexpr unsigned status_server_error = 500;

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
    job_listener listener;
    listener.changes.on_commit = [this](const jobs::JobCommit& commit,
                                        state::commit_verdict verdict)
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
    jobs_.add_listener(std::move(listener));
}

runner::~runner() = default;

void runner::start()
{
    tick();
}

void runner::set_paused(bool paused)
{
    if (std::exchange(paused_, paused) == paused)
        return;
    common::log_info(paused ? "batch_paused" : "batch_resumed",
                     {{"running", running_.size()},
                      {"pending", pending_.size()}});
    if (!paused)
        return pump_soon();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
        stop_attempt(it, "paused");
}

void runner::take_job(const state::batch_job& job)
{
    if (!job.is_open() || handed_over_)
        return;
    auto run = std::make_unique<job_run>();
    run->id = job.id;
    run->host = job.host;
    run->order = job.accepted_at;

    // The time of day may be wrong: a job is never taken to be older than its
    // due time, nor to come from the future.
    const auto due_after = job.due_after_ms != 0
                               ? milliseconds(job.due_after_ms)
                               : shared_.settings.default_due;
    const auto now_ms = common::unix_time_ms();
    const auto age = milliseconds(now_ms - std::min(now_ms, job.created_ms));
    run->due = common::clock::now() + due_after - std::min(age, due_after);
    runs_[job.id] = std::move(run);

    const auto items = intake_.take_items(job.id);
    if (items.empty())
        return load_items(job);
    add_items(*runs_[job.id], job, 0, items);
    pump_soon();
}

void runner::load_items(const state::batch_job& job)
{
    common::log_info("job_loading", {{"job", job.id},
                                     {"parts", job.parts.size()},
                                     {"results", job.results.size()},
                                     {"items", job.items.size()}});
    for (const auto& part : job.parts)
        load_part(job.id, part.offset);
}

void runner::load_part(const std::string& job, std::uint64_t offset)
{
    jobs_.read_record(
        offset,
        [this, job, offset](std::error_code ec, const jobs::JobRecord& record)
        { take_part(job, offset, ec, record); });
}

void runner::take_part(const std::string& job, std::uint64_t offset,
                       std::error_code ec, const jobs::JobRecord& record)
{
    const auto run = runs_.find(job);
    const auto* known = jobs_.table().find(job);
    if (run == runs_.end() || known == nullptr)
        return;
    if (ec)
    {
        common::log_warning("job_part_unread", {{"job", job},
                                                {"offset", offset},
                                                {"what", ec.message()}});
        run->second->unread_parts.push_back(offset);
        run->second->read_again_at = common::clock::now() + read_again_pause;
        return;
    }
    const auto& part = record.part();
    add_items(*run->second, *known, part.first_item(),
              {part.items().begin(), part.items().end()});
    pump_soon();
}

void runner::load_unread(job_run& run, common::time_point now)
{
    if (run.unread_parts.empty() || now < run.read_again_at)
        return;
    for (const auto offset : std::exchange(run.unread_parts, {}))
        load_part(run.id, offset);
}

void runner::add_items(job_run& run, const state::batch_job& job,
                       std::uint32_t first,
                       const std::vector<jobs::JobItem>& its)
{
    for (std::size_t i = 0; i < its.size(); ++i)
    {
        const auto index = first + static_cast<std::uint32_t>(i);
        if (job.items[index].state != jobs::ITEM_OPEN)
            continue;
        item_run_ptr item(new item_run);
        item->job = run.id;
        item->index = index;
        item->data = its[i];
        run.items[index] = item;
        const auto progress = job.progress.find(index);
        if (progress != job.progress.end())
            load_progress(item, progress->second);
        else
            pending_[rank_of(run, *item)] = item;
    }
}

void runner::load_progress(const item_run_ptr& item,
                           const state::item_progress& progress)
{
    texts_.read(progress.text,
                [this, item, progress](std::error_code ec,
                                       const jobs::ItemText& text)
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

void runner::drop_job(const std::string& id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    const auto run = std::move(found->second);
    runs_.erase(found);
    for (const auto& [index, item] : run->items)
    {
        item->over = true;
        pending_.erase(rank_of(*run, *item));
        running_.erase(item);
        if (auto attempt = std::exchange(item->attempt, nullptr))
            attempt->cancel();
    }
    common::log_info("job_dropped",
                     {{"job", id}, {"open_items", run->items.size()}});
}

void runner::drop_item(const std::string& job, std::uint32_t index)
{
    const auto run = runs_.find(job);
    if (run == runs_.end())
        return;
    const auto found = run->second->items.find(index);
    if (found == run->second->items.end())
        return;
    const auto item = found->second;
    item->over = true;
    pending_.erase(rank_of(*run->second, *item));
    running_.erase(item);
    if (auto attempt = std::exchange(item->attempt, nullptr))
        attempt->cancel();
    run->second->items.erase(found);
    if (run->second->items.empty() && !jobs_.table().find(job)->is_open())
        runs_.erase(run);
}

runner::item_rank runner::rank_of(const job_run& run,
                                  const item_run& item) const
{
    return {run.due, run.order, item.index};
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
    std::size_t scanned = 0;
    for (auto it = pending_.begin();
         it != pending_.end() && scanned < max_scanned; ++scanned)
    {
        const auto item = it->second;
        auto& run = *runs_.at(item->job);
        const auto to = find_route(run, *item);
        const bool waits = item->not_before > now || to.route == nullptr ||
                           busy.contains(to.service);
        if (waits)
        {
            ++it;
            continue;
        }
        it = pending_.erase(it);
        if (start_item(run, item, to))
            continue;
        busy.insert(to.service);
        it = std::next(pending_.emplace(rank_of(run, *item), item).first);
    }
}

runner::item_route runner::find_route(job_run& run, const item_run& item)
{
    const auto configuration = shared_.configuration();
    if (!configuration)
        return {};
    const auto* route = configuration->find_route(run.host, item.data.path());
    const bool usable = route != nullptr &&
                        route->kind == fleet::route_kind::batch &&
                        !route->services.empty();
    if (!usable)
    {
        if (!run.routeless_since)
            run.routeless_since = common::clock::now();
        return {};
    }
    run.routeless_since.reset();
    std::size_t total = 0;
    for (const auto& it : route->services)
        total += it.weight;
    if (total == 0)
        return {};

    // The same item goes to the same service.
    auto drawn = (run.order + item.index) % total;
    for (const auto& it : route->services)
    {
        if (drawn < it.weight)
            return {route, it.service};
        drawn -= it.weight;
    }
    return {};
}

bool runner::start_item(job_run& run, const item_run_ptr& item,
                        const item_route& to)
{
    std::vector<targets::target_ptr> usable;
    std::vector<const routing::target_load*> loads;
    const auto& all = shared_.targets.of_service(to.service);
    for (const auto& it : all)
    {
        const bool avoided = it->id() == item->avoided && all.size() > 1;
        const auto claimed = shared_.starts_before(*it);
        if (avoided || it->load.free_slots() <= claimed)
            continue;
        usable.push_back(it);
        loads.push_back(&it->load);
    }
    const auto now = common::clock::now();
    const auto choice =
        shared_.place.choose_batch(loads, shared_.settings.reserve, now);
    if (!choice)
        return false;

    const auto where = usable[choice->index];
    targets::attempt_order order;
    order.work = routing::work_class::batch;
    order.request = write_request(run, *item, *where);
    order.request_id = item->data.id();
    order.events = true;
    order.after_event = item->last_event;
    targets::attempt_hooks hooks;
    hooks.on_piece =
        [item](std::string_view piece, std::optional<std::uint64_t> event)
    {
        // The body of a failure is no text.
        if (!event)
            return;
        if (item->events++ != 0)
            item->text += '\n';
        item->text += http::event_data(piece);
        item->last_event = event;
        item->broken = 0;
    };
    hooks.on_end = [this, item](const targets::attempt_end& end)
    {
        take_end(item, end);
    };
    ++counts_.started;
    common::log_info("item_sent", {{"job", item->job},
                                   {"item", item->data.id()},
                                   {"target", where->id()},
                                   {"after_event", item->last_event.value_or(0)},
                                   {"failures", item->failures},
                                   {"online", where->load.online()},
                                   {"batch", where->load.batch()},
                                   {"slots", where->load.slots}});
    item->attempt = new targets::attempt(shared_.protocol, where,
                                         std::move(order), std::move(hooks));
    running_.insert(item);
    item->attempt->start();
    return true;
}

std::string runner::write_request(const job_run& run, const item_run& item,
                                  const targets::target& where) const
{
    http::header_list headers;
    for (const auto& it : item.data.headers())
        headers.add(it.name(), it.value());
    return shared_.protocol.write({item.data.id(), item.data.method(),
                                   item.data.path(), run.host, headers,
                                   item.data.body(), where.id(), std::nullopt,
                                   item.last_event});
}

void runner::take_end(const item_run_ptr& item, const targets::attempt_end& end)
{
    const auto attempt = std::exchange(item->attempt, nullptr);
    running_.erase(item);
    if (item->over)
        return;
    if (end.what == outcome::complete && is_success(end.status))
    {
        end_item(item, jobs::ITEM_DONE);
        return pump_soon();
    }
    common::log_info("item_attempt_failed",
                     {{"job", item->job},
                      {"item", item->data.id()},
                      {"target", attempt->where()->id()},
                      {"status", end.status},
                      {"reason", end.reason},
                      {"what", end.ec.message()},
                      {"events", item->events}});
    item->avoided = attempt->where()->id();
    if (end.what == outcome::complete)
        take_answer(item, end.status);
    else
    {
        ++item->broken;
        item->not_before =
            common::clock::now() +
            broken_pause * std::min(item->broken, max_broken_pauses);
        if (item->broken == max_broken_resumes)
        {
            item->text.clear();
            item->events = 0;
            item->last_event.reset();
        }
        requeue(item);
    }
    pump_soon();
}

void runner::take_answer(const item_run_ptr& item, unsigned status)
{
    if (status == status_unprocessable)
        return end_item(item, jobs::ITEM_DEAD);
    if (status == status_server_error)
        ++item->failures;
    if (item->failures >= max_attempts(item->job))
        return end_item(item, jobs::ITEM_DEAD);
    item->not_before = common::clock::now() + broken_pause;
    requeue(item);
}

std::uint32_t runner::max_attempts(const std::string& job) const
{
    const auto configuration = shared_.configuration();
    const auto* known = jobs_.table().find(job);
    if (!configuration || known == nullptr)
        return 1;
    const auto* route = configuration->find_route_named(known->route);
    constexpr std::uint32_t otherwise = 3;
    return route == nullptr ? otherwise : route->max_attempts;
}

void runner::end_item(const item_run_ptr& item, jobs::ItemState state)
{
    const bool done = state == jobs::ITEM_DONE;
    ++(done ? counts_.done : counts_.dead);
    common::log_info("item_ended", {{"job", item->job},
                                    {"item", item->data.id()},
                                    {"state", done ? "done" : "dead"},
                                    {"events", item->events},
                                    {"failures", item->failures}});
    item->over = true;
    recorder_.add({item->job, item->index, item->data.id(), state,
                   done ? std::move(item->text) : std::string()});
}

void runner::requeue(const item_run_ptr& item)
{
    const auto run = runs_.find(item->job);
    if (run != runs_.end() && !item->over)
        pending_[rank_of(*run->second, *item)] = item;
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

bool runner::make_room(targets::target& where)
{
    // The item with the most time left gives way; among equals the one that
    // has got least far.
    item_run_ptr chosen;
    const auto later = [this](const item_run_ptr& a, const item_run_ptr& b)
    {
        const auto& x = *runs_.at(a->job);
        const auto& y = *runs_.at(b->job);
        return std::tuple(x.due, b->events) > std::tuple(y.due, a->events);
    };
    for (const auto& it : running_)
    {
        if (it->attempt->where().get() == &where &&
            (!chosen || later(it, chosen)))
            chosen = it;
    }
    if (!chosen)
        return false;
    ++counts_.preempted;
    stop_attempt(chosen, "preempted");
    return true;
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
        if (now - it->attempt->last_progress() < shared_.settings.patience)
            continue;
        it->avoided = it->attempt->where()->id();
        stop_attempt(it, "silent");
    }
}

void runner::give_up(job_run& run)
{
    common::log_info("job_without_route",
                     {{"job", run.id}, {"items", run.items.size()}});
    for (const auto& [index, item] : std::map(run.items))
    {
        if (item->over || item->attempt)
            continue;
        pending_.erase(rank_of(run, *item));
        end_item(item, jobs::ITEM_DEAD);
    }
}

void runner::tick()
{
    const auto now = common::clock::now();
    stop_silent(now);
    for (const auto& [id, run] : runs_)
    {
        load_unread(*run, now);
        if (run->routeless_since &&
            now - *run->routeless_since > shared_.settings.routeless_time)
            give_up(*run);
    }
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

void runner::hand_over(std::function<void()> done)
{
    handed_over_ = true;
    timer_.cancel();
    for (const auto& it : std::vector(running_.begin(), running_.end()))
        stop_attempt(it, "hand_over");
    recorder_.flush();

    std::vector<item_run_ptr> begun;
    std::vector<jobs::ItemText> texts;
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
    texts_.write(std::move(texts),
                 [this, begun, done = std::move(done)](
                     std::error_code ec,
                     const std::vector<state::text_location>& places)
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
    std::vector<jobs::JobRecord> records(its.size());
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

runner_counts runner::counts() const
{
    auto counts = counts_;
    counts.pending = pending_.size();
    counts.running = running_.size();
    return counts;
}

} // namespace tanagertrack::batch
