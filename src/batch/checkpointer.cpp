#include "batch/checkpointer.hpp"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace tanagertrack::batch
{

namespace
{

/// Number of checkpoints in the retention time: readers find one even if some
/// were not written.
constexpr int checkpoints_per_retention = 4;

/// Number of checks between two checkpoints.
constexpr int checks_per_interval = 8;

} // namespace

checkpointer::checkpointer(boost::asio::io_context& context, job_log& jobs,
                           std::chrono::milliseconds retention,
                           std::function<bool()> is_leader)
    : jobs_(jobs), interval_(retention / checkpoints_per_retention),
      is_leader_(std::move(is_leader)),
      timer_(context, interval_ / checks_per_interval, [this] { check(); })
{
}

void checkpointer::start()
{
    timer_.start();
}

void checkpointer::check()
{
    const auto now = common::clock::now();
    const bool due = now - jobs_.last_checkpoint() >= interval_ &&
                     now - last_append_ >= interval_;
    if (!due || !is_leader_() || !jobs_.is_current() || !jobs_.reachable())
        return;
    last_append_ = now;
    jobs_.append_checkpoint();
}

} // namespace tanagertrack::batch
