#ifndef TANAGERTRACK_BATCH_SUBMISSION_HPP
#define TANAGERTRACK_BATCH_SUBMISSION_HPP

#include "common/clock.hpp"
#include "fleet/configuration.hpp"
#include "proto/jobs.pb.h"

#include <string>
#include <vector>

namespace tanagertrack::batch
{

/// A batch job as a caller submits it.
struct submission
{
    /// Chosen by the caller; a resend has the same.
    std::string job;
    std::vector<jobs::JobItem> items;

    /// Configuration under which it was taken; keeps `route` alive.
    fleet::configuration_ptr configuration;
    const fleet::route* route = nullptr;

    common::time_point received;

    /// Until when the caller waits for the answer.
    common::time_point deadline;
};

} // namespace tanagertrack::batch

#endif
