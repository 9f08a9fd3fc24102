#ifndef TANAGERTRACK_STANDIN_ENGINE_STAND_IN_HPP
#define TANAGERTRACK_STANDIN_ENGINE_STAND_IN_HPP

#include "standin/notifier.hpp"
#include "standin/prefix_cache.hpp"
#include "standin/stand_in.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::standin
{

/// Settings of an engine.
struct engine_settings
{
    /// Sequences that run at a time; further ones wait in order of arrival.
    std::int64_t slots = 16;

    /// Requests that wait; further ones get 429.
    std::int64_t max_waiting = 4096;

    /// A step, which gives each running sequence one token, takes `base_us`
    /// plus `per_sequence_us` for each running sequence.
    std::int64_t base_us = 2000;
    std::int64_t per_sequence_us = 100;

    /// Time for each byte of a prompt that is not in the prefix cache.
    std::int64_t prefill_us_per_byte = 2;
    std::int64_t cache_blocks = 4096;
    std::int64_t cache_lag_ms = 500;

    /// Each n-th cache event is never published; 0: none is left out.
    std::int64_t cache_gap = 10;

    /// Age of the load that GET /load reports.
    std::int64_t load_lag_ms = 1000;

    /// Whether orders with a fencing number below the highest are refused.
    bool check_fencing = false;

    /// Executions listed by GET /control/seen; older ones are dropped.
    std::int64_t max_seen = 20000;
};

/// Model engine with continuous batching. Faults: `slow` (factor on the time
/// of a step, 1 is normal), `fail_next` (the next requests get 500),
/// `die_after_tokens` with `die_count` (the connections of the next requests
/// close after so many tokens), `freeze` (no progress and no answers).
class engine_stand_in : public stand_in
{
public:
    engine_stand_in(const boost::asio::any_io_executor& executor,
                    engine_settings settings);
    ~engine_stand_in() override;

    /// Runs the steps of the engine, for the life of the process.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    struct completion_request;
    struct sequence;
    struct execution;

    struct load_sample
    {
        clock::time_point time;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    boost::asio::awaitable<void> complete(http_exchange& exchange);
    boost::asio::awaitable<void> send_answer(http_exchange& exchange,
                                             sequence& it);
    boost::asio::awaitable<void> send_events(http_exchange& exchange,
                                             sequence& it);
    boost::asio::awaitable<void> report_load(http_exchange& exchange);
    boost::asio::awaitable<void> report_cache(http_exchange& exchange);
    boost::asio::awaitable<void> take_order(http_exchange& exchange);
    boost::asio::awaitable<void> wait_while_frozen();

    void admit();
    void remove_ended();
    void step();
    void start(sequence& it);
    void end(sequence& it);
    void sample_load();
    std::chrono::microseconds step_time() const;

    boost::asio::any_io_executor executor_;
    engine_settings settings_;
    prefix_cache cache_;
    std::vector<std::shared_ptr<sequence>> running_;
    std::deque<std::shared_ptr<sequence>> waiting_;
    notifier work_;
    notifier thawed_;
    std::deque<load_sample> load_;
    std::deque<execution> seen_;
    boost::json::array orders_;
    std::int64_t fencing_ = 0;

    double slow_ = 1;
    bool freeze_ = false;
    std::int64_t fail_next_ = 0;
    std::int64_t die_after_tokens_ = 0;
    std::int64_t die_count_ = 0;

    std::uint64_t received_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t finished_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t cancelled_waiting_ = 0;
    std::uint64_t died_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t tokens_ = 0;
    std::size_t max_running_ = 0;
};

} // namespace tanagertrack::standin

#endif
