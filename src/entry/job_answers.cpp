#include "entry/job_answers.hpp"

#include "common/result_code.hpp"
#include "entry/async_call.hpp"
#include "entry/caller_exchange.hpp"
#include "http/error_answer.hpp"

#include <boost/json.hpp>

#include <utility>

namespace tanagertrack::entry
{

using common::result_code;
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

/// Bytes of results that are sent at a time.
constexpr std::size_t piece_bytes = 64 * 1024;

/// Jobs in a list.
constexpr std::size_t max_listed_jobs = 1000;

/// Time that a cancel waits for the log.
constexpr std::chrono::seconds cancel_timeout{10};

constexpr std::uint64_t ms_per_s = 1000;

json::string json_text(std::string_view text)
{
    return json::string(text.data(), text.size());
}

/// An answer's body as JSON if it is JSON, as a text otherwise.
json::value answer_value(const std::string& body)
{
    json::error_code ec;
    auto value = json::parse(body, ec);
    return ec ? json::value(json::string(body)) : value;
}

json::object error_value(std::uint32_t number, std::string_view ran,
                         const std::string& detail)
{
    const auto& row = common::info(static_cast<result_code>(number));
    json::object it;
    it["code"] = number;
    it["name"] = json_text(row.name);
    it["message"] = json_text(row.text);
    it["execution"] = json_text(ran);
    if (!detail.empty())
        it["detail"] = answer_value(detail);
    return it;
}

std::string_view row_execution(std::uint32_t number)
{
    return to_string(common::info(static_cast<result_code>(number)).ran);
}

/// Reads the results of one job.
class result_reader
{
public:
    result_reader(std::shared_ptr<batch_core> core, std::uint32_t partition,
                  std::string job_id)
        : core_(std::move(core)), partition_(partition),
          job_id_(std::move(job_id)),
          claim_(core_->owner(partition).claim_offset())
    {
    }

    /// Lines from `item` on, until a piece is full; empty at the end. Moves
    /// `item`. Sets `ec` when the log or the partition is lost.
    asio::awaitable<std::string> read(std::uint32_t& item, std::error_code& ec)
    {
        std::string piece;
        while (piece.size() < piece_bytes)
        {
            const auto* job = find_job();
            if (job == nullptr)
            {
                ec = result_code::no_partition_holder;
                break;
            }
            if (item >= job->item_count())
                break;
            const auto status = job->status(item);
            const bool cancelled =
                status == proto::ITEM_PENDING &&
                batch_status(*job, core_->dispatch().open_work(job_id_)) ==
                    "cancelled";
            if (status == proto::ITEM_PENDING && !cancelled)
            {
                ++item;
                continue;
            }
            auto line = co_await read_line(item, job->chunk_of(item),
                                           job->result(item), ec);
            if (ec)
                break;
            piece += line;
            ++item;
        }
        co_return piece;
    }

private:
    const state::job* find_job()
    {
        auto& owner = core_->owner(partition_);
        return owner.claim_offset() == claim_ && claim_ != 0
                   ? owner.state().find_job(job_id_)
                   : nullptr;
    }

    asio::awaitable<record_cache::record_ptr> load(std::uint64_t offset,
                                                   std::error_code& ec)
    {
        auto it = co_await load_record(core_->cache(), partition_, offset);
        ec = it.ec;
        co_return it.record;
    }

    asio::awaitable<std::string> read_line(std::uint32_t item,
                                           state::chunk_location chunk,
                                           state::entry_location place,
                                           std::error_code& ec)
    {
        const auto body = co_await load(chunk.place.offset, ec);
        if (ec)
            co_return std::string();
        const auto& source =
            body->entries(static_cast<int>(chunk.place.entry)).job_chunk();
        const auto& custom_id =
            source.items(static_cast<int>(item - chunk.first_item)).custom_id();
        if (place.offset == 0)
            co_return format(item, custom_id, cancelled_result(item));

        const auto record = co_await load(place.offset, ec);
        if (ec)
            co_return std::string();
        const auto& results =
            record->entries(static_cast<int>(place.entry)).item_results();
        for (const auto& it : results.results())
            if (it.item() == item)
                co_return format(item, custom_id, it);
        ec = result_code::internal_error;
        co_return std::string();
    }

    static proto::ItemResult cancelled_result(std::uint32_t item)
    {
        proto::ItemResult it;
        it.set_item(item);
        it.set_status(proto::ITEM_CANCELLED);
        it.set_code(static_cast<std::uint32_t>(result_code::cancelled));
        return it;
    }

