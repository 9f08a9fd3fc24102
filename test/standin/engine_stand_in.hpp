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

/// Size and speed of an engine stand-in.
struct engine_settings
{
    /// Maximum number of sequences that run at a time; further ones wait in the
    /// order of their arrival.
    std::int64_t slots = 16;

    /// Maximum number of waiting requests; further ones get 503 and are marked
    /// as not executed.
    std::int64_t max_waiting = 4096;

    /// Duration of a step, which adds one token to each running sequence:
    /// `base_us` plus `per_sequence_us` for each running sequence.
    std::int64_t base_us = 2000;
    std::int64_t per_sequence_us = 100;

    /// Prefill time for each byte of a prompt that is not in the prefix cache.
    std::int64_t prefill_us_per_byte = 2;

    /// Capacity of the prefix cache in blocks of 64 bytes.
    std::int64_t cache_blocks = 4096;

    /// Executions listed by GET /control/seen; older ones are dropped.
    std::int64_t max_seen = 20000;

    /// Id of this target. Requests that expect another one get 421; with an
    /// empty id, all requests are accepted.
    std::string target_id;
};

/// Simulates an inference engine with continuous batching that speaks the
/// platform's protocol: it numbers its events, resumes after the event named in
/// Last-Event-Id, and marks requests that it did not execute. Answers have the
/// text of answer_text(). Not thread-safe: all calls are made on the thread of
/// the io_context.
///
/// Faults: `slow` (factor on the prefill time and on the duration of a step, 1
/// is normal), `fail_next` (the next N requests get 500), `die_after_tokens`
/// with `die_count` (the connections of the next `die_count` requests are
/// closed after `die_after_tokens` tokens), `die_in_event` (they are closed in
/// the middle of an event), `freeze` (no progress and no answers),
/// `extra_answers` (the next N answers are followed by a second one),
/// `foreign_answers` (the next N streamed answers carry the id of another
/// request), `reject` (all requests get 422).
class engine_stand_in : public stand_in
{
public:
    engine_stand_in(const boost::asio::any_io_executor& executor,
                    engine_settings settings);
    ~engine_stand_in() override;

    /// Runs the steps of the engine until the process ends.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<void> handle(http_exchange& exchange) override;
    boost::json::object seen() const override;

private:
    using clock = std::chrono::steady_clock;

    struct completion_request;
    struct sequence;
    struct execution;

    boost::asio::awaitable<void> handle_completion(http_exchange& exchange);

    /// Sends the whole answer when the sequence has ended.
    boost::asio::awaitable<void> send_answer(http_exchange& exchange,
                                             sequence& seq);

    /// Sends the tokens as server-sent events while they are generated.
    boost::asio::awaitable<void> send_events(http_exchange& exchange,
                                             sequence& seq);
    boost::asio::awaitable<void> wait_while_frozen();

    boost::asio::awaitable<void> send_load_report(http_exchange& exchange);

    /// Sends an answer that is marked as not executed.
    boost::asio::awaitable<void> respond_not_executed(http_exchange& exchange,
                                                      unsigned status);

    /// Returns the event with token `index` (from 0); its id is `index` + 1.
    std::string make_event(const sequence& seq, std::uint32_t index) const;
    void add_headers(http_exchange& exchange);

    /// Moves waiting sequences to the free slots.
    void start_waiting();

    /// Removes the sequences that have ended or whose client disconnected.
    void remove_ended();

    /// Adds one token to each running sequence whose prefill is complete.
    void step();

    /// Records the start of a sequence and sets the end of its prefill.
    void start_sequence(sequence& seq);

    /// Marks a sequence as ended, whatever the reason, and adds its record to
    /// the list of GET /control/seen.
    void end_sequence(sequence& seq);

    /// Duration of a step with the sequences that run now.
    std::chrono::microseconds step_time() const;

    boost::asio::any_io_executor executor_;
    engine_settings settings_;
    prefix_cache cache_;
    std::vector<std::shared_ptr<sequence>> running_;
    std::deque<std::shared_ptr<sequence>> waiting_;
    notifier work_available_;
    notifier faults_changed_;
    std::deque<execution> seen_;

    double slow_ = 1;
    bool freeze_ = false;
    std::int64_t fail_next_ = 0;
    std::int64_t die_after_tokens_ = 0;
    std::int64_t die_count_ = 0;
    bool die_in_event_ = false;
    std::int64_t extra_answers_ = 0;
    std::int64_t foreign_answers_ = 0;
    bool reject_ = false;

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
