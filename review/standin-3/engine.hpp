#ifndef REVIEW_STANDIN_3_ENGINE_HPP
#define REVIEW_STANDIN_3_ENGINE_HPP

// Stand-in of a sound engine (PROTOCOL.md, "Engines"): `slots` requests at a
// time and a queue of 24, numbered events, resumption after Last-Event-Id, and
// the end of the work when the connection closes.

#include "net.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

/// A request that an engine began to work on.
struct engine_run
{
    std::string id;
    steady::time_point started;

    /// The default while the engine is at work on the request.
    steady::time_point ended;
    bool complete = false;
};

class engine
{
public:
    struct settings
    {
        std::string id;
        unsigned slots = 8;
        unsigned max_waiting = 24;

        /// Time of an event of a stream.
        milliseconds step{20};

        /// Maximum number of events of a stream.
        unsigned max_events = 243;

        /// Time that a request without events takes.
        milliseconds call_time{60};
    };

    explicit engine(settings values)
        : settings_(std::move(values)), port_(free_port()),
          server_(port_, [this](int fd, request& it) { return handle(fd, it); })
    {
    }

    std::uint16_t port() const
    {
        return port_;
    }

    const std::string& id() const
    {
        return settings_.id;
    }

    std::vector<engine_run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    std::string announcement(const std::string& service) const
    {
        return R"({"service":")" + service + R"(","address":"127.0.0.1:)" +
               std::to_string(port_) +
               R"(","zone":"poa-a","version":1,"slots":)" +
               std::to_string(settings_.slots) +
               R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":1})";
    }

    /// Data of an event.
    static std::string event_data(const std::string& id, unsigned event)
    {
        return "t" + std::to_string(event) + "-" + id;
    }

private:
    std::string fields(const request& it)
    {
        return "X-Tanagertrack-Request-Id: " +
               it.header("X-Tanagertrack-Request-Id") +
               "\r\nX-Tanagertrack-Server-Load: " + std::to_string(active_) +
               ',' + std::to_string(waiting_) + ',' +
               std::to_string(settings_.slots) + ",100\r\n";
    }

    bool refuse(int fd, const request& it, int status)
    {
        std::string text;
        {
            const std::lock_guard lock(mutex_);
            text = fields(it);
        }
        return respond(fd, status, "",
                       text + "X-Tanagertrack-Not-Executed: 1\r\n");
    }

    bool handle(int fd, request& it)
    {
        if (it.path == "/health")
            return respond(fd, 200, "",
                           "X-Tanagertrack-Instance-Id: " + settings_.id +
                               "\r\n");
        const auto id = it.header("X-Tanagertrack-Request-Id");
        const auto expected = it.header("X-Tanagertrack-Expect-Instance");
        if (id.empty())
            return refuse(fd, it, 400);
        if (!expected.empty() && expected != settings_.id)
            return refuse(fd, it, 421);
        if (!wait_for_slot(fd))
            return refuse(fd, it, 503);
        std::size_t run = 0;
        std::string text;
        {
            const std::lock_guard lock(mutex_);
            run = runs_.size();
            runs_.push_back({id, steady::now(), {}, false});
            text = fields(it) + "X-Tanagertrack-Server-Stamp: " +
                   settings_.id + "." + std::to_string(run) + "\r\n";
        }
        const bool complete = it.header("X-Tanagertrack-Token-Usage").empty()
                                  ? answer_call(fd, text)
                                  : answer_stream(fd, it, id, text);
        const std::lock_guard lock(mutex_);
        runs_[run].complete = complete;
        runs_[run].ended = steady::now();
        --active_;
        changed_.notify_all();
        return complete;
    }

    bool wait_for_slot(int fd)
    {
        std::unique_lock lock(mutex_);
        if (active_ >= settings_.slots && waiting_ >= settings_.max_waiting)
            return false;
        ++waiting_;
        while (active_ >= settings_.slots)
        {
            changed_.wait_for(lock, milliseconds(50));
            if (is_closed_by_peer(fd))
                break;
        }
        --waiting_;
        if (active_ >= settings_.slots)
            return false;
        ++active_;
        return true;
    }

    bool answer_call(int fd, const std::string& text)
    {
        std::this_thread::sleep_for(settings_.call_time);
        return respond(fd, 200, std::string(800, 'b'), text);
    }

    bool answer_stream(int fd, const request& it, const std::string& id,
                       const std::string& text)
    {
        const auto usage = it.header("X-Tanagertrack-Token-Usage");
        const auto asked = std::strtoul(
            usage.c_str() + std::min(usage.find(',') + 1, usage.size()),
            nullptr, 10);
        const auto events =
            std::min<unsigned long>(asked, settings_.max_events);
        const auto after =
            std::strtoul(it.header("Last-Event-Id").c_str(), nullptr, 10);
        if (!send_all(fd, "HTTP/1.1 200 OK\r\n" + text +
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (auto n = after + 1; n <= events; ++n)
        {
            std::this_thread::sleep_for(settings_.step);
            if (is_closed_by_peer(fd))
                return false;
            const auto event =
                "id: " + std::to_string(n) +
                "\ndata: " + event_data(id, static_cast<unsigned>(n)) + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!send_all(fd, size + event + "\r\n"))
                return false;
        }
        return send_all(fd, "0\r\n\r\n");
    }

    settings settings_;
    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned active_ = 0;
    unsigned waiting_ = 0;
    std::vector<engine_run> runs_;
    std::uint16_t port_;
    server server_;
};

} // namespace review

#endif
