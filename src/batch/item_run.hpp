#ifndef TANAGERTRACK_BATCH_ITEM_RUN_HPP
#define TANAGERTRACK_BATCH_ITEM_RUN_HPP

#include "common/clock.hpp"
#include "proto/jobs.pb.h"
#include "targets/attempt.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace tanagertrack::batch
{

/// An item on its way, through all its attempts.
struct item_run : boost::intrusive_ref_counter<item_run,
                                               boost::thread_unsafe_counter>
{
    std::string job;
    std::uint32_t index = 0;
    jobs::JobItem data;

    /// Data of the events so far, and the number of the last one.
    std::string text;
    std::uint32_t events = 0;
    std::optional<std::uint64_t> last_event;

    /// Runs that the target answered with a failure.
    std::uint32_t failures = 0;

    /// Attempts that ended without an answer, one after the other.
    std::uint32_t broken = 0;

    /// Target that failed last; not chosen again while there are others.
    std::string avoided;
    targets::attempt_ptr attempt;

    /// Not started before this time.
    common::time_point not_before;

    /// The item was ended or is not this process's any more.
    bool over = false;
};

using item_run_ptr = boost::intrusive_ptr<item_run>;

} // namespace tanagertrack::batch

#endif
