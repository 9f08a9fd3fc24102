#include "entry/dispatcher.hpp"

#include "common/result_code.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

constexpr std::chrono::milliseconds tick_interval{50};

/// Bodies that are read from the log at a time, for different jobs.
constexpr std::size_t max_loading = 32;

/// Delay before an item that failed is started again, times its attempts.
constexpr std::chrono::milliseconds retry_delay{100};

/// Delay before an item that was refused is started again.
constexpr std::chrono::milliseconds refused_delay{50};

/// Delay before a body is read again after the log failed.
constexpr std::chrono::milliseconds reload_delay{500};

/// Texts of preempted items that are kept; beyond, items start anew.
constexpr std::size_t max_text_bytes = 8 * 1024 * 1024;

/// Bytes of a failed answer that are kept as its reason.
constexpr std::size_t max_reason_bytes = 4096;

std::uint32_t number(result_code code)
{
    return static_cast<std::uint32_t>(code);
}

/// Whether a later attempt may succeed where an answer has this status.
bool is_transient(std::uint32_t http_status)
{
    return http_status >= 500 || http_status == 408 || http_status == 425 ||
           http_status == 429;
}

/// Whether the code says that the request itself is wrong.
bool is_request_error(std::uint32_t code)
{
    return code >= number(result_code::malformed_json) &&
           code < number(result_code::rate_limited);
}

std::string_view item_path(const proto::Item& body)
{
    switch (body.method())
    {
    case proto::ITEM_METHOD_CHAT:
        return "/v1/chat/completions";
    case proto::ITEM_METHOD_COMPLETION:
        return "/v1/completions";
    default:
        return body.path();
    }
}

} // namespace

dispatcher::dispatcher(boost::asio::io_context& context, work_gate gate,
                       record_cache& cache, dispatch_settings settings,
                       std::function<bool()> may_start)
    : context_(context), gate_(std::move(gate)), cache_(cache),
      settings_(settings),
      recorder_(context, settings.flush_interval,
                [this](const std::string& job_id, std::size_t count)
                { note_recorded(job_id, count); }),
      may_start_(std::move(may_start)), timer_(context)
{
}

dispatcher::~dispatcher() = default;

void dispatcher::start()
{
    gate_.on_credit(
        [this, alive = std::weak_ptr(alive_)]
        {
            if (alive.expired())
                return;
            for (auto& [model, queue] : queues_)
                ask_credit(model, queue);
        });
    schedule_tick();
}

void dispatcher::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code)
        {
            if (alive.expired())
                return;
            tick();
            schedule_tick();
        });
}

void dispatcher::tick()
{
    const auto now = common::clock::now();
    while (!delayed_.empty() && delayed_.begin()->first <= now)
    {
        auto node = delayed_.extract(delayed_.begin());
        if (auto* run = find_run(node.mapped().run))
        {
            run->retries.push_back(std::move(node.mapped()));
            add_ready(*run);
        }
    }
    // Also finds credit of targets whose news got lost.
    for (auto& [model, queue] : queues_)
        if (queue.credit == 0)
            ask_credit(model, queue);
    end_drains(now);
    pump();
}

// ---- partitions and jobs ----

void dispatcher::add_partition(partition_owner& owner)
{
    partitions_[owner.partition()] = partition_run{&owner};
    recorder_.add_partition(owner);
    owner.state().for_each_job([&](const state::job& job)
                               { add_job(owner.partition(), job); });
}

void dispatcher::add_job(std::uint32_t partition, const state::job& job)
{
    if (job.cancelled() || job.counts().pending == 0 ||
        run_ids_.contains(job.id()))
        return;
    const auto key = ++last_key_;
    job_run run;
    run.key = key;
    run.id = job.id();
    run.partition = partition;
    run.rank = {key, job.commit().team(), job.commit().created_ms(),
                job.commit().due_ms()};
    run_ids_[run.id] = key;
    add_ready(runs_.emplace(key, std::move(run)).first->second);
    pump();
}

