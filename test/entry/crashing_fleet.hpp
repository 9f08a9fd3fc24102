#ifndef TANAGERTRACK_TEST_ENTRY_CRASHING_FLEET_HPP
#define TANAGERTRACK_TEST_ENTRY_CRASHING_FLEET_HPP

#include "common/metrics.hpp"
#include "config/settings.hpp"
#include "entry/entry_core.hpp"
#include "online/request.hpp"
#include "support/event_loop.hpp"
#include "support/fake_store.hpp"
#include "support/scripted_server.hpp"
#include "support/test_protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <cstddef>
#include <iterator>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagertrack::test
{

/// An engine that crashes when it starts to answer a request whose path begins
/// with "/deadly": the caller gets the head of a response, then all connections
/// end and further ones are refused. Other requests get a stream of two events.
class crashing_engine
{
public:
    /// `answers_begin` is false for an engine that crashes before it sends the
    /// head.
    crashing_engine(boost::asio::io_context& context, std::string id,
                    bool answers_begin)
        : id_(std::move(id)), server_(context)
    {
        server_.make_answer =
            [this, &context, answers_begin](const std::string& request)
        {
            const auto head =
                chunked_head(200, answers_to(field_of(request, "Id")) +
                                      (is_leaving_ ? "Leaving: 1\r\n" : ""));
            if (!request.starts_with("POST /deadly"))
                return scripted_answer{
                    head + chunk(event(1, "a") + event(2, "b")) + chunk("")};
            crashed_ = true;
            boost::asio::post(context, [this] { server_.stop(); });
            return scripted_answer{answers_begin ? head : std::string(), true};
        };
    }

    const std::string& id() const
    {
        return id_;
    }

    bool crashed() const
    {
        return crashed_;
    }

    /// Makes the engine say in each answer that it is leaving.
    void set_leaving()
    {
        is_leaving_ = true;
    }

    scripted_server& server()
    {
        return server_;
    }

private:
    std::string id_;
    scripted_server server_;
    bool crashed_ = false;
    bool is_leaving_ = false;
};

/// An entry without its edge.
class fleet_entry
{
public:
    fleet_entry(boost::asio::io_context& context, fake_store& store,
                const std::string& name)
        : settings_(make_settings(context, name)),
          core(context, settings_, metrics_,
               {store.service(), make_test_protocol(),
                [](unsigned) { return batch::failure_kind::transient; },
                "keyed.quarantine"})
    {
        core.start();
    }

private:
    static config::settings make_settings(boost::asio::io_context& context,
                                          const std::string& name)
    {
        using boost::asio::ip::udp;
        const udp::socket port(context,
                               {boost::asio::ip::make_address("127.0.0.1"), 0});
        config::settings settings;
        settings.name = name;
        settings.address = "127.0.0.1";
        settings.data_centre = "d";
        settings.peer.port = port.local_endpoint().port();
        settings.store.jobs_interval = std::chrono::milliseconds(0);
        return settings;
    }

    config::settings settings_;
    common::metrics_registry metrics_;

public:
    entry::entry_core core;
};

/// What the caller of an online request got.
struct caller_answer
{
    std::optional<http::rejection> refused;
    std::string body;
    bool complete = false;
    bool aborted = false;

    bool ended() const
    {
        return refused || complete || aborted;
    }
};

/// Several entries that share a store, and engines that crash on some requests.
/// A crashed engine departs and is replaced by another one. Everything runs on
/// one thread.
class crashing_fleet
{
public:
    crashing_fleet(std::size_t entry_count, std::size_t engine_count,
                   bool answers_begin = true)
        : answers_begin_(answers_begin)
    {
        route_.name = "r";
        route_.kind = fleet::route_kind::stream;
        route_.repeats = fleet::repetition::resumable;
        route_.services = {{"s", 1}};
        route_.max_attempts = 2;
        for (std::size_t n = 0; n < engine_count; ++n)
            add_engine();
        for (std::size_t n = 0; n < entry_count; ++n)
            add_entry();
    }

    /// Starts entries and engines anew, with what the store of another fleet
    /// holds.
    explicit crashing_fleet(crashing_fleet& lost)
        : answers_begin_(lost.answers_begin_), route_(lost.route_)
    {
        store_.model = lost.store_.model;
        for (std::size_t n = 0; n < lost.engines_.size(); ++n)
            add_engine();
        for (std::size_t n = 0; n < lost.entries_.size(); ++n)
            add_entry();
    }

    ~crashing_fleet()
    {
        for (auto& it : engines_)
            it.server().stop();
        run_ready(context_);
    }

    crashing_fleet(const crashing_fleet&) = delete;
    crashing_fleet& operator=(const crashing_fleet&) = delete;

    /// Adds an entry that knows all engines, and waits until it knows the other
    /// entries and they know it. Returns its index.
    std::size_t add_entry()
    {
        entries_.push_back(std::make_unique<fleet_entry>(
            context_, store_, "entry" + std::to_string(entries_started_++)));
        for (auto& it : engines_)
        {
            if (!it.crashed())
                announce(*entries_.back(), it);
        }
        run_until(context_, [this] { return entries_know_each_other(); });
        return entries_.size() - 1;
    }

    /// Sends a request to an entry and waits for its end. `prompt` lists the
    /// ids of the parts.
    caller_answer send(std::size_t entry, const std::string& path,
                       const std::string& prompt)
    {
        caller_answer answer;
        online::call call;
        call.id = "q" + std::to_string(requests_sent_++);
        call.method = "POST";
        call.target = path;
        call.host = "h";
        call.prompt = make_prompt(prompt);
        call.configuration = std::make_shared<fleet::configuration>(
            1, std::vector{route_}, std::vector<fleet::service>(),
            fleet::request_limits());
        call.route = &call.configuration->routes().front();
        call.repeats = route_.repeats;
        call.received = common::clock::now();
        call.deadline = call.received + std::chrono::seconds(10);
        const online::request_ptr request(
            new online::request(entries_[entry]->core.online(), std::move(call),
                                hooks_for(answer)));
        request->start();
        run_until(context_, [&answer] { return answer.ended(); });
        replace_crashed_engines();
        return answer;
    }

    /// Makes an engine, numbered from 0, say that it is leaving.
    void set_leaving(std::size_t engine)
    {
        engine_at(engine).set_leaving();
    }

    /// Number of requests that an engine has received.
    std::size_t requests_of(std::size_t engine)
    {
        return engine_at(engine).server().requests.size();
    }

    /// Announces an engine once more, as ready, to all entries.
    void announce_again(std::size_t engine)
    {
        auto& it = engine_at(engine);
        auto announcement = make_announcement(it.server().address(), "s", 8);
        announcement.sequence = 2;
        for (const auto& entry : entries_)
            entry->core.directory().announce(it.id(), announcement);
    }

    /// Number of engines that have crashed.
    std::size_t crashes() const
    {
        return crashes_;
    }

    std::size_t entry_count() const
    {
        return entries_.size();
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    entry::entry_core& core(std::size_t entry)
    {
        return entries_[entry]->core;
    }

    fake_store& store()
    {
        return store_;
    }

private:
    static online::answer_hooks hooks_for(caller_answer& answer)
    {
        online::answer_hooks hooks;
        hooks.refuse = [&answer](const http::rejection& it)
        {
            answer.refused = it;
        };
        hooks.respond = [&answer](const http::answer_head&, std::string body)
        {
            answer.body = std::move(body);
            answer.complete = true;
        };
        hooks.start = [](const http::answer_head&) {
        };
        hooks.write = [&answer](const std::string& piece, const auto& written)
        {
            answer.body += piece;
            written({});
        };
        hooks.finish = [&answer]
        {
            answer.complete = true;
        };
        hooks.abort = [&answer]
        {
            answer.aborted = true;
        };
        return hooks;
    }

    bool entries_know_each_other() const
    {
        for (const auto& it : entries_)
        {
            std::size_t members = 0;
            it->core.jobs().table().for_each_member([&members](const auto&)
                                                    { ++members; });
            if (members < entries_.size())
                return false;
        }
        return true;
    }

    void add_engine()
    {
        engines_.emplace_back(
            context_, "e" + std::to_string(engines_started_++), answers_begin_);
        for (const auto& it : entries_)
            announce(*it, engines_.back());
    }

    crashing_engine& engine_at(std::size_t index)
    {
        return *std::next(engines_.begin(), static_cast<std::ptrdiff_t>(index));
    }

    static void announce(fleet_entry& entry, crashing_engine& engine)
    {
        entry.core.directory().announce(
            engine.id(), make_announcement(engine.server().address(), "s", 8));
    }

    void replace_crashed_engines()
    {
        run_ready(context_);
        for (auto it = engines_.begin(); it != engines_.end();)
        {
            if (!it->crashed())
            {
                ++it;
                continue;
            }
            ++crashes_;
            for (const auto& entry : entries_)
                entry->core.directory().remove(it->id(), common::clock::now());
            crashed_engines_.splice(crashed_engines_.end(), engines_, it++);
            add_engine();
        }
    }

    const bool answers_begin_;
    boost::asio::io_context context_;
    fake_store store_{context_};
    fleet::route route_;
    std::list<crashing_engine> engines_;
    std::list<crashing_engine> crashed_engines_;
    std::vector<std::unique_ptr<fleet_entry>> entries_;
    std::size_t engines_started_ = 0;
    std::size_t entries_started_ = 0;
    std::size_t requests_sent_ = 0;
    std::size_t crashes_ = 0;
};

} // namespace tanagertrack::test

#endif
