#include "transport_cost.hpp"

#include "bench_support.hpp"
#include "common/clock.hpp"
#include "common/duty_thread.hpp"
#include "transport/client_connection.hpp"
#include "transport/server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <memory>

namespace tanagertrack::bench
{

namespace
{

using common::clock;

double ms_since(common::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock::now() - start)
        .count();
}

/// Server on a thread of its own, client on the caller's thread.
class transport_run
{
public:
    transport_run(std::uint16_t port, std::size_t messages, std::size_t bytes)
        : messages_(messages), payload_(bytes, 'm'), thread_("server", 1024)
    {
        settings_.cluster_key = "key";
        server_ = std::make_unique<transport::server>(
            thread_.context(), settings_,
            [](const transport::message_stream_ptr& stream) { serve(stream); });
        failed_ = static_cast<bool>(server_->listen({"127.0.0.1", port}));
        thread_.start();
        client_ =
            std::make_unique<transport::client_connection>(context_, settings_);
        client_->start({"127.0.0.1", port}, {[this] { up_ = true; }, {}, {}});
        while (!up_ && !failed_)
            context_.run_one();
    }

    ~transport_run()
    {
        thread_.stop();
    }

    bool failed() const
    {
        return failed_;
    }

    /// One message at a time, each answered.
    void round_trips()
    {
        sample_set times;
        common::time_point sent;
        transport::message_stream_ptr stream;
        transport::stream_hooks hooks;
        hooks.on_message = [&](std::string_view)
        {
            times.add(ms_since(sent));
            if (times.count() < messages_)
            {
                sent = clock::now();
                stream->send(std::string_view(payload_));
            }
        };
        stream = client_->open("/echo", std::move(hooks));
        sent = clock::now();
        stream->send(std::string_view(payload_));
        while (times.count() < messages_)
            context_.run_one();
        std::printf("transport_cost round_trips=%zu bytes=%zu p50_ms=%.4f "
                    "p99_ms=%.4f\n",
                    times.count(), payload_.size(), times.quantile(0.5),
                    times.quantile(0.99));
    }

    /// Messages in one direction; the server answers after the last.
    void one_way()
    {
        bool done = false;
        bool room = true;
        transport::stream_hooks hooks;
        hooks.on_writable = [&]
        {
            room = true;
        };
        hooks.on_closed = [&](std::error_code)
        {
            done = true;
        };
        const auto start = clock::now();
        const auto stream = client_->open("/sink", std::move(hooks));
        std::size_t sent = 0;
        while (!done)
        {
            while (room && sent < messages_)
            {
                room = stream->send(std::string_view(payload_));
                if (++sent == messages_)
                    stream->finish();
            }
            context_.run_one();
        }
        const double seconds = ms_since(start) / 1000;
        std::printf("transport_cost one_way=%zu bytes=%zu messages_per_s=%.0f "
                    "mb_per_s=%.1f\n",
                    sent, payload_.size(), static_cast<double>(sent) / seconds,
                    static_cast<double>(sent * payload_.size()) / seconds /
                        1e6);
    }

private:
    static void serve(const transport::message_stream_ptr& stream)
    {
        auto* const raw = stream.get();
        transport::stream_hooks hooks;
        if (stream->path() == "/echo")
            hooks.on_message = [raw](std::string_view it)
            {
                raw->send(it);
            };
        hooks.on_peer_finished = [raw]
        {
            raw->finish();
        };
        stream->set_hooks(std::move(hooks));
    }

    const std::size_t messages_;
    const std::string payload_;
    transport::transport_settings settings_;
    common::duty_thread thread_;
    boost::asio::io_context context_{1};
    std::unique_ptr<transport::server> server_;
    std::unique_ptr<transport::client_connection> client_;
    bool up_ = false;
    bool failed_ = false;
};

} // namespace

int run_transport_cost(std::span<const std::string> arguments)
{
    const auto port = number_option(arguments, "--port", 21399);
    const auto messages = number_option(arguments, "--messages", 100000);
    const auto bytes = number_option(arguments, "--bytes", 200);
    transport_run run(static_cast<std::uint16_t>(port),
                      static_cast<std::size_t>(messages),
                      static_cast<std::size_t>(bytes));
    if (run.failed())
    {
        std::fprintf(stderr, "transport_cost: can't listen\n");
        return 1;
    }
    run.round_trips();
    run.one_way();
    return 0;
}

} // namespace tanagertrack::bench