void dispatcher::drop_partition(std::uint32_t partition)
{
    cancel_attempts(
        [&](const item_run& it)
        {
            const auto* run = find_run(it.run);
            return run != nullptr && run->partition == partition;
        },
        false);
    for (auto it = runs_.begin(); it != runs_.end();)
    {
        if (it->second.partition != partition)
        {
            ++it;
            continue;
        }
        remove_ready(it->second);
        counts_.in_flight -= it->second.in_flight;
        run_ids_.erase(it->second.id);
        it = runs_.erase(it);
    }
    recorder_.drop_partition(partition);
    auto node = partitions_.extract(partition);
    if (!node.empty() && node.mapped().drained)
        node.mapped().drained();
}

void dispatcher::drain_partition(std::uint32_t partition,
                                 std::function<void()> drained)
{
    const auto it = partitions_.find(partition);
    if (it == partitions_.end())
    {
        drained();
        return;
    }
    it->second.drained = std::move(drained);
    it->second.drain_end = common::clock::now() + settings_.drain_timeout;
    for (auto& [key, run] : runs_)
    {
        if (run.partition != partition)
            continue;
        remove_ready(run);
        drop_retries(run);
    }
}

void dispatcher::drop_retries(job_run& run)
{
    for (const auto& it : std::exchange(run.retries, {}))
    {
        text_bytes_ -= it.text.size();
        release_item(run);
    }
}

void dispatcher::end_drains(common::time_point now)
{
    std::vector<std::function<void()>> done;
    for (auto& [partition, part] : partitions_)
    {
        if (!part.drain_end)
            continue;
        if (part.in_flight > 0 && now >= *part.drain_end)
            cancel_attempts(
                [&, number = partition](const item_run& it)
                {
                    const auto* run = find_run(it.run);
                    return run != nullptr && run->partition == number;
                },
                true);
        recorder_.flush(partition);
        if (part.in_flight == 0 && recorder_.unrecorded(partition) == 0 &&
            part.drained)
            done.push_back(std::exchange(part.drained, nullptr));
    }
    for (const auto& it : done)
        it();
}

void dispatcher::cancel_job(const state::job& job)
{
    const auto it = run_ids_.find(job.id());
    if (it == run_ids_.end())
        return;
    const auto key = it->second;
    auto& run = runs_.at(key);
    run.cancelled = true;
    remove_ready(run);
    drop_retries(run);
    cancel_attempts([key](const item_run& item) { return item.run == key; },
                    true);
    erase_if_done(key);
}

void dispatcher::forget_job(const std::string& id)
{
    const auto it = run_ids_.find(id);
    if (it == run_ids_.end())
        return;
    const auto key = it->second;
    cancel_attempts([key](const item_run& item) { return item.run == key; },
                    false);
    auto& run = runs_.at(key);
    remove_ready(run);
    counts_.in_flight -= run.in_flight;
    partitions_.at(run.partition).in_flight -= run.in_flight;
    runs_.erase(key);
    run_ids_.erase(id);
}

std::size_t dispatcher::open_work(std::string_view job_id) const
{
    const auto it = run_ids_.find(job_id);
    if (it == run_ids_.end())
        return 0;
    const auto& run = runs_.at(it->second);
    return run.in_flight + run.unrecorded;
}

dispatcher::job_run* dispatcher::find_run(run_key key)
{
    const auto it = runs_.find(key);
    return it != runs_.end() ? &it->second : nullptr;
}

const state::job* dispatcher::find_job(const job_run& run) const
{
    const auto it = partitions_.find(run.partition);
    return it != partitions_.end() ? it->second.owner->state().find_job(run.id)
                                   : nullptr;
}

void dispatcher::erase_if_done(run_key key)
{
    const auto* run = find_run(key);
    if (run == nullptr || run->in_flight > 0 || run->unrecorded > 0 ||
        !run->retries.empty())
        return;
    const auto* job = find_job(*run);
    const bool open = job != nullptr && !run->cancelled &&
                      job->next_pending(run->next_item).has_value();
    if (open)
        return;
    remove_ready(runs_.at(key));
    run_ids_.erase(run->id);
    runs_.erase(key);
}

// ---- choice of the next item ----

