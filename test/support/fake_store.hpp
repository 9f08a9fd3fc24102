#ifndef TANAGERTRACK_TEST_SUPPORT_FAKE_STORE_HPP
#define TANAGERTRACK_TEST_SUPPORT_FAKE_STORE_HPP

#include "common/result_code.hpp"
#include "standin/store_model.hpp"
#include "store/store_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace tanagertrack::test
{

/// Outcome of a call to the fake store.
enum class call_outcome
{
    /// Carried out; the caller gets the result.
    done,

    /// Not carried out; the caller gets `log_unavailable`.
    refused,

    /// Append that is carried out; the caller gets `log_append_unknown`.
    answer_lost,

    /// Append that is not carried out; the caller gets `log_append_unknown`.
    request_lost,

    /// Append that is carried out by run_late() or run_one_late(); the caller
    /// gets `log_append_unknown`.
    late,

    /// Read that is answered by answer_silent_reads() only.
    silent
};

/// In-process store for tests: a store_model behind the interface of the store
/// client, with injected outcomes of calls. Results are posted to the context.
/// Not thread-safe: all calls are made on the thread of the io_context.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& context,
                        standin::store_limits limits = {})
        : model(limits), context_(context)
    {
    }

    /// Hooks that decide the outcome of each append and of each other call. For
    /// the other calls, each outcome except `done`, and `silent` for reads of a
    /// log, counts as `refused`.
    std::function<call_outcome()> append_outcome = []
    {
        return call_outcome::done;
    };
    std::function<call_outcome()> read_outcome = []
    {
        return call_outcome::done;
    };

    /// State of the store. After a direct change, a test calls wake() so that
    /// waiting reads see it.
    standin::store_model model;

    /// Numbers of appends and of reads, whatever their outcome; a read that
    /// waited counts again when it is repeated.
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;

    /// Carries out all appends with the outcome `late`, in their order.
    void run_late()
    {
        for (const auto& it : std::exchange(late_, {}))
            model.append(it, now());
        wake();
    }

    /// Carries out one append with the outcome `late`: the one with the index
    /// that `choose_index` returns, given their number. Returns false if there
    /// is none.
    bool
    run_one_late(const std::function<std::size_t(std::size_t)>& choose_index)
    {
        if (late_.empty())
            return false;
        const auto at = late_.begin() +
                        static_cast<std::ptrdiff_t>(choose_index(late_.size()));
        const auto call = *at;
        late_.erase(at);
        model.append(call, now());
        wake();
        return true;
    }

    /// Carries out and answers the reads with the outcome `silent`.
    void answer_silent_reads()
    {
        for (auto& it : std::exchange(silent_reads_, {}))
            it();
    }

    /// Repeats the reads that wait for records; called after each change of the
    /// model.
    void wake()
    {
        for (auto& it : std::exchange(waiting_, {}))
            it();
    }

    /// Returns the interface for the code under test; refers to this object.
    store::store_service service()
    {
        store::store_service out;
        out.append = [this](auto call, auto done)
        {
            append(std::move(call), std::move(done));
        };
        out.read = [this](auto call, auto done)
        {
            read(std::move(call), std::move(done));
        };
        out.newest = [this](const auto& from, auto done)
        {
            newest(from, std::move(done));
        };
        out.join = [this](const auto& call, auto done)
        {
            join(call, std::move(done));
        };
        out.leave = [this](const auto& group, const auto& member, auto done)
        {
            if (read_outcome() == call_outcome::done)
                model.leave(group, member, now());
            post_answer([done = std::move(done)] { done({}); });
        };
        out.owners = [this](const auto& group, auto done)
        {
            owners(group, std::move(done));
        };
        out.last_contact = [this]
        {
            return last_contact;
        };
        return out;
    }

    /// Time of the last successful append, read or join.
    common::time_point last_contact;

