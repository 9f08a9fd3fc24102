#ifndef TANAGERTRACK_TRANSPORT_PEER_OPTIONS_HPP
#define TANAGERTRACK_TRANSPORT_PEER_OPTIONS_HPP

#include "config/settings.hpp"
#include "transport/transport_settings.hpp"

namespace tanagertrack::transport
{

/// Options of the connections between own processes, from the settings.
transport_settings make_peer_options(const config::settings& settings);

} // namespace tanagertrack::transport

#endif
