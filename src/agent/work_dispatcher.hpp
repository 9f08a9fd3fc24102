#ifndef TANAGERTRACK_AGENT_WORK_DISPATCHER_HPP
#define TANAGERTRACK_AGENT_WORK_DISPATCHER_HPP

#include "agent/admission.hpp"
#include "agent/agent_metrics.hpp"
#include "agent/fence_table.hpp"
#include "agent/target_runner.hpp"
#include "agent/work_session.hpp"
#include "config/settings.hpp"
#include "proto/peer.pb.h"
#include "transport/message_stream.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::agent
{

/// All work of the target: takes it from `/work` streams, fences it, and runs
/// what admission decides. Peer thread.
class work_dispatcher
{
public:
    /// Fills the batch credit of a connection.
    using credit_source = std::function<std::uint32_t(std::uint64_t)>;

    work_dispatcher(boost::asio::io_context& context,
                    const config::settings& settings, agent_metrics& metrics,
                    target_runner& runner);
    ~work_dispatcher();

    work_dispatcher(const work_dispatcher&) = delete;
    work_dispatcher& operator=(const work_dispatcher&) = delete;

    /// Serves a `/work` stream.
    void accept(transport::message_stream_ptr stream);

    /// Takes the target's specification; a lower version than the last one is
    /// ignored.
    void set_target(const proto::TargetSpec& spec, std::uint64_t version);

    /// Takes a claim. Work under lower claims is stopped.
    void raise_fence(std::uint32_t partition, std::uint64_t claim);

    /// Fills a status as one connection sees it.
    void fill_status(proto::AgentStatus& out, std::uint64_t connection) const;

    /// Batch items that can be taken now, from all connections.
    std::uint32_t batch_room();

    /// Sets the hooks: after a change of the status; batch work arrived on a
    /// connection; credit of a connection.
    void set_hooks(std::function<void()> on_change,
                   std::function<void(std::uint64_t)> on_batch,
                   credit_source credit);

    /// Sets what is called when the target refused a connection.
    void on_target_down(std::function<void()> hook);

    /// The target can be reached.
    void target_reached();

    /// Planned stop: refuses new and queued work and preempts batch items.
    void begin_stop();

    /// Whether no work is left.
    bool is_idle() const
    {
        return sessions_.empty();
    }

    /// Stops what still runs at the end of the time for a planned stop.
    void end_stop();

    bool leaving() const
    {
        return stopping_ || spec_.state() == "leaving";
    }

    bool target_down() const
    {
        return target_down_;
    }

    // ---- for sessions ----

    work_session* find(std::uint64_t id);
    std::unique_ptr<work_session> forget(std::uint64_t id);
    void progress(std::uint64_t id, std::size_t bytes);
    void target_refused();
    void changed();

    agent_metrics& metrics()
    {
        return metrics_;
    }

    batch_limit& limit()
    {
        return admission_.limit();
    }

    target_runner& runner()
    {
        return runner_;
    }

    bool is_engine() const
    {
        return settings_.agent.kind == "engine";
    }

    /// Bytes queued for an entry above which its work is stopped.
    std::size_t max_unread_bytes() const
    {
        return 4 * settings_.peer.send_buffer_bytes;
    }

private:
    struct timers;

    void take_message(std::uint64_t id, std::string_view message);
    void take_end(std::uint64_t id);
    common::result_code check(const work_session& session);
    void offer(work_session& session);
    void schedule_decide();
    void decide();
    void apply(const std::vector<admission_action>& actions);
    void wait_for_deadline();
    void update_gauges();

    const config::settings& settings_;
    agent_metrics& metrics_;
    target_runner& runner_;
    admission admission_;
    fence_table fences_;
    std::unique_ptr<timers> timers_;

    // Per configuration version.
    proto::TargetSpec spec_;
    std::uint64_t config_version_ = 0;

    std::unordered_map<std::uint64_t, std::unique_ptr<work_session>> sessions_;
    std::uint64_t last_id_ = 0;
    bool stopping_ = false;
    bool target_down_ = false;
    std::function<void()> on_change_;
    std::function<void(std::uint64_t)> on_batch_;
    credit_source credit_;
    std::function<void()> on_target_down_;
};

} // namespace tanagertrack::agent

#endif
