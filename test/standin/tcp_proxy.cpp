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

/// Connection of a client and the connection to the upstream that belongs to
/// it.
struct tcp_proxy::link
{
    link(tcp::socket accepted, const asio::any_io_executor& executor)
        : client(std::move(accepted)), upstream(executor)
    {
    }

    void close()
    {
        boost::system::error_code ec;
        client.close(ec);
        upstream.close(ec);
    }

    tcp::socket client;
    tcp::socket upstream;

    /// True if request data was forwarded since the last answer data.
    bool request_forwarded = false;

    /// True if the connection is to be closed when the next answer data
    /// arrives.
    bool drop_next_answer = false;

    /// End of the data that was read in each direction, so that patterns that
    /// are split over several reads are found.
    std::array<std::string, 2> tails;
};

tcp_proxy::tcp_proxy(const asio::any_io_executor& executor, endpoint listen_at,
                     endpoint upstream)
    : executor_(executor), listen_(std::move(listen_at)),
      upstream_(std::move(upstream)), acceptor_(executor),
      faults_changed_(executor)
{
    faults().add("cut", cut_);
    faults().add("freeze", freeze_);
    faults().add("drop_answers", drop_answers_);
    faults().on_change([this] { apply_changed_faults(); });
    listen();
}

tcp_proxy::~tcp_proxy() = default;

asio::awaitable<void> tcp_proxy::run()
{
    for (;;)
    {
        if (!acceptor_.is_open())
        {
            co_await faults_changed_.wait();
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
        return "at: expected an object";
    const auto trigger_fields = at->get_object();
    fault->erase("at");
    return add_trigger(trigger_fields, json::serialize(*fault));
}

asio::awaitable<void> tcp_proxy::connect(link_ptr connection)
{
    boost::system::error_code ec;
    co_await connection->upstream.async_connect(
        upstream_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        connection->close();
        links_.erase(connection);
        co_return;
    }
    connection->client.set_option(tcp::no_delay(true), ec);
    connection->upstream.set_option(tcp::no_delay(true), ec);
    asio::co_spawn(executor_, forward(connection, up), asio::detached);
    asio::co_spawn(executor_, forward(connection, down), asio::detached);
}

asio::awaitable<void> tcp_proxy::forward(link_ptr connection, direction dir)
{
    try
    {
        co_await copy_data(connection, dir);
    }
    catch (const boost::system::system_error&)
    {
        // The client or the upstream closed its connection.
    }
    connection->close();
    links_.erase(connection);
}

asio::awaitable<void> tcp_proxy::copy_data(link_ptr connection, direction dir)
{
    auto& from = dir == up ? connection->client : connection->upstream;
    auto& to = dir == up ? connection->upstream : connection->client;
    std::vector<char> buf(buffer_bytes);
    for (;;)
    {
        const auto n = co_await from.async_read_some(asio::buffer(buf),
                                                     asio::use_awaitable);
        apply_triggers(*connection, dir, {buf.data(), n});
        if (delay_ms() > 0)
            co_await pause(std::chrono::milliseconds(delay_ms()));
        while (freeze_ && from.is_open())
            co_await faults_changed_.wait();
        if (dir == up)
            connection->request_forwarded = true;
        else if (connection->drop_next_answer ||
                 (connection->request_forwarded && consume_one(drop_answers_)))
        {
            ++dropped_answers_;
            co_return;
        }
        else
            connection->request_forwarded = false;
        bytes_[dir] += n;
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

void tcp_proxy::apply_changed_faults()
{
    boost::system::error_code ec;
    if (refuses())
        acceptor_.close(ec);
    else if (!acceptor_.is_open())
        listen();
    if (triggering_link_ != nullptr && drop_answers_ > 0)
    {
        triggering_link_->drop_next_answer = true;
        drop_answers_ = 0;
    }
    if (std::exchange(cut_, false))
    {
        ++cut_count_;
        for (const auto& it : links_)
            if (triggering_link_ == nullptr || triggering_link_ == it.get())
                it->close();
    }
    faults_changed_.notify();
}

void tcp_proxy::apply_triggers(link& connection, direction dir,
                               std::string_view data)
{
    if (triggers_.empty())
        return;
    auto& tail = connection.tails[dir];
    const auto tail_size = tail.size();
    const auto text = tail + std::string(data);
    std::vector<std::string> due_faults;
    for (auto& trigger : triggers_)
    {
        if (trigger.dir != dir)
            continue;
        for (auto at = text.find(trigger.pattern);
             at != text.npos && trigger.count > 0;
             at = text.find(trigger.pattern, at + 1))
        {
            // Occurrences that end within the tail belong to earlier reads.
            if (at + trigger.pattern.size() > tail_size && --trigger.count == 0)
                due_faults.push_back(trigger.fault);
        }
    }
    tail =
        text.substr(text.size() - std::min(text.size(), max_pattern_bytes - 1));
    std::erase_if(triggers_, [](const auto& it) { return it.count == 0; });

    triggering_link_ = &connection;
    for (const auto& fault : due_faults)
    {
        ++triggered_;
        faults().apply(fault);
    }
    triggering_link_ = nullptr;
}

std::string tcp_proxy::add_trigger(const json::object& at, std::string fault)
{
    const auto* dir = at.if_contains("direction");
    const auto* pattern = at.if_contains("pattern");
    const auto* count = at.if_contains("count");
    if (dir == nullptr || (*dir != "up" && *dir != "down"))
        return "at.direction: expected \"up\" or \"down\"";
    if (pattern == nullptr || !pattern->is_string() ||
        pattern->get_string().empty() ||
        pattern->get_string().size() > max_pattern_bytes)
        return "at.pattern: expected a string of 1 to 256 bytes";
    if (count == nullptr || !count->is_int64() || count->get_int64() < 1)
        return "at.count: expected an integer of at least 1";
    if (at.size() != 3)
        return "at: expected the fields direction, pattern and count only";
    if (triggers_.size() >= max_triggers)
        return "at: too many triggers, at most " +
               std::to_string(max_triggers) + " can be pending";
    auto error = faults().check(fault);
    if (error.empty())
        triggers_.push_back(
            {*dir == "up" ? up : down, std::string(pattern->get_string()),
             static_cast<std::uint64_t>(count->get_int64()), std::move(fault)});
    return error;
}

} // namespace tanagertrack::standin