dispatcher::model_queue& dispatcher::queue_of(const std::string& model)
{
    auto it = queues_.find(model);
    if (it == queues_.end())
    {
        it = queues_.try_emplace(model, settings_.order).first;
        ask_credit(model, it->second);
    }
    return it->second;
}

void dispatcher::ask_credit(const std::string& model, model_queue& queue)
{
    // The model of jobs in the unnamed queue is found by reading their items.
    if (model.empty() || queue.jobs.size() == 0 ||
        std::exchange(queue.asked, true))
        return;
    gate_.credit(
        model,
        [this, model, alive = std::weak_ptr(alive_)](std::size_t credit)
        {
            if (alive.expired())
                return;
            auto& it = queues_.at(model);
            it.asked = false;
            it.credit = credit;
            if (credit > 0)
                pump();
        });
}

void dispatcher::add_ready(job_run& run)
{
    const auto it = partitions_.find(run.partition);
    if (run.loading || run.cancelled || it == partitions_.end() ||
        it->second.drain_end)
        return;
    remove_ready(run);
    if (!run.retries.empty())
        run.queue = run.retries.front().model;
    queue_of(run.queue).jobs.add(run.rank);
}

void dispatcher::remove_ready(job_run& run)
{
    const auto it = queues_.find(run.queue);
    if (it != queues_.end())
        it->second.jobs.remove(run.key);
}

bool dispatcher::has_capacity() const
{
    return loading_ < max_loading &&
           counts_.in_flight < settings_.max_in_flight &&
           counts_.in_flight + recorder_.unrecorded() <
               settings_.max_unrecorded_results &&
           recorder_.unrecorded_bytes() < settings_.max_unrecorded_bytes;
}

void dispatcher::pump()
{
    if (pumping_)
    {
        pump_again_ = true;
        return;
    }
    pumping_ = true;
    do
    {
        pump_again_ = false;
        // One item of each model in turn, as long as any can start.
        bool picked = true;
        while (picked && has_capacity() && may_start_())
        {
            picked = false;
            for (auto& [model, queue] : queues_)
            {
                // A body that is being read has a claim on its model's credit.
                const bool credit =
                    model.empty() || queue.credit > queue.loading;
                if (queue.jobs.size() == 0 || !credit || !has_capacity())
                    continue;
                picked = true;
                pick(queue);
            }
        }
    } while (pump_again_);
    pumping_ = false;
}

void dispatcher::pick(model_queue& queue)
{
    const auto key = queue.jobs.take();
    BOOST_ASSERT(key);
    auto* run = find_run(*key);
    const auto* job = run != nullptr ? find_job(*run) : nullptr;
    if (job == nullptr)
    {
        queue.jobs.remove(*key);
        return;
    }
    pick_item(*run, *job);
}

void dispatcher::pick_item(job_run& run, const state::job& job)
{
    const bool again = !run.retries.empty();
    const auto item = again ? std::optional(run.retries.front().item)
                            : job.next_pending(run.next_item);
    if (!item)
    {
        remove_ready(run);
        run.next_item = job.item_count();
        erase_if_done(run.key);
        return;
    }
    item_run it;
    it.run = run.key;
    it.item = *item;

    // An intent without completion is from before a takeover: the item may
    // have run.
    if (!again && job.has_intent(*item))
    {
        run.next_item = *item + 1;
        record_unknown(run, it, {});
        return;
    }
    proto::Item body;
    if (!take_body(run, job, *item, body))
        return;
    if (body.model() != run.queue)
    {
        remove_ready(run);
        run.queue = body.model();
        queue_of(run.queue).jobs.add(run.rank);
        return;
    }
    if (again)
    {
        it = std::move(run.retries.front());
        run.retries.pop_front();
        // It was counted while it waited.
        --run.in_flight;
        --counts_.in_flight;
        --partitions_.at(run.partition).in_flight;
    }
    else
    {
        run.next_item = *item + 1;
        prefetch_after(run, job, *item);
    }
    it.model = body.model();
    it.not_repeatable = body.not_repeatable();
    start_item(run, job, std::move(it), std::move(body));
}

