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

/// What becomes of a call to the fake store.
enum class call_fate
{
    done,

    /// 503: nothing is done.
    refused,

    /// Done, but the answer is lost.
    answer_lost,

    /// Not done, and there is no answer.
    lost,

    /// No answer; done later, by `run_late`.
    late
};

/// The store of the users' pages in the test's own process: the model behind
/// the client's interface, with a fate for each call. One thread.
class fake_store
{
public:
    explicit fake_store(boost::asio::io_context& context,
                        standin::store_limits limits = {})
        : model(limits), context_(context)
    {
    }

    /// Decides the fate of each append, and of each other call.
    std::function<call_fate()> append_fate = []
    {
        return call_fate::done;
    };
    std::function<call_fate()> read_fate = []
    {
        return call_fate::done;
    };

    standin::store_model model;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;

    /// Carries out the appends that are late.
    void run_late()
    {
        for (const auto& it : std::exchange(late_, {}))
            model.append(it, now());
        wake();
    }

    /// Carries out one of the appends that are late; false if there is none.
    bool run_one_late(const std::function<std::size_t(std::size_t)>& below)
    {
        if (late_.empty())
            return false;
        const auto at =
            late_.begin() + static_cast<std::ptrdiff_t>(below(late_.size()));
        const auto call = *at;
        late_.erase(at);
        model.append(call, now());
        wake();
        return true;
    }

    /// Wakes reads that are held back, after a change of the model.
    void wake()
    {
        for (auto& it : std::exchange(waiting_, {}))
            it();
    }

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
            if (read_fate() == call_fate::done)
                model.leave(group, member, now());
            answer([done = std::move(done)] { done({}); });
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

    common::time_point last_contact;

private:
    static common::time_point now()
    {
        return common::clock::now();
    }

    void answer(std::function<void()> handler)
    {
        boost::asio::post(context_, std::move(handler));
    }

    void append(store::append_call call,
                std::function<void(store::append_result)> done)
    {
        using common::result_code;
        ++appends;
        standin::model_append wanted;
        wanted.topic = call.to.topic;
        wanted.partition = call.to.partition;
        wanted.records = call.records;
        wanted.at = call.expected_end;
        if (call.producer)
        {
            wanted.producer = call.producer->name;
            wanted.epoch = call.producer->epoch;
            wanted.sequence = call.producer->sequence;
        }
        store::append_result result;
        const auto fate = append_fate();
        if (fate == call_fate::refused)
            result.ec = make_error_code(result_code::log_unavailable);
        else if (fate == call_fate::lost || fate == call_fate::late)
        {
            result.ec = make_error_code(result_code::log_append_unknown);
            if (fate == call_fate::late)
                late_.push_back(wanted);
        }
        else
        {
            result = translate(model.append(wanted, now()));
            if (fate == call_fate::answer_lost)
                result.ec = make_error_code(result_code::log_append_unknown);
            wake();
        }
        if (!result.ec)
            last_contact = now();
        answer([done = std::move(done), result] { done(result); });
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
        else if (from.why == "fenced")
            result.ec = make_error_code(result_code::producer_fenced);
        else if (from.why == "seq")
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
        if (read_fate() != call_fate::done)
        {
            result.ec = make_error_code(common::result_code::log_unavailable);
            return answer([done = std::move(done), result] { done(result); });
        }
        auto found = model.read(call.from.topic, call.from.partition,
                                call.offset, call.max_bytes, now());
        if (found.status == 200 && found.records.empty() &&
            call.wait.count() != 0)
            return hold(call, std::move(done));
        last_contact = now();
        result.first = found.first;
        result.end = found.end;
        result.records = std::move(found.records);
        if (found.status == 410)
            result.ec =
                make_error_code(common::result_code::log_offset_expired);
        answer([done = std::move(done), result] { done(result); });
    }

    void hold(const store::read_call& call,
              std::function<void(store::read_result)> done)
    {
        auto again = call;
        again.wait = {};
        const auto told = std::make_shared<bool>(false);
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(context_, call.wait);
        const auto end = [this, again, told, done = std::move(done)]
        {
            if (!std::exchange(*told, true))
                read(again, done);
        };
        timer->async_wait(
            [timer, end](const auto& ec)
            {
                if (!ec)
                    end();
            });
        waiting_.push_back(
            [timer, end]
            {
                timer->cancel();
                end();
            });
    }

    void newest(const store::partition_ref& from,
                std::function<void(store::newest_result)> done)
    {
        store::newest_result result;
        if (read_fate() != call_fate::done)
            result.ec = make_error_code(common::result_code::log_unavailable);
        else
        {
            for (const auto& it :
                 model.newest(from.topic, from.partition, result.end))
                result.records.push_back({it.key, it.value, it.offset});
        }
        answer([done = std::move(done), result] { done(result); });
    }

    void join(const store::join_call& call,
              std::function<void(store::join_result)> done)
    {
        store::join_result result;
        if (read_fate() != call_fate::done)
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
        answer([done = std::move(done), result] { done(result); });
    }

    void owners(const std::string& group,
                std::function<void(store::owners_result)> done)
    {
        store::owners_result result;
        if (read_fate() != call_fate::done)
            result.ec = make_error_code(common::result_code::log_unavailable);
        else
        {
            for (const auto& it : model.owners(group, now()))
                result.rows.push_back({{it.topic, it.partition}, it.member});
        }
        answer([done = std::move(done), result] { done(result); });
    }

    boost::asio::io_context& context_;
    std::vector<standin::model_append> late_;
    std::vector<std::function<void()>> waiting_;
};

} // namespace tanagertrack::test

#endif
