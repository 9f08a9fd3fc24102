#ifndef TANAGERTRACK_AGENT_WORK_SESSION_HPP
#define TANAGERTRACK_AGENT_WORK_SESSION_HPP

#include "agent/admission.hpp"
#include "agent/target_runner.hpp"
#include "proto/peer.pb.h"
#include "transport/message_stream.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace tanagertrack::agent
{

class work_dispatcher;

/// One piece of work on its `/work` stream, from the request to the last
/// event. Peer thread. Kept by the dispatcher until it has ended.
class work_session
{
public:
    work_session(work_dispatcher& owner, std::uint64_t id,
                 transport::message_stream_ptr stream);

    /// Cancels the call at the target if it still runs.
    ~work_session();

    work_session(const work_session&) = delete;
    work_session& operator=(const work_session&) = delete;

    std::uint64_t id() const
    {
        return id_;
    }

    const proto::WorkRequest& request() const
    {
        return request_;
    }

    std::uint64_t connection_id() const
    {
        return connection_id_;
    }

    work_class kind() const
    {
        return request_.work_class() == proto::WORK_BATCH ? work_class::batch
                                                          : work_class::online;
    }

    /// Whether the work may be stopped and run again elsewhere.
    bool preemptible() const
    {
        return kind() == work_class::batch && request_.repeatable();
    }

    /// Whether the work holds a slot.
    bool is_running() const
    {
        return run_ != nullptr;
    }

    common::time_point deadline() const
    {
        return deadline_;
    }

    /// Takes the first message. Returns why the work can't be accepted.
    common::result_code parse(std::string_view message, common::time_point now);

    /// Hands the work to the target. False when the target thread's ring is
    /// full; nothing was sent then.
    bool run(common::time_point now);

    // Each of the following sends the last event and forgets the session.

    /// The work gives up its slot.
    void preempt();

    /// The work was not handed to the target.
    void refuse(common::result_code code);

    /// The work was stopped after it was handed to the target.
    void stop(common::result_code code);

private:
    services::target_request make_call(common::time_point now);
    void on_sent();
    void on_event(const target_event& event);
    void on_finished(const services::target_answer& answer);
    void on_failed(std::error_code ec);
    void take_times(common::time_point now);
    void finish(const services::target_answer& answer);
    void fail(common::result_code code, const services::target_answer& answer,
              bool permanent);
    void end(proto::WorkEvent event);
    common::time_point now() const;

    work_dispatcher& owner_;
    const std::uint64_t id_;
    const std::uint64_t connection_id_;
    transport::message_stream_ptr stream_;
    proto::WorkRequest request_;
    common::time_point received_{};
    common::time_point deadline_{};

    // State of the call.
    std::shared_ptr<target_run> run_;
    bool sent_ = false;
    common::time_point started_{};
    common::time_point last_event_{};
    std::uint32_t events_with_text_ = 0;

    /// The answer is read as a stream and put together, so that a preempted
    /// item keeps its text.
    bool assembled_ = false;

    /// Text so far, with that of earlier attempts; batch only.
    std::string text_;
    std::string last_data_;
};

} // namespace tanagertrack::agent

#endif
