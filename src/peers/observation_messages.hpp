#ifndef TANAGERTRACK_PEERS_OBSERVATION_MESSAGES_HPP
#define TANAGERTRACK_PEERS_OBSERVATION_MESSAGES_HPP

#include "proto/peers.pb.h"
#include "quarantine/crash_report.hpp"

namespace tanagertrack::peers
{

/// Adds observations to a message. Times are sent as ages, since the clocks of
/// hosts differ.
void add_observations(LoadMessage& message,
                      const quarantine::observations& observed,
                      common::time_point now);

/// Returns the observations of a message that was received at `now`.
quarantine::observations read_observations(const LoadMessage& message,
                                           common::time_point now);

} // namespace tanagertrack::peers

#endif
