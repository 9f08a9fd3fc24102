#include "batch/job_log.hpp"

#include "common/logging.hpp"
#include "common/result_code.hpp"

#include <utility>

namespace tanagertrack::batch
{

namespace
{

/// Calls one hook of all listeners.
template<typename Hook, typename... Args>
void tell(const std::vector<job_listener>& listeners,
          Hook state::job_table_hooks::*hook, const Args&... args)
{
    for (const auto& it : listeners)
    {
        if (it.changes.*hook)
            (it.changes.*hook)(args...);
    }
}

} // namespace

job_log::job_log(boost::asio::io_context& context,
                 const store::store_service& service, job_log_settings settings)
    : service_(service), settings_(std::move(settings)), table_(make_hooks())
{
    store::follower_hooks hooks;
    hooks.on_records =
        [this](std::uint64_t offset, std::span<const std::string> its)
    {
        take_records(offset, its);
    };
    hooks.on_expired = [this](std::uint64_t first)
    {
        take_expired(first);
    };
    hooks.on_reachable = [this](bool reachable)
    {
        common::log_info(reachable ? "store_regained" : "store_lost",
                         {{"topic", place().topic}});
        if (reachable && !current_)
            note_current();
        for (const auto& it : listeners_)
        {
            if (it.on_reachable)
                it.on_reachable(reachable);
        }
    };
    follower_ = std::make_shared<store::partition_follower>(
        context, service, place(), settings_.reading, std::move(hooks));
    writer_ = std::make_shared<store::partition_writer>(
        context, service, place(), settings_.member, settings_.writing);
}

state::job_table_hooks job_log::make_hooks()
{
    using table_hooks = state::job_table_hooks;
    state::job_table_hooks hooks;
    hooks.on_commit = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_commit, args...);
    };
    hooks.on_result = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_result, args...);
    };
    hooks.on_ended = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_ended, args...);
    };
    hooks.on_taken = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_taken, args...);
    };
    hooks.on_member = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_member, args...);
    };
    hooks.on_item_intent = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_item_intent, args...);
    };
    hooks.on_call_intent = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_call_intent, args...);
    };
    hooks.on_call_ended = [this](const auto&... args)
    {
        tell(listeners_, &table_hooks::on_call_ended, args...);
    };
    return hooks;
}

void job_log::add_listener(job_listener listener)
{
    listeners_.push_back(std::move(listener));
}

void job_log::start()
{
    follower_->start(0);
    note_current();
}

void job_log::stop()
{
    follower_->stop();
    writer_->stop();
}

void job_log::note_current()
{
    follower_->confirm(
        std::chrono::milliseconds(0),
        [this](std::error_code ec)
        {
            if (ec || std::exchange(current_, true))
                return;
            common::log_info("jobs_read", {{"offset", follower_->next_offset()},
                                           {"jobs", table_.size()}});
            for (const auto& it : listeners_)
            {
                if (it.on_current)
                    it.on_current();
            }
        });
}

void job_log::take_records(std::uint64_t offset,
                           std::span<const std::string> its)
{
    for (const auto& it : its)
    {
        proto::JobRecord record;
        if (record.ParseFromString(it))
            table_.apply(offset, record);
        else
            common::log_warning("job_record_skipped",
                                {{"offset", offset}, {"bytes", it.size()}});
        ++offset;
    }
}

void job_log::take_expired(std::uint64_t first)
{
    common::log_warning("job_records_expired", {{"first", first}});
    table_.clear();
    follower_->start(first);
    current_ = false;
    note_current();
}

void job_log::read_record(
    std::uint64_t offset,
    std::function<void(std::error_code, const proto::JobRecord&)> handler)
{
    // The store answers with whole records, and with at least one.
    constexpr std::size_t one_record_bytes = 1024;
    store::read_call call;
    call.from = place();
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

store::write_ticket
job_log::append(const std::vector<proto::JobRecord>& records,
                bool waits_for_store, store::partition_writer::handler done)
{
    std::vector<std::string> texts;
    texts.reserve(records.size());
    for (const auto& it : records)
        texts.push_back(it.SerializeAsString());
    return writer_->append(std::move(texts), waits_for_store, std::move(done));
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
