#ifndef TANAGERTRACK_ENTRY_TARGET_LINK_HPP
#define TANAGERTRACK_ENTRY_TARGET_LINK_HPP

#include "common/backoff.hpp"
#include "proto/peer.pb.h"
#include "proto/records.pb.h"
#include "routing/subset.hpp"
#include "transport/client_connection.hpp"
#include "transport/transport_settings.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::entry
{

/// What the owner of a link is told; on the `peer` thread.
struct link_hooks
{
    /// A status came, by itself or with an answer.
    std::function<void(const proto::AgentStatus&)> on_status;

    /// The connection came up or went down.
    std::function<void()> on_change;
};

/// The connection to one target's agent: connects again after a loss, keeps
/// the status stream, and knows the target's load. Lives on the `peer`
/// thread.
class target_link
{
public:
    target_link(boost::asio::io_context& context,
                transport::transport_settings options, std::string entry,
                std::uint64_t seed, link_hooks hooks);

    target_link(const target_link&) = delete;
    target_link& operator=(const target_link&) = delete;

    /// Sets the target and connects. Call once.
    void start(proto::TargetSpec spec, std::uint64_t config_version);

    /// Takes a newer state of the target, with the same address.
    void set_spec(proto::TargetSpec spec, std::uint64_t config_version);

    /// Tells the agent of a newer configuration that left the target as it is.
    void set_version(std::uint64_t config_version);

    /// Tells the agent the claims that this entry holds.
    void set_fences(const std::vector<proto::Fence>& fences);

    /// The platform's host list says that the host is leaving.
    void set_host_leaving(bool leaving);

    /// Opens a stream for one attempt; null when that is not possible now.
    transport::message_stream_ptr open_work(transport::stream_hooks hooks);

    /// Takes a status that came with an answer.
    void take_status(const proto::AgentStatus& status);

    /// An attempt was sent or has ended; keeps the load fresh between two
    /// statuses.
    void note_sent(proto::WorkClass work_class);
    void note_ended(proto::WorkClass work_class);

    /// Connected, and neither leaving nor without its target.
    bool accepts_work() const;

    bool is_up() const
    {
        return up_;
    }

    /// Leaving by configuration, host list or its own word.
    bool is_leaving() const;

    /// Requests running and queued for each slot, as far as they delay work
    /// of this class.
    double load(proto::WorkClass work_class) const;

    /// Batch items that may be sent now.
    std::size_t batch_credit() const;

    const proto::TargetSpec& spec() const
    {
        return spec_;
    }

    /// Last status; `target_down` while there is no connection.
    const proto::AgentStatus& status() const
    {
        return status_;
    }

    /// Models that the target serves, as one text: targets with the same are
    /// compared with each other.
    const std::string& pool() const
    {
        return pool_;
    }

    /// Distance of the target, set by the owner.
    routing::distance far = routing::distance::same_data_centre;

    /// Attempts under way, counted by the owner.
    std::size_t attempts = 0;

private:
    void connect();
    void connected();
    void disconnected(std::error_code ec);
    void open_status();
    void send_target();
    void send_fences();
    void status_message(std::string_view message);
    double slots() const;

    boost::asio::io_context& context_;
    transport::transport_settings options_;
    std::string entry_;
    link_hooks hooks_;
    proto::TargetSpec spec_;
    std::string pool_;
    std::uint64_t config_version_ = 0;
    std::vector<proto::Fence> fences_;
    bool host_leaving_ = false;

    common::backoff backoff_;
    boost::asio::steady_timer retry_timer_;
    std::unique_ptr<transport::client_connection> connection_;
    transport::message_stream_ptr status_stream_;
    bool up_ = false;
    bool going_away_ = false;

    proto::AgentStatus status_;

    /// Attempts sent and not ended since the last status.
    std::int64_t online_since_status_ = 0;
    std::int64_t batch_since_status_ = 0;
};

} // namespace tanagertrack::entry

#endif