bool dispatcher::take_body(job_run& run, const state::job& job,
                           std::uint32_t item, proto::Item& out)
{
    const auto& chunk = job.chunk_of(item);
    const auto record = cache_.find(run.partition, chunk.place.offset);
    if (!record)
    {
        load_chunk(run, chunk);
        return false;
    }
    const auto& entry =
        record->entries(static_cast<int>(chunk.place.entry)).job_chunk();
    out = entry.items(static_cast<int>(item - chunk.first_item));
    return true;
}

void dispatcher::load_chunk(job_run& run, const state::chunk_location& chunk)
{
    remove_ready(run);
    run.loading = true;
    ++loading_;
    ++queue_of(run.queue).loading;
    cache_.load(
        run.partition, chunk.place.offset,
        [this, key = run.key, model = run.queue, alive = std::weak_ptr(alive_)](
            std::error_code ec, const record_cache::record_ptr&)
        {
            if (alive.expired())
                return;
            --loading_;
            --queue_of(model).loading;
            auto* run = find_run(key);
            if (run == nullptr)
                return;
            if (!ec)
            {
                run->loading = false;
                add_ready(*run);
                pump();
                return;
            }
            const auto timer =
                std::make_shared<boost::asio::steady_timer>(context_);
            timer->expires_after(reload_delay);
            timer->async_wait(
                [this, key, alive, timer](boost::system::error_code)
                {
                    auto* it = alive.expired() ? nullptr : find_run(key);
                    if (it == nullptr)
                        return;
                    it->loading = false;
                    add_ready(*it);
                });
        });
}

void dispatcher::prefetch_after(const job_run& run, const state::job& job,
                                std::uint32_t item)
{
    const auto& chunk = job.chunk_of(item);
    const auto next = chunk.first_item + chunk.item_count;
    if (item != chunk.first_item || next >= job.item_count())
        return;
    cache_.load(run.partition, job.chunk_of(next).place.offset,
                [](std::error_code, const record_cache::record_ptr&) {});
}

// ---- attempts ----

void dispatcher::start_item(job_run& run, const state::job& job, item_run it,
                            proto::Item body)
{
    BOOST_ASSERT(job.status(it.item) == proto::ITEM_PENDING);
    ++run.in_flight;
    ++counts_.in_flight;
    ++partitions_.at(run.partition).in_flight;
    auto& queue = queue_of(it.model);
    queue.credit -= queue.credit > 0 ? 1 : 0;
    const bool needs_intent = it.not_repeatable && !it.intent_recorded;
    const auto id = ++last_item_;
    items_.emplace(id, std::move(it));
    if (needs_intent)
        append_intent(id, std::move(body));
    else
        send_item(id, std::move(body));
}

void dispatcher::append_intent(std::uint64_t id, proto::Item body)
{
    const auto& it = items_.at(id);
    const auto& run = runs_.at(it.run);
    proto::PartitionEntry entry;
    auto& intent = *entry.mutable_intent();
    intent.set_job_id(run.id);
    intent.set_item(it.item);
    auto* appender = partitions_.at(run.partition).owner->appender();
    BOOST_ASSERT(appender != nullptr);
    // An intent always fits into a record; its number is that of the items in
    // flight.
    (void)appender->push_bounded(
        std::move(entry),
        [this, id, body = std::move(body),
         alive = std::weak_ptr(alive_)](std::error_code ec, record_position)
        {
            // Without the claim, the items of the partition are gone.
            const auto item = alive.expired() ? items_.end() : items_.find(id);
            if (ec || alive.expired() || item == items_.end())
                return;
            item->second.intent_recorded = true;
            send_item(id, body);
        });
}

