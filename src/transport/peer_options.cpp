#include "transport/peer_options.hpp"

namespace tanagertrack::transport
{

transport_settings make_peer_options(const config::settings& settings)
{
    transport_settings options;
    options.cluster_key = settings.cluster_key;
    options.send_buffer_bytes = settings.peer.send_buffer_bytes;
    options.ping_interval = settings.peer.ping_interval;
    options.ping_timeout = settings.peer.ping_timeout;
    return options;
}

} // namespace tanagertrack::transport
