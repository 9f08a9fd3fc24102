#ifndef TANAGERTRACK_AGENT_STATUS_HUB_HPP
#define TANAGERTRACK_AGENT_STATUS_HUB_HPP

#include "common/clock.hpp"
#include "transport/message_stream.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::agent
{

class work_dispatcher;

/// The `/status` streams of all entries: takes the target's specification and
/// claims, sends the agent's status, and divides the batch credit. Peer
/// thread.
class status_hub
{
public:
    status_hub(boost::asio::io_context& context, work_dispatcher& work);
    ~status_hub();

    status_hub(const status_hub&) = delete;
    status_hub& operator=(const status_hub&) = delete;

    /// Serves a `/status` stream.
    void accept(const transport::message_stream_ptr& stream);

    /// The status may have changed: it is sent within 50 ms.
    void changed();

    /// Batch work arrived on the connection.
    void note_batch(std::uint64_t connection);

    /// Batch items that the connection's entry may send now. Entries that
    /// sent batch work within 10 s share the room; others may send one.
    std::uint32_t credit(std::uint64_t connection) const;

    /// Sends the status at once and ends all streams.
    void finish_all();

private:
    struct impl;

    /// One entry's stream.
    struct session
    {
        transport::message_stream_ptr stream;
        std::string last_status;
        common::time_point sent_at{};
        common::time_point batch_at{};
    };

    void take_message(std::uint64_t connection, std::string_view message);
    void publish();
    void wait_idle();
    bool is_active(const session& it) const;

    work_dispatcher& work_;
    std::unique_ptr<impl> impl_;

    /// By connection; an entry has one status stream on each.
    std::map<std::uint64_t, session> sessions_;
    common::time_point published_at_{};
    bool scheduled_ = false;
};

} // namespace tanagertrack::agent

#endif