void dispatcher::send_item(std::uint64_t id, proto::Item body)
{
    auto& it = items_.at(id);
    const auto& run = runs_.at(it.run);
    attempt_start start;
    start.model = it.model;
    start.excluded = it.excluded;
    auto& request = start.request;
    request.set_work_id(run.id + "/" + std::to_string(it.item) + "/" +
                        std::to_string(it.attempts + 1));
    request.set_work_class(proto::WORK_BATCH);
    request.set_repeatable(!it.not_repeatable);
    request.set_team(run.rank.team);
    request.set_method("POST");
    request.set_path(std::string(item_path(body)));
    request.set_content_type("application/json");
    request.set_body(std::move(*body.mutable_body()));
    request.set_deadline_ms(
        static_cast<std::uint32_t>(settings_.attempt_timeout.count()));
    request.set_partition(run.partition);
    request.set_claim_offset(
        partitions_.at(run.partition).owner->claim_offset());
    request.set_resume_text(it.text);
    ++counts_.attempts;
    it.ticket =
        gate_.start(std::move(start),
                    [this, id, alive = std::weak_ptr(alive_)](attempt_end end)
                    {
                        if (!alive.expired())
                            finish_attempt(id, std::move(end));
                    });
}

void dispatcher::finish_attempt(std::uint64_t id, attempt_end end)
{
    auto node = items_.extract(id);
    if (node.empty())
        return;
    auto it = std::move(node.mapped());
    it.ticket = 0;
    queue_of(it.model).credit = end.credit;
    auto* run = find_run(it.run);
    BOOST_ASSERT(run != nullptr);
    const auto key = run->key;
    release_item(*run);
    std::visit([&](const auto& outcome)
               { take_outcome(*run, std::move(it), end, outcome); },
               end.outcome);
    erase_if_done(key);
    pump();
}

void dispatcher::release_item(job_run& run)
{
    --run.in_flight;
    --counts_.in_flight;
    --partitions_.at(run.partition).in_flight;
}

void dispatcher::take_outcome(job_run& run, item_run it, const attempt_end& end,
                              const proto::WorkFinished& outcome)
{
    ++it.attempts;
    const auto status = outcome.http_status();
    if (status >= 400)
    {
        const bool final = !is_transient(status) || it.not_repeatable;
        const auto code = is_transient(status) ? result_code::target_failed
                                               : result_code::target_rejected;
        fail_attempt(run, std::move(it), end,
                     {number(code), status, outcome.body(), final});
        return;
    }
    proto::ItemResult result;
    result.set_status(proto::ITEM_SUCCEEDED);
    result.set_http_status(status);
    result.set_body(outcome.body());
    result.set_target(end.target);
    record_result(run, it, std::move(result));
}

void dispatcher::take_outcome(job_run& run, item_run it, const attempt_end& end,
                              const proto::WorkFailed& outcome)
{
    if (it.not_repeatable && outcome.may_have_run())
    {
        ++it.attempts;
        record_unknown(run, it, end.target);
        return;
    }
    // An attempt that did not reach the target says nothing about the item.
    if (!outcome.may_have_run() && !outcome.permanent())
    {
        it.excluded.assign(1, end.target);
        retry_later(run, std::move(it), refused_delay);
        return;
    }
    ++it.attempts;
    const auto code = outcome.code() != 0 ? outcome.code()
                                          : number(result_code::target_failed);
    fail_attempt(
        run, std::move(it), end,
        {code, outcome.http_status(), outcome.body(), outcome.permanent()});
}

void dispatcher::take_outcome(job_run& run, item_run it, const attempt_end& end,
                              const proto::WorkPreempted& outcome)
{
    ++counts_.preempted;
    if (it.not_repeatable)
    {
        record_unknown(run, it, end.target);
        return;
    }
    text_bytes_ -= it.text.size();
    it.text.clear();
    if (text_bytes_ + outcome.text().size() <= max_text_bytes)
        it.text = outcome.text();
    text_bytes_ += it.text.size();
    retry_later(run, std::move(it), std::chrono::milliseconds(0));
}

void dispatcher::take_outcome(job_run& run, item_run it, const attempt_end& end,
                              const proto::WorkRefused& outcome)
{
    if (is_request_error(outcome.code()))
    {
        fail_attempt(run, std::move(it), end,
                     {outcome.code(), 0, outcome.message(), true});
        return;
    }
    const std::chrono::milliseconds wanted(outcome.retry_after_ms());
    retry_later(run, std::move(it), std::max(refused_delay, wanted));
}

