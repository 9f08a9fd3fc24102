#ifndef TANAGERTRACK_TEST_ENTRY_FAKE_LOG_HPP
#define TANAGERTRACK_TEST_ENTRY_FAKE_LOG_HPP

#include "common/result_code.hpp"
#include "services/log_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tanagertrack::test
{

/// Log in memory with faults. One thread. Reads that wait are answered by the
/// next append to their stream.
class fake_log
{
public:
    explicit fake_log(boost::asio::io_context& context) : context_(context)
    {
        service.append = [this](std::string stream, std::string data,
                                services::log_append_handler handler)
        {
            append(stream, std::move(data), std::move(handler));
        };
        service.read = [this](services::log_read_request request,
                              services::log_read_handler handler)
        {
            read(std::move(request), std::move(handler));
        };
    }

    /// Drops the records before `first`.
    void expire(const std::string& stream, std::uint64_t first)
    {
        streams_[stream].first = first;
    }

    const std::vector<std::string>& records(const std::string& stream)
    {
        return streams_[stream].records;
    }

    services::log_service service;

    /// Next appends that take effect although their answer is lost.
    int lose_answers = 0;
    bool outage = false;

private:
    struct waiting_read
    {
        services::log_read_request request;
        services::log_read_handler handler;

        /// Ends the wait.
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    struct stream_state
    {
        std::vector<std::string> records;
        std::uint64_t first = 1;
        std::vector<waiting_read> waiting;
    };

    void append(const std::string& name, std::string data,
                services::log_append_handler handler)
    {
        using common::result_code;
        if (outage)
            return post([handler]
                        { handler(result_code::log_unavailable, 0); });
        auto& stream = streams_[name];
        stream.records.push_back(std::move(data));
        const auto offset = stream.records.size();
        const bool lost = lose_answers > 0;
        lose_answers -= lost ? 1 : 0;
        post(
            [handler, offset, lost]
            {
                if (lost)
                    handler(result_code::log_append_unknown, 0);
                else
                    handler({}, offset);
            });
        for (auto& it : std::exchange(stream.waiting, {}))
            read(std::move(it.request), std::move(it.handler));
    }

    void read(services::log_read_request request,
              services::log_read_handler handler)
    {
        using common::result_code;
        auto& stream = streams_[request.stream];
        services::log_read_result result;
        result.first_offset = stream.first;
        result.next_offset = stream.records.size() + 1;
        if (outage || request.from < stream.first)
        {
            const auto code = outage ? result_code::log_unavailable
                                     : result_code::log_offset_expired;
            return post([handler, code, result] { handler(code, result); });
        }
        std::size_t bytes = 0;
        for (auto i = request.from; i < result.next_offset; ++i)
        {
            result.records.push_back({i, stream.records[i - 1]});
            bytes += result.records.back().data.size();
            if (bytes >= request.max_bytes)
                break;
        }
        if (result.records.empty() && request.wait.count() > 0)
            wait(stream, std::move(request), std::move(handler));
        else
            post([handler, result = std::move(result)]
                 { handler({}, result); });
    }

    void wait(stream_state& stream, services::log_read_request request,
              services::log_read_handler handler)
    {
        const auto timer =
            std::make_shared<boost::asio::steady_timer>(context_, request.wait);
        request.wait = std::chrono::milliseconds(0);
        stream.waiting.push_back({request, handler, timer});
        timer->async_wait(
            [this, request, timer](boost::system::error_code ec)
            {
                auto& waiting = streams_[request.stream].waiting;
                const auto it =
                    std::ranges::find(waiting, timer, &waiting_read::timer);
                if (ec || it == waiting.end())
                    return;
                auto expired = std::move(*it);
                waiting.erase(it);
                read(std::move(expired.request), std::move(expired.handler));
            });
    }

    template<typename Task>
    void post(Task task)
    {
        boost::asio::post(context_, std::move(task));
    }

    boost::asio::io_context& context_;
    std::map<std::string, stream_state> streams_;
};

/// Runs handlers until `done` or for 10 s; returns whether it is done.
template<typename Predicate>
bool run_until(boost::asio::io_context& context, Predicate done)
{
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    context.restart();
    while (!done() && std::chrono::steady_clock::now() < end)
        if (context.run_one_for(std::chrono::milliseconds(20)) == 0)
            context.restart();
    return done();
}

} // namespace tanagertrack::test

#endif
