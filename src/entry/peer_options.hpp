#ifndef TANAGERTRACK_ENTRY_PEER_OPTIONS_HPP
#define TANAGERTRACK_ENTRY_PEER_OPTIONS_HPP

#include "config/settings.hpp"
#include "transport/transport_settings.hpp"

namespace tanagertrack::entry
{

/// Options of the connections between own processes, from the settings.
transport::transport_settings
make_peer_options(const config::settings& settings);

} // namespace tanagertrack::entry

#endif
