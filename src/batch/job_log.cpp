#include "batch/job_log.hpp"

#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <utility>

namespace tanagertrack::batch
{

namespace
{

/// Returns a hook of the table that calls the same hook of all listeners.
template<typename... Args>
std::function<void(Args...)>
forward_hook(const std::vector<job_listener>& listeners,
             std::function<void(Args...)> state::job_table_hooks::*hook)
{
    return [&listeners, hook](Args... args)
    {
        for (const auto& it : listeners)
        {
            if (it.changes.*hook)
                (it.changes.*hook)(args...);
        }
    };
}

} // namespace

job_log::job_log(boost::asio::io_context& context,
                 const store::store_service& service, job_log_settings settings)
    : service_(service), settings_(std::move(settings)), table_(make_hooks())
{
    store::follower_hooks hooks;
    hooks.on_records =
        [this](std::uint64_t offset, std::span<const std::string> records)
    {
        apply_records(offset, records);
    };
    hooks.on_expired = [this](std::uint64_t first)
    {
        handle_expired(first);
    };
    hooks.on_reachable = [this](bool reachable)
    {
        common::log_info(reachable ? "store_regained" : "store_lost",
                         {{"topic", topic_partition().topic}});
        for (const auto& it : listeners_)
        {
            if (it.on_reachable)
                it.on_reachable(reachable);
        }
    };
    hooks.on_caught_up = [this]
    {
        handle_caught_up();
    };
    follower_ = std::make_shared<store::partition_follower>(
        context, service, topic_partition(), settings_.reading,
        std::move(hooks));
    writer_ = std::make_shared<store::partition_writer>(
        context, service, topic_partition(), settings_.member,
        settings_.writing);
}

state::job_table_hooks job_log::make_hooks()
{
    using table_hooks = state::job_table_hooks;
    table_hooks hooks;
    hooks.on_commit = forward_hook(listeners_, &table_hooks::on_commit);
    hooks.on_result = forward_hook(listeners_, &table_hooks::on_result);
    hooks.on_cancelled = forward_hook(listeners_, &table_hooks::on_cancelled);
    hooks.on_reassigned = forward_hook(listeners_, &table_hooks::on_reassigned);
    hooks.on_member = forward_hook(listeners_, &table_hooks::on_member);
    hooks.on_item_intent =
        forward_hook(listeners_, &table_hooks::on_item_intent);
    hooks.on_call_intent =
        forward_hook(listeners_, &table_hooks::on_call_intent);
    hooks.on_call_completed =
        forward_hook(listeners_, &table_hooks::on_call_completed);
    hooks.on_moved = forward_hook(listeners_, &table_hooks::on_moved);
    return hooks;
}

void job_log::add_listener(job_listener listener)
{
    listeners_.push_back(std::move(listener));
}

void job_log::start()
{
    follower_->start(0);
}

void job_log::stop()
{
    follower_->stop();
    writer_->stop();
}

void job_log::handle_caught_up()
{
    if (search_start_)
        return start_from_checkpoint();
    if (std::exchange(current_, true))
        return;
    common::log_info("jobs_read", {{"offset", follower_->next_offset()},
                                   {"jobs", table_.size()}});
    for (const auto& it : listeners_)
    {
        if (it.on_current)
            it.on_current();
    }
}

void job_log::apply_records(std::uint64_t offset,
                            std::span<const std::string> records)
{
    for (const auto& it : records)
    {
        proto::JobRecord record;
        if (record.ParseFromString(it))
            apply_record(offset, record);
        else
            common::log_warning("job_record_skipped",
                                {{"offset", offset}, {"bytes", it.size()}});
        ++offset;
    }
}

void job_log::apply_record(std::uint64_t offset, const proto::JobRecord& record)
{
    if (record.has_checkpoint())
        last_checkpoint_ = common::clock::now();
    if (!search_start_)
        return table_.apply(offset, record);
    if (record.has_checkpoint() &&
        record.checkpoint().as_of() >= *search_start_)
        checkpoints_.add_part(record.checkpoint());
}

void job_log::handle_expired(std::uint64_t first)
{
    // The state from the expired records is in a checkpoint. All records are
    // searched for the newest one before any record is applied.
    common::log_warning("job_records_expired", {{"first", first}});
    current_ = false;
    search_start_ = first;
    checkpoints_.clear();
    follower_->start(first);
}

void job_log::start_from_checkpoint()
{
    auto from = *search_start_;
    search_start_.reset();
    if (const auto& found = checkpoints_.newest())
    {
        from = found->as_of;
        load_checkpoint(table_, *found);
    }
    else
    {
        common::log_error("job_checkpoint_missing", {{"first", from}});
        table_.clear();
    }
    checkpoints_.clear();
    common::log_info("job_checkpoint_loaded",
                     {{"as_of", from}, {"jobs", table_.size()}});
    for (const auto& it : listeners_)
    {
        if (it.on_loaded)
            it.on_loaded();
    }
    follower_->start(from);
}

void job_log::confirm(common::time_point time,
                      std::function<void(std::error_code)> handler)
{
    follower_->confirm(time,
                       [this, handler = std::move(handler)](std::error_code ec)
                       {
                           // While a checkpoint is searched for, the table lags
                           // behind what the follower has read.
                           if (!ec && !current_)
                               ec = make_error_code(
                                   common::result_code::log_unavailable);
                           handler(ec);
                       });
}

void job_log::append_checkpoint()
{
    auto records = state::make_checkpoint(table_, follower_->next_offset(),
                                          common::random_id(),
                                          settings_.max_checkpoint_part_bytes);
    common::log_info("job_checkpoint", {{"as_of", follower_->next_offset()},
                                        {"jobs", table_.size()},
                                        {"records", records.size()}});
    for (const auto& it : records)
        append(it);
}

const proto::JobPart& part_of(const proto::JobRecord& record)
{
    return record.has_part_copy() ? record.part_copy().part() : record.part();
}

void job_log::read_record(
    std::uint64_t offset,
    std::function<void(std::error_code, const proto::JobRecord&)> handler)
{
    // Read size in bytes that returns a single record: the store answers with
    // whole records, and with at least one.
    constexpr std::size_t one_record_bytes = 1024;
    store::read_call call;
    call.from = topic_partition();
    call.offset = offset;
    call.max_bytes = one_record_bytes;
    service_.read(
        call,
        [handler = std::move(handler)](const store::read_result& result)
        {
            proto::JobRecord record;
            auto ec = result.ec;
            if (!ec && (result.records.empty() ||
                        !record.ParseFromString(result.records.front())))
                ec = make_error_code(common::result_code::log_unavailable);
            handler(ec, record);
        });
}

store::append_id job_log::append(const std::vector<proto::JobRecord>& records,
                                 bool waits_for_store,
                                 store::partition_writer::handler done)
{
    std::vector<std::string> serialized;
    serialized.reserve(records.size());
    for (const auto& it : records)
        serialized.push_back(it.SerializeAsString());
    return writer_->append(std::move(serialized), waits_for_store,
                           std::move(done));
}

void job_log::append(const proto::JobRecord& record)
{
    append({record}, true,
           [](std::error_code ec, std::uint64_t)
           {
               if (ec)
                   common::log_warning("job_record_dropped",
                                       {{"what", ec.message()}});
           });
}

} // namespace tanagertrack::batch