    std::string format(std::uint32_t item, const std::string& custom_id,
                       const proto::ItemResult& it) const
    {
        json::object line;
        line["id"] = job_id_ + "/" + std::to_string(item);
        line["custom_id"] = custom_id;
        if (it.status() == proto::ITEM_SUCCEEDED)
        {
            line["response"] = {{"status_code", it.http_status()},
                                {"body", answer_value(it.body())}};
            line["error"] = nullptr;
        }
        else
        {
            line["response"] = nullptr;
            line["error"] =
                error_value(it.code(), row_execution(it.code()), it.body());
        }
        line["target"] = it.target();
        line["attempts"] = it.attempts();
        return json::serialize(line) + "\n";
    }

    std::shared_ptr<batch_core> core_;
    std::uint32_t partition_;
    std::string job_id_;
    std::uint64_t claim_;
};

} // namespace

std::string_view batch_status(const state::job& job, std::size_t open_work)
{
    if (job.counts().pending == 0)
        return "completed";
    if (!job.cancelled())
        return "in_progress";
    return open_work > 0 ? "cancelling" : "cancelled";
}

std::string batch_object(const state::job& job, std::size_t open_work)
{
    const auto& counts = job.counts();
    const auto& commit = job.commit();
    const auto status = batch_status(job, open_work);
    const auto cancelled =
        counts.cancelled + (status == "cancelled" ? counts.pending : 0);
    json::object it;
    it["id"] = job.id();
    it["object"] = "batch";
    it["status"] = json_text(status);
    it["request_counts"] = {{"total", job.item_count()},
                            {"completed", counts.succeeded},
                            {"failed", counts.failed},
                            {"unknown", counts.unknown},
                            {"cancelled", cancelled}};
    it["created_at"] = commit.created_ms() / ms_per_s;
    it["expires_at"] = commit.keep_until_ms() / ms_per_s;
    return json::serialize(it) + "\n";
}

asio::awaitable<void> stream_results(std::shared_ptr<batch_core> core,
                                     exchange_ptr request,
                                     std::uint32_t partition,
                                     std::string job_id)
{
    result_reader reader(core, partition, job_id);
    std::uint32_t item = 0;
    bool started = false;
    for (;;)
    {
        std::error_code ec;
        auto piece = co_await reader.read(item, ec);
        if (ec && !started)
        {
            refuse(*request, http::rejection(common::to_result_code(ec)));
            co_return;
        }
        if (ec)
        {
            request->abort();
            co_return;
        }
        if (!std::exchange(started, true))
            request->start_answer({200, "application/jsonl"});
        if (piece.empty())
            break;
        const auto write_error =
            co_await write_piece(request, std::move(piece));
        if (write_error)
        {
            request->abort();
            co_return;
        }
    }
    request->finish();
}

asio::awaitable<void> cancel_job(std::shared_ptr<batch_core> core,
                                 exchange_ptr request, std::uint32_t partition,
                                 std::string job_id)
{
    auto& owner = core->owner(partition);
    const auto claim = owner.claim_offset();
    const auto* job = owner.state().find_job(job_id);
    if (!job->cancelled() && job->counts().pending > 0)
    {
        proto::PartitionEntry entry;
        entry.mutable_job_cancel()->set_job_id(job_id);
        const auto done =
            co_await core->record(partition, claim, std::move(entry),
                                  common::clock::now() + cancel_timeout);
        if (done.ec)
        {
            http::rejection why(common::to_result_code(done.ec));
            why.retry_after = std::chrono::seconds(1);
            refuse(*request, why);
            co_return;
        }
    }
    job = owner.state().find_job(job_id);
    if (job == nullptr)
    {
        refuse(*request, http::rejection(result_code::unknown_job));
        co_return;
    }
    request->respond({},
                     batch_object(*job, core->dispatch().open_work(job_id)));
}

void list_jobs(batch_core& core, exchange& request)
{
    std::string body = R"({"object":"list","data":[)";
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < core.partitions(); ++i)
    {
        if (!core.owner(i).is_held())
            continue;
        core.owner(i).state().for_each_job(
            [&](const state::job& job)
            {
                if (job.commit().team() != request.head().team ||
                    count >= max_listed_jobs)
                    return;
                body += count++ > 0 ? "," : "";
                body += batch_object(job, core.dispatch().open_work(job.id()));
            });
    }
    request.respond({}, body + "]}\n");
}

} // namespace tanagertrack::entry
