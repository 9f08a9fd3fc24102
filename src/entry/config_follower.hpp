#ifndef TANAGERTRACK_ENTRY_CONFIG_FOLLOWER_HPP
#define TANAGERTRACK_ENTRY_CONFIG_FOLLOWER_HPP

#include "config/settings.hpp"
#include "entry/config_view.hpp"
#include "entry/ticket_submitter.hpp"
#include "services/log_service.hpp"
#include "proto/peer.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanagertrack::common
{
class duty_thread;
class metrics_registry;
} // namespace tanagertrack::common

namespace tanagertrack::entry
{

/// What the follower uses of the process.
struct follower_environment
{
    const config::settings& settings;
    common::metrics_registry& metrics;
    config_view& config;
    common::duty_thread& log_thread;
    services::log_service& log;

    /// Called on the `log` thread while the log can't be read and there is no
    /// complete configuration: asks another entry for it.
    std::function<void()> ask_peers;
};

/// Follows the `config` stream: publishes each new version to the process,
/// appends operators' tickets and snapshots, and gives verdicts. Its state
/// lives on the `log` thread.
class config_follower
{
public:
    explicit config_follower(follower_environment environment);
    ~config_follower();

    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    /// Starts to read. Any thread; call once.
    void start();

    /// Judges a ticket, through the log where that is needed. Any thread; the
    /// handler runs on the `log` thread, or at once for an invalid document.
    void submit(std::string document, std::string operator_name,
                ticket_handler handler);

    /// Looks up the verdict on a ticket. Any thread; the handler runs on the
    /// `log` thread.
    void find_verdict(
        std::uint64_t number,
        std::function<void(std::optional<state::ticket_verdict>)> handler);

    /// Takes a configuration from another entry. Any thread.
    void load(proto::ConfigPush push);

    /// Configuration to give to another entry; nothing while it is not
    /// complete. Any thread.
    std::optional<proto::ConfigPush> make_push() const;

private:
    struct impl;

    std::unique_ptr<impl> impl_;
};

} // namespace tanagertrack::entry

#endif
