#ifndef TANAGERTRACK_TEST_ENTRY_ENTRY_FIXTURE_HPP
#define TANAGERTRACK_TEST_ENTRY_ENTRY_FIXTURE_HPP

#include "common/clock.hpp"
#include "common/duty_thread.hpp"
#include "common/logging.hpp"
#include "entry/entry_process.hpp"
#include "http/http_server.hpp"
#include "proto/peer.pb.h"
#include "support/raw_client.hpp"
#include "transport/server.hpp"

#include <boost/endian/conversion.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace tanagertrack::test
{

/// A port that was free a moment ago, below those that the system gives to
/// outgoing connections.
inline std::uint16_t free_port()
{
    using boost::asio::ip::tcp;
    static unsigned next = 20000 + static_cast<unsigned>(getpid()) % 8000;
    for (;;)
    {
        const tcp::endpoint at(boost::asio::ip::address_v4::loopback(),
                               static_cast<std::uint16_t>(++next));
        boost::asio::io_context context;
        tcp::acceptor probe(context, at.protocol());
        boost::system::error_code ec;
        probe.bind(at, ec);
        if (!ec)
            return at.port();
    }
}

/// Waits until `condition` holds; fails the test after 20 s.
inline void wait_for(const std::function<bool()>& condition)
{
    const auto end = common::clock::now() + std::chrono::seconds(20);
    while (!condition())
    {
        BOOST_REQUIRE(common::clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

/// The log service over HTTP, in memory.
class memory_log
{
public:
    memory_log()
        : server_(thread_.context(), {}, [this](const auto& it) { serve(it); })
    {
        BOOST_REQUIRE(!server_.listen({"127.0.0.1", 0}));
        thread_.start();
    }

    ~memory_log()
    {
        thread_.stop();
    }

    std::uint16_t port() const
    {
        return server_.port();
    }

private:
    void serve(const http::http_exchange_ptr& it)
    {
        http::read_whole_body(
            it, 1 << 20,
            [this, it](std::error_code, std::string body)
            {
                auto& stream = streams_[std::string(it->head().path())];
                if (it->head().method == "POST")
                {
                    stream.push_back(std::move(body));
                    return it->respond(
                        {},
                        "{\"offset\":" + std::to_string(stream.size()) + "}");
                }
                read(it, stream);
            });
    }

    static void read(const http::http_exchange_ptr& it,
                     const std::vector<std::string>& stream)
    {
        const auto& target = it->head().target;
        const auto from = std::stoul(target.substr(target.find("from=") + 5));
        std::string out;
        for (auto n = from; n <= stream.size(); ++n)
        {
            unsigned char head[12];
            const auto& data = stream[n - 1];
            boost::endian::store_big_u64(head, n);
            boost::endian::store_big_u32(
                head + 8, static_cast<std::uint32_t>(data.size()));
            out.append(reinterpret_cast<char*>(head), sizeof(head));
            out += data;
        }
        // Without news the answer waits a little, as the log does.
        if (out.empty())
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        http::answer_head head;
        head.content_type = "application/octet-stream";
        it->respond(std::move(head), std::move(out));
    }

    common::duty_thread thread_{"log", 64};
    std::map<std::string, std::vector<std::string>> streams_;
    http::http_server server_;
};

/// The host list with the one loopback host.
class scripted_hosts
{
public:
    scripted_hosts()
        : server_(thread_.context(), {}, [this](const auto& it) { serve(it); })
    {
        BOOST_REQUIRE(!server_.listen({"127.0.0.1", 0}));
        thread_.start();
    }

    ~scripted_hosts()
    {
        thread_.stop();
    }

    std::uint16_t port() const
    {
        return server_.port();
    }

    std::atomic<bool> leaving{false};

private:
    void serve(const http::http_exchange_ptr& it)
    {
        it->respond({}, std::string(R"([{"host":"127.0.0.1","state":")") +
                            (leaving ? "leaving" : "live") + "\"}]");
    }

    common::duty_thread thread_{"hosts", 64};
    http::http_server server_;
};

using work_stream = transport::message_stream_ptr;

/// An agent whose answers to work are scripted.
class scripted_agent
{
public:
    using script =
        std::function<void(const work_stream&, const proto::WorkRequest&)>;

    scripted_agent(std::string name, script answer)
        : name(std::move(name)), answer_(std::move(answer)),
          server_(thread_.context(), options(),
                  [this](const work_stream& it) { serve(it); })
    {
        BOOST_REQUIRE(!server_.listen({"127.0.0.1", port}));
        thread_.start();
    }

    ~scripted_agent()
    {
        thread_.stop();
    }

    static transport::transport_settings options()
    {
        transport::transport_settings out;
        out.cluster_key = "secret";
        return out;
    }

    /// Runs `work` on the agent's thread.
    void run(std::function<void()> work)
    {
        thread_.post_completion(std::move(work));
    }

    const std::string name;
    const std::uint16_t port = free_port();
    std::atomic<int> attempts{0};
    std::atomic<int> cancelled{0};

private:
    void serve(const work_stream& it)
    {
        transport::stream_hooks hooks;
        if (it->path() == "/status")
        {
            it->set_hooks(std::move(hooks));
            proto::AgentStatus status;
            status.set_target(name);
            status.set_slots(8);
            it->send(status);
            return;
        }
        hooks.on_message = [this, stream = it.get()](std::string_view data)
        {
            proto::WorkRequest request;
            request.ParseFromArray(data.data(), static_cast<int>(data.size()));
            ++attempts;
            answer_(stream, request);
        };
        hooks.on_closed = [this](std::error_code ec)
        {
            cancelled += ec ? 1 : 0;
        };
        it->set_hooks(std::move(hooks));
    }

    script answer_;
    common::duty_thread thread_{"agent", 64};
    transport::server server_;
};

inline void send_accepted(const work_stream& to)
{
    proto::WorkEvent event;
    event.mutable_accepted();
    to->send(event);
}

inline void send_text(const work_stream& to, const std::string& text)
{
    proto::WorkEvent event;
    event.mutable_text()->set_data('"' + text + '"');
    event.mutable_text()->set_text(text);
    to->send(event);
}

inline void send_finished(const work_stream& to, const std::string& body)
{
    proto::WorkEvent event;
    event.mutable_finished()->set_http_status(200);
    event.mutable_finished()->set_body(body);
    to->send(event);
    to->finish();
}

inline void send_refused(const work_stream& to)
{
    proto::WorkEvent event;
    event.mutable_refused()->set_code(
        static_cast<unsigned>(common::result_code::overloaded));
    to->send(event);
    to->finish();
}

/// An entry with its own log and the given agents.
class entry_fixture
{
public:
    entry_fixture()
    {
        settings.role = "entry";
        settings.name = "entry-1";
        settings.address = "127.0.0.1";
        settings.data_centre = "erice";
        settings.region = "sicilia-ovest";
        settings.cluster_key = "secret";
        settings.platform.log = {"127.0.0.1", log->port()};
        settings.platform.log_read_wait = std::chrono::milliseconds(10);
        settings.front.port = free_port();
        settings.front.max_body_bytes = 4096;
        settings.operators = {free_port(), "opkey"};
        settings.peer.port = free_port();
        settings.stop.grace = std::chrono::seconds(20);
    }

    ~entry_fixture()
    {
        entry.reset();
    }

    scripted_agent& add_agent(const std::string& name,
                              scripted_agent::script answer)
    {
        agents.push_back(
            std::make_unique<scripted_agent>(name, std::move(answer)));
        return *agents.back();
    }

    /// Starts the entry, hands in the configuration, and waits until all
    /// agents are connected.
    void start()
    {
        entry = std::make_unique<entry::entry_process>(settings);
        BOOST_REQUIRE(!entry->start());
        const auto answer = submit(ticket(1, "active"));
        BOOST_REQUIRE(answer.find("\"accepted\"") != std::string::npos);
        wait_for(
            [this]
            {
                return metric("tanagertrack_targets_connected ") ==
                       std::to_string(agents.size());
            });
    }

    std::string ticket(int number, const std::string& state) const
    {
        std::string out = "ticket: " + std::to_string(number) +
                          "\nmodels: [{name: scribi}]\n"
                          "services: [{name: carico, not_repeatable: "
                          "['POST /manifest']}]\n"
                          "teams: [{name: cucina, key: teamkey, "
                          "requests_per_second: 0.01, burst: 100, "
                          "max_jobs: 5}]\n";
        if (!agents.empty())
            out += "targets:\n";
        for (const auto& it : agents)
            out += "  - {name: " + it->name +
                   ", address: 127.0.0.1, agent_port: " +
                   std::to_string(it->port) +
                   ", data_centre: erice, region: sicilia-ovest, kind: "
                   "engine, models: [scribi], slots: 8, state: " +
                   state + "}\n";
        return out;
    }

    std::string submit(const std::string& document) const
    {
        raw_client client(settings.operators.port);
        client.send("POST /operator/tickets HTTP/1.1\r\nAuthorization: "
                    "Bearer opkey\r\nContent-Length: " +
                    std::to_string(document.size()) + "\r\n\r\n" + document);
        return client.read_answer();
    }

    static std::string request(const std::string& method,
                               const std::string& target,
                               const std::string& body,
                               const std::string& fields = {},
                               const std::string& version = "1.1")
    {
        return method + ' ' + target + " HTTP/" + version +
               "\r\nAuthorization: Bearer teamkey\r\n" + fields +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    static std::string chat(bool stream)
    {
        return R"({"model":"scribi","stream":)" +
               std::string(stream ? "true" : "false") +
               R"(,"messages":[{"role":"user","content":"x"}]})";
    }

    std::string call(const std::string& data) const
    {
        raw_client client(settings.front.port);
        client.send(data);
        return client.read_answer();
    }

    std::string call_chat() const
    {
        return call(request("POST", "/v1/chat/completions", chat(false)));
    }

    /// Body of a streamed answer, read with HTTP/1.0: without chunk marks.
    std::string stream_chat() const
    {
        raw_client client(settings.front.port);
        client.send(
            request("POST", "/v1/chat/completions", chat(true), {}, "1.0"));
        const auto answer = client.read_all();
        return answer.substr(answer.find("\r\n\r\n") + 4);
    }

    std::string metric(const std::string& name) const
    {
        const auto text = call("GET /metrics HTTP/1.1\r\n\r\n");
        const auto at = text.find('\n' + name);
        if (at == std::string::npos)
            return {};
        const auto start = at + 1 + name.size();
        return text.substr(start, text.find('\n', start) - start);
    }

    std::unique_ptr<memory_log> log = std::make_unique<memory_log>();
    std::vector<std::unique_ptr<scripted_agent>> agents;
    config::settings settings;
    std::unique_ptr<entry::entry_process> entry;
};

inline bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace tanagertrack::test

#endif
