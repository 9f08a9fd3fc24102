#include "api/api_edge.hpp"

#include "api/caller_api.hpp"
#include "api/fleet_mapping.hpp"
#include "api/operator_api.hpp"
#include "api/ticket_log.hpp"
#include "common/hash.hpp"
#include "common/logging.hpp"
#include "http/http_server.hpp"

#include <memory>
#include <set>
#include <utility>

namespace tanagertrack::api
{

namespace
{

constexpr std::size_t max_operator_connections = 64;

http::http_settings make_front_settings(const config::settings& settings)
{
    http::http_settings out;
    out.name = "front";
    out.max_connections = settings.front.max_connections;
    out.max_header_bytes = settings.front.max_header_bytes;
    out.read_timeout = settings.front.read_timeout;
    out.write_timeout = settings.front.write_timeout;
    return out;
}

http::http_settings make_operator_settings()
{
    http::http_settings out;
    out.name = "operator";
    out.max_connections = max_operator_connections;
    return out;
}

ticket_log_settings make_ticket_log_settings(const config::settings& settings)
{
    ticket_log_settings out;
    out.writer = settings.name + '-' + common::random_id();
    out.max_record_bytes = settings.store.max_record_bytes;
    out.retention = settings.store.retention;
    return out;
}

/// Owns the HTTP servers of callers and operators, their request handlers and
/// the ticket log. Not thread-safe: all calls are made on the thread of the
/// core's io_context.
class api_edge
{
public:
    api_edge(entry::entry_core& core, std::function<void()> on_targets_known,
             const std::function<bool()>& is_ready)
        : core_(core), on_targets_known_(std::move(on_targets_known)),
          ticket_log_(core.context(), core.store(),
                      make_ticket_log_settings(core.settings()),
                      [this](const ticket_log::snapshot& config)
                      { apply_fleet_config(config); }),
          callers_(core, is_ready),
          operators_(core, ticket_log_, is_ready,
                     [this] { return callers_.in_progress(); }),
          front_server_(core.context(), make_front_settings(core.settings()),
                        [this](const http::http_exchange_ptr& exchange)
                        { callers_.handle(exchange); }),
          operator_server_(core.context(), make_operator_settings(),
                           [this](const http::http_exchange_ptr& exchange)
                           { operators_.handle(exchange); })
    {
    }

    std::error_code start()
    {
        const auto& settings = core_.settings();
        front_server_.use_budget(core_.caller_budget());
        auto ec = front_server_.listen({settings.address, settings.front.port});
        if (!ec)
            ec = operator_server_.listen(
                {settings.address, settings.operators.port});
        if (!ec)
            ticket_log_.start();
        return ec;
    }

    static void handle_configuration(const fleet::configuration_ptr&)
    {
        // `apply_fleet_config` has passed the configuration to the request
        // handlers already.
    }

    void drain()
    {
        callers_.drain();
        front_server_.drain();
    }

    void close()
    {
        front_server_.stop_accepting();
        front_server_.close_idle();
        operator_server_.stop_accepting();
    }

    std::size_t in_progress() const
    {
        return callers_.in_progress() + front_server_.requests_in_progress();
    }

    std::string export_state() const
    {
        return ticket_log_.export_state().SerializeAsString();
    }

    void import_state(std::string_view bytes)
    {
        proto::ConfigSnapshot state;
        if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            return common::log_warning("state_unreadable",
                                       {{"bytes", bytes.size()}});
        ticket_log_.import_state(state);
    }

private:
    /// Announces the targets of a fleet configuration to the directory, removes
    /// those that it doesn't contain, and puts its routes into effect.
    void apply_fleet_config(const ticket_log::snapshot& config)
    {
        std::set<std::string> names;
        for (const auto& it : config->targets())
        {
            names.insert(it.name());
            core_.directory().announce(
                it.name(), make_announcement(it, config->version()));
        }
        core_.directory().retain([&names](const std::string& name)
                                 { return names.contains(name); },
                                 common::clock::now());
        callers_.set_fleet(config);
        core_.apply(make_configuration(*config, core_.settings()));
        on_targets_known_();
    }

    entry::entry_core& core_;
    std::function<void()> on_targets_known_;
    ticket_log ticket_log_;
    caller_api callers_;
    operator_api operators_;
    http::http_server front_server_;
    http::http_server operator_server_;
};

} // namespace

entry::edge make_api_edge(entry::entry_core& core,
                          std::function<void()> on_targets_known,
                          std::function<bool()> is_ready)
{
    return entry::make_edge(std::make_shared<api_edge>(
        core, std::move(on_targets_known), is_ready));
}

batch::failure_kind classify_failure(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned first_server_error = 500;
    if (status == request_timeout || status == too_many_requests)
        return batch::failure_kind::transient;
    return status < first_server_error ? batch::failure_kind::permanent
                                       : batch::failure_kind::counted;
}

} // namespace tanagertrack::api