private:
    static common::time_point now()
    {
        return common::clock::now();
    }

    void post_answer(std::function<void()> handler)
    {
        boost::asio::post(context_, std::move(handler));
    }

    void append(store::append_call call,
                std::function<void(store::append_result)> done)
    {
        using common::result_code;
        ++appends;
        standin::model_append request;
        request.topic = call.to.topic;
        request.partition = call.to.partition;
        request.records = call.records;
        request.expected_end = call.expected_end;
        if (call.producer)
        {
            request.producer = call.producer->name;
            request.epoch = call.producer->epoch;
            request.sequence = call.producer->sequence;
        }
        store::append_result result;
        const auto outcome = append_outcome();
        if (outcome == call_outcome::refused)
            result.ec = make_error_code(result_code::log_unavailable);
        else if (outcome == call_outcome::request_lost ||
                 outcome == call_outcome::late)
        {
            result.ec = make_error_code(result_code::log_append_unknown);
            if (outcome == call_outcome::late)
                late_.push_back(request);
        }
        else
        {
            result = translate(model.append(request, now()));
            if (outcome == call_outcome::answer_lost)
                result.ec = make_error_code(result_code::log_append_unknown);
            wake();
        }
        if (!result.ec)
            last_contact = now();
        post_answer([done = std::move(done), result] { done(result); });
    }

    static store::append_result
    translate(const standin::model_append_result& from)
    {
        using common::result_code;
        store::append_result result;
        result.offset = from.offset;
        result.end = from.end;
        if (from.status == 412)
            result.ec = make_error_code(result_code::log_moved);
        else if (from.status == 507)
            result.ec = make_error_code(result_code::log_full);
        else if (from.conflict == "fenced")
            result.ec = make_error_code(result_code::producer_fenced);
        else if (from.conflict == "seq")
            result.ec = make_error_code(result_code::producer_sequence);
        else if (from.status != 200)
            result.ec = make_error_code(result_code::log_unavailable);
        return result;
    }

    void read(const store::read_call& call,
              std::function<void(store::read_result)> done)
    {
        ++reads;
        store::read_result result;
        const auto outcome = read_outcome();
        if (outcome == call_outcome::silent)
        {
            silent_reads_.push_back([this, call, done = std::move(done)]
                                    { read(call, done); });
            return;
        }
        if (outcome != call_outcome::done)
        {
            result.ec = make_error_code(common::result_code::log_unavailable);
            return post_answer([done = std::move(done), result]
                               { done(result); });
        }
        auto found = model.read(call.from.topic, call.from.partition,
                                call.offset, call.max_bytes, now());
        if (found.status == 200 && found.records.empty() &&
            call.wait.count() != 0)
            return wait_for_records(call, std::move(done));
        last_contact = now();
        result.first = found.first;
        result.end = found.end;
        result.records = std::move(found.records);
        if (found.status == 410)
            result.ec =
                make_error_code(common::result_code::log_offset_expired);
        post_answer([done = std::move(done), result] { done(result); });
    }

    /// Repeats a read once, after a change of the model or at its timeout.
    void wait_for_records(const store::read_call& call,
                          std::function<void(store::read_result)> done)
    {
        auto repeated_call = call;
        repeated_call.wait = {};
        const auto repeated = std::make_shared<bool>(false);
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(context_, call.wait);
        const auto repeat =
            [this, repeated_call, repeated, done = std::move(done)]
        {
            if (!std::exchange(*repeated, true))
                read(repeated_call, done);
        };
        timer->async_wait(
            [timer, repeat](const auto& ec)
            {
                if (!ec)
                    repeat();
            });
        waiting_.push_back(
            [timer, repeat]
            {
                timer->cancel();
                repeat();
            });
    }

    void newest(const store::partition_ref& from,
                std::function<void(store::newest_result)> done)
    {
        store::newest_result result;
        if (read_outcome() != call_outcome::done)
            result.ec = make_error_code(common::result_code::log_unavailable);
        else
        {
            for (const auto& it :
                 model.newest(from.topic, from.partition, result.end))
                result.records.push_back({it.key, it.value, it.offset});
        }
        post_answer([done = std::move(done), result] { done(result); });
    }

    void join(const store::join_call& call,
              std::function<void(store::join_result)> done)
    {
        store::join_result result;
        if (read_outcome() != call_outcome::done)
            result.ec = make_error_code(common::result_code::log_unavailable);
        else
        {
            std::vector<standin::model_share> share;
            result.generation = model.join(call.group, call.member, call.topics,
                                           call.session_timeout, now(), share);
            for (const auto& it : share)
                result.partitions.push_back({it.topic, it.partition});
            last_contact = now();
        }
        post_answer([done = std::move(done), result] { done(result); });
    }

    void owners(const std::string& group,
                std::function<void(store::owners_result)> done)
    {
        store::owners_result result;
        if (read_outcome() != call_outcome::done)
            result.ec = make_error_code(common::result_code::log_unavailable);
        else
        {
            for (const auto& it : model.owners(group, now()))
                result.rows.push_back({{it.topic, it.partition}, it.member});
        }
        post_answer([done = std::move(done), result] { done(result); });
    }

    boost::asio::io_context& context_;
    std::vector<standin::model_append> late_;

    /// Reads that wait for records.
    std::vector<std::function<void()>> waiting_;
    std::vector<std::function<void()>> silent_reads_;
};

} // namespace tanagertrack::test

#endif
