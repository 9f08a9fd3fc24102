#include "standin/tcp_proxy.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace tanagertrack::standin
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_bytes = 64 * 1024;

} // namespace

/// A client's connection and its connection to the upstream.
struct tcp_proxy::link
{
    link(tcp::socket from, const asio::any_io_executor& executor)
        : client(std::move(from)), server(executor)
    {
    }

    void close()
    {
        boost::system::error_code ec;
        client.close(ec);
        server.close(ec);
    }

    tcp::socket client;
    tcp::socket server;

    /// Whether a request was forwarded since the last answer data.
    bool asked = false;

    /// Whether the next answer data is dropped.
    bool drop_next = false;

    /// End of the data that passed in each direction, for patterns that come
    /// in two pieces.
    std::array<std::string, 2> tails;
};

tcp_proxy::tcp_proxy(const asio::any_io_executor& executor, endpoint listen_at,
                     endpoint upstream)
    : executor_(executor), listen_(std::move(listen_at)),
      upstream_(std::move(upstream)), acceptor_(executor), changed_(executor)
{
    faults().add("cut", cut_);
    faults().add("freeze", freeze_);
    faults().add("drop_answers", drop_answers_);
    faults().on_change([this] { fault_changed(); });
    listen();
}

tcp_proxy::~tcp_proxy() = default;

asio::awaitable<void> tcp_proxy::run()
{
    for (;;)
    {
        if (!acceptor_.is_open())
        {
            co_await changed_.wait();
            continue;
        }
        boost::system::error_code ec;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, ec));
        if (ec || links_.size() >= max_links)
            continue;
        ++connections_;
        auto it = std::make_shared<link>(std::move(socket), executor_);
        links_.insert(it);
        asio::co_spawn(executor_, connect(std::move(it)), asio::detached);
    }
}

asio::awaitable<void> tcp_proxy::handle(http_exchange& exchange)
{
    co_await exchange.respond(404, "{}");
}

json::object tcp_proxy::seen() const
{
    json::object out;
    out["connections"] = connections_;
    out["open"] = links_.size();
    out["cut"] = cut_count_;
    out["dropped_answers"] = dropped_answers_;
    out["triggered"] = triggered_;
    out["bytes_up"] = bytes_[up];
    out["bytes_down"] = bytes_[down];
    return out;
}

std::string tcp_proxy::apply_fault(std::string_view text)
{
    json::error_code ec;
    auto document = json::parse(text, ec);
    auto* fault = ec ? nullptr : document.if_object();
    const auto* at = fault == nullptr ? nullptr : fault->if_contains("at");
    if (at == nullptr)
        return faults().apply(text);
    if (!at->is_object())
        return "invalid value of at";
    const auto place = at->get_object();
    fault->erase("at");
    return add_trigger(place, json::serialize(*fault));
}

asio::awaitable<void> tcp_proxy::connect(link_ptr it)
{
    boost::system::error_code ec;
    co_await it->server.async_connect(
        upstream_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        it->close();
        links_.erase(it);
        co_return;
    }
    it->client.set_option(tcp::no_delay(true), ec);
    it->server.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(executor_, forward(it, up), asio::detached);
    asio::co_spawn(executor_, forward(it, down), asio::detached);
}

asio::awaitable<void> tcp_proxy::forward(link_ptr it, direction side)
{
    try
    {
        co_await pump(it, side);
    }
    catch (const boost::system::system_error&)
    {
        // One of the two sides closed its connection.
    }
    it->close();
    links_.erase(it);
}

asio::awaitable<void> tcp_proxy::pump(link_ptr it, direction side)
{
    auto& from = side == up ? it->client : it->server;
    auto& to = side == up ? it->server : it->client;
    std::vector<char> buf(buffer_bytes);
    for (;;)
    {
        const auto n = co_await from.async_read_some(asio::buffer(buf),
                                                     asio::use_awaitable);
        check_triggers(*it, side, {buf.data(), n});
        if (delay_ms() > 0)
            co_await pause(std::chrono::milliseconds(delay_ms()));
        while (freeze_ && from.is_open())
            co_await changed_.wait();
        if (side == up)
            it->asked = true;
        else if (it->drop_next || (it->asked && take_one(drop_answers_)))
        {
            ++dropped_answers_;
            co_return;
        }
        else
            it->asked = false;
        bytes_[side] += n;
        co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                   asio::use_awaitable);
    }
}

void tcp_proxy::listen()
{
    acceptor_.open(listen_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(listen_);
    acceptor_.listen();
}

void tcp_proxy::fault_changed()
{
    boost::system::error_code ec;
    if (refuses())
        acceptor_.close(ec);
    else if (!acceptor_.is_open())
        listen();
    if (matched_ != nullptr && drop_answers_ > 0)
    {
        matched_->drop_next = true;
        drop_answers_ = 0;
    }
    if (std::exchange(cut_, false))
    {
        ++cut_count_;
        for (const auto& it : links_)
            if (matched_ == nullptr || matched_ == it.get())
                it->close();
    }
    changed_.notify();
}

void tcp_proxy::check_triggers(link& it, direction side, std::string_view data)
{
    if (triggers_.empty())
        return;
    auto& tail = it.tails[side];
    const auto old = tail.size();
    const auto text = tail + std::string(data);
    std::vector<std::string> due;
    for (auto& row : triggers_)
    {
        if (row.side != side)
            continue;
        for (auto at = text.find(row.pattern); at != text.npos && row.count > 0;
             at = text.find(row.pattern, at + 1))
        {
            // Occurrences within the tail were counted before.
            if (at + row.pattern.size() > old && --row.count == 0)
                due.push_back(row.fault);
        }
    }
    tail =
        text.substr(text.size() - std::min(text.size(), max_pattern_bytes - 1));
    std::erase_if(triggers_, [](const auto& row) { return row.count == 0; });

    matched_ = &it;
    for (const auto& fault : due)
    {
        ++triggered_;
        faults().apply(fault);
    }
    matched_ = nullptr;
}

std::string tcp_proxy::add_trigger(const json::object& at, std::string fault)
{
    const auto* side = at.if_contains("direction");
    const auto* pattern = at.if_contains("pattern");
    const auto* count = at.if_contains("count");
    if (side == nullptr || (*side != "up" && *side != "down"))
        return "at.direction: expected up or down";
    if (pattern == nullptr || !pattern->is_string() ||
        pattern->get_string().empty() ||
        pattern->get_string().size() > max_pattern_bytes)
        return "at.pattern: expected a text of 1 to 256 bytes";
    if (count == nullptr || !count->is_int64() || count->get_int64() < 1)
        return "at.count: expected an integer of at least 1";
    if (at.size() != 3)
        return "at: unknown field";
    if (triggers_.size() >= max_triggers)
        return "at: too many triggers";
    auto error = faults().check(fault);
    if (error.empty())
        triggers_.push_back(
            {*side == "up" ? up : down, std::string(pattern->get_string()),
             static_cast<std::uint64_t>(count->get_int64()), std::move(fault)});
    return error;
}

} // namespace tanagertrack::standin
