#ifndef TANAGERTRACK_TEST_API_API_PROCESS_HPP
#define TANAGERTRACK_TEST_API_API_PROCESS_HPP

#include "api/api_edge.hpp"
#include "common/metrics.hpp"
#include "entry/entry_core.hpp"
#include "support/async_client.hpp"
#include "support/fake_store.hpp"
#include "support/test_protocol.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

namespace tanagertrack::test
{

/// An entry with the product's own interface.
struct api_process
{
    /// `jobs_interval` is the minimum time between two reads of the log of
    /// jobs, besides those that a call needs.
    api_process(boost::asio::io_context& shared, fake_store& store,
                const std::string& name,
                std::chrono::milliseconds jobs_interval)
        : context(shared)
    {
        settings.name = name;
        settings.address = "127.0.0.1";
        settings.data_centre = "a";
        settings.peer.port = free_port();
        settings.front.port = free_port();
        settings.operators.port = free_port();
        settings.operators.key = "operator";
        settings.store.jobs_interval = jobs_interval;
        core = std::make_unique<entry::entry_core>(
            context, settings, metrics,
            entry::core_parts{store.service(), make_test_protocol(),
                              api::classify_failure});
        edge = api::make_api_edge(
            *core, [] {}, [] { return true; });
        BOOST_REQUIRE(!edge.start());
        core->start();
    }

    std::string post(std::uint16_t port, const std::string& path,
                     const std::string& fields, const std::string& body)
    {
        async_client client(context, port);
        return client.send_and_wait(
            "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + fields +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body,
            "\r\n\r\n{");
    }

    /// Applies a ticket with this number. `body` is YAML.
    void apply_ticket(unsigned number, const std::string& body)
    {
        const auto answer =
            post(settings.operators.port, "/operator/tickets",
                 "Authorization: Bearer operator\r\n"
                 "Content-Type: application/yaml\r\n",
                 "ticket: " + std::to_string(number) + "\n" + body);
        BOOST_REQUIRE_MESSAGE(answer.starts_with("HTTP/1.1 200 "), answer);
    }

    /// Submits a job of one item for the model "m" and returns the response.
    std::string submit(const std::string& key)
    {
        return post(settings.front.port, "/v1/batches",
                    "Authorization: Bearer team-key\r\n"
                    "Idempotency-Key: " +
                        key + "\r\n",
                    R"({"custom_id":"i1","method":"POST",)"
                    R"("url":"/v1/chat/completions",)"
                    R"("body":{"model":"m","messages":[]}})");
    }

    /// Returns true if the configuration with this version is in effect.
    bool has_version(std::uint64_t version) const
    {
        const auto& it = core->configuration();
        return it && it->version() == version;
    }

    boost::asio::io_context& context;
    config::settings settings;
    common::metrics_registry metrics{1000};
    std::unique_ptr<entry::entry_core> core;
    entry::edge edge;
};

} // namespace tanagertrack::test

#endif
