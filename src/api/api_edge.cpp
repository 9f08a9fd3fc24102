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

http::http_settings front_settings(const config::settings& it)
{
    http::http_settings settings;
    settings.name = "front";
    settings.max_connections = it.front.max_connections;
    settings.max_header_bytes = it.front.max_header_bytes;
    settings.read_timeout = it.front.read_timeout;
    settings.write_timeout = it.front.write_timeout;
    return settings;
}

http::http_settings operator_settings()
{
    http::http_settings settings;
    settings.name = "operator";
    settings.max_connections = max_operator_connections;
    return settings;
}

ticket_log_settings log_settings(const config::settings& it)
{
    ticket_log_settings settings;
    settings.writer = it.name + '-' + common::random_id();
    settings.max_record_bytes = it.store.max_record_bytes;
    settings.retention = it.store.retention;
    return settings;
}

/// The parts of the edge.
class api_edge
{
public:
    api_edge(entry::entry_core& core, std::function<void()> targets_known,
             const std::function<bool()>& is_ready)
        : core_(core), targets_known_(std::move(targets_known)),
          tickets_(core.context(), core.store(), log_settings(core.settings()),
                   [this](const ticket_log::snapshot& it) { apply(it); }),
          callers_(core, is_ready),
          operators_(core, tickets_, is_ready,
                     [this] { return callers_.in_progress(); }),
          front_server_(core.context(), front_settings(core.settings()),
                        [this](const http::http_exchange_ptr& it)
                        { callers_.handle(it); }),
          operator_server_(core.context(), operator_settings(),
                           [this](const http::http_exchange_ptr& it)
                           { operators_.handle(it); })
    {
    }

    std::error_code start()
    {
        const auto& at = core_.settings();
        auto ec = front_server_.listen({at.address, at.front.port});
        if (!ec)
            ec = operator_server_.listen({at.address, at.operators.port});
        if (!ec)
            tickets_.start();
        return ec;
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
        return callers_.in_progress() + front_server_.serving();
    }

    std::string export_state() const
    {
        return tickets_.export_state().SerializeAsString();
    }

    void import_state(std::string_view bytes)
    {
        proto::ConfigSnapshot state;
        if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            return common::log_warning("state_unreadable",
                                       {{"bytes", bytes.size()}});
        tickets_.import_state(state);
    }

private:
    void apply(const ticket_log::snapshot& fleet)
    {
        std::set<std::string> existing;
        for (const auto& it : fleet->targets())
        {
            existing.insert(it.name());
            core_.directory().announce(it.name(),
                                       make_announcement(it, fleet->version()));
        }
        core_.directory().retain([&existing](const std::string& it)
                                 { return existing.contains(it); },
                                 common::clock::now());
        callers_.set_fleet(fleet);
        core_.apply(make_configuration(*fleet, core_.settings()));
        targets_known_();
    }

    entry::entry_core& core_;
    std::function<void()> targets_known_;
    ticket_log tickets_;
    caller_api callers_;
    operator_api operators_;
    http::http_server front_server_;
    http::http_server operator_server_;
};

} // namespace

entry::edge make_api_edge(entry::entry_core& core,
                          std::function<void()> targets_known,
                          std::function<bool()> is_ready)
{
    const auto it =
        std::make_shared<api_edge>(core, std::move(targets_known), is_ready);
    entry::edge edge;
    edge.start = [it]
    {
        return it->start();
    };
    edge.handle_configuration = [](const fleet::configuration_ptr&) {
    };
    edge.drain = [it]
    {
        it->drain();
    };
    edge.close = [it]
    {
        it->close();
    };
    edge.in_progress = [it]
    {
        return it->in_progress();
    };
    edge.export_state = [it]
    {
        return it->export_state();
    };
    edge.import_state = [it](std::string_view bytes)
    {
        it->import_state(bytes);
    };
    return edge;
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
