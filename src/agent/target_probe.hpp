#ifndef TANAGERTRACK_AGENT_TARGET_PROBE_HPP
#define TANAGERTRACK_AGENT_TARGET_PROBE_HPP

#include "common/endpoint.hpp"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace tanagertrack::agent
{

/// Finds out when a target accepts connections, without sending anything: a
/// plain service would count a request as an execution. One thread.
class target_probe
{
public:
    target_probe(boost::asio::io_context& context, common::endpoint target);
    ~target_probe();

    target_probe(const target_probe&) = delete;
    target_probe& operator=(const target_probe&) = delete;

    /// Tries to connect, twice a second, until it succeeds. `on_result` gets
    /// the result of each try.
    void start(std::function<void(bool reached)> on_result);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace tanagertrack::agent

#endif