void dispatcher::take_outcome(job_run& run, item_run it, const attempt_end& end,
                              const no_target_now&)
{
    // Without credit it waits in its queue.
    const auto delay =
        end.credit == 0 ? std::chrono::milliseconds(0) : refused_delay;
    retry_later(run, std::move(it), delay);
}

void dispatcher::fail_attempt(job_run& run, item_run it, const attempt_end& end,
                              const failure& why)
{
    if (!why.final && it.attempts < settings_.max_attempts)
    {
        it.excluded.push_back(end.target);
        const auto delay = retry_delay * it.attempts;
        retry_later(run, std::move(it), delay);
        return;
    }
    proto::ItemResult result;
    result.set_status(proto::ITEM_FAILED);
    result.set_code(why.code);
    result.set_http_status(why.http_status);
    result.set_body(why.body.substr(0, max_reason_bytes));
    result.set_target(end.target);
    record_result(run, it, std::move(result));
}

void dispatcher::retry_later(job_run& run, item_run it,
                             std::chrono::milliseconds delay)
{
    if (run.cancelled || partitions_.at(run.partition).drain_end)
    {
        text_bytes_ -= it.text.size();
        return;
    }
    // It stays in flight, so that items which wait are bounded.
    ++run.in_flight;
    ++counts_.in_flight;
    ++partitions_.at(run.partition).in_flight;
    if (delay.count() > 0)
    {
        delayed_.emplace(common::clock::now() + delay, std::move(it));
        return;
    }
    run.retries.push_back(std::move(it));
    add_ready(run);
}

void dispatcher::record_result(job_run& run, const item_run& it,
                               proto::ItemResult result)
{
    text_bytes_ -= it.text.size();
    switch (result.status())
    {
    case proto::ITEM_SUCCEEDED:
        ++counts_.finished;
        break;
    case proto::ITEM_FAILED:
        ++counts_.failed;
        break;
    default:
        ++counts_.unknown;
    }
    result.set_item(it.item);
    result.set_attempts(it.attempts);
    ++run.unrecorded;
    recorder_.add(run.partition, run.id, std::move(result));
}

void dispatcher::record_unknown(job_run& run, const item_run& it,
                                const std::string& target)
{
    proto::ItemResult result;
    result.set_status(proto::ITEM_UNKNOWN);
    result.set_code(number(result_code::outcome_unknown));
    result.set_target(target);
    record_result(run, it, std::move(result));
}

void dispatcher::note_recorded(const std::string& job_id, std::size_t count)
{
    const auto it = run_ids_.find(job_id);
    if (it != run_ids_.end())
    {
        const auto key = it->second;
        runs_.at(key).unrecorded -= count;
        erase_if_done(key);
    }
    pump();
}

void dispatcher::cancel_attempts(
    const std::function<bool(const item_run&)>& chosen, bool record)
{
    // Retries that wait end at once.
    for (auto it = delayed_.begin(); it != delayed_.end();)
    {
        auto* run = find_run(it->second.run);
        if (!chosen(it->second) || run == nullptr)
        {
            ++it;
            continue;
        }
        text_bytes_ -= it->second.text.size();
        release_item(*run);
        it = delayed_.erase(it);
    }
    for (auto it = items_.begin(); it != items_.end();)
    {
        if (!chosen(it->second))
        {
            ++it;
            continue;
        }
        auto item = std::move(it->second);
        it = items_.erase(it);
        auto* run = find_run(item.run);
        BOOST_ASSERT(run != nullptr);
        if (record && item.not_repeatable && item.ticket != 0)
            record_unknown(*run, item, {});
        else
            text_bytes_ -= item.text.size();
        if (item.ticket == 0)
        {
            release_item(*run);
            continue;
        }
        gate_.cancel(item.ticket,
                     [this, key = item.run, alive = std::weak_ptr(alive_)]
                     {
                         auto* it = alive.expired() ? nullptr : find_run(key);
                         if (it == nullptr)
                             return;
                         release_item(*it);
                         erase_if_done(key);
                     });
    }
}

} // namespace tanagertrack::entry
