// Stand-ins for the scripts under review/: an engine, a gate in front of the
// store's stand-in, and a client that makes one call. Each process plays one of
// them. Uses plain blocking sockets and a thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace
{

using namespace std::chrono_literals;

/// Command line: "--name value" pairs; a name may occur several times.
using option_map = std::multimap<std::string, std::string>;

option_map parse_options(int argc, char** argv, int first)
{
    option_map out;
    for (int i = first; i + 1 < argc; i += 2)
        out.emplace(argv[i], argv[i + 1]);
    return out;
}

std::string text_option(const option_map& options, const std::string& name,
                        const std::string& fallback = {})
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

int number_option(const option_map& options, const std::string& name,
                  int fallback)
{
    const auto it = options.find(name);
    return it == options.end() ? fallback : std::stoi(it->second);
}

sockaddr_in parse_address(const std::string& text)
{
    const auto colon = text.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr) != 1)
        throw std::invalid_argument("address " + text);
    return out;
}

/// Appends lines to a file. Used by several threads.
class line_log
{
public:
    explicit line_log(const std::string& path) : out_(path, std::ios::app)
    {
    }

    void write(const std::string& line)
    {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        const std::lock_guard lock(mutex_);
        out_ << now.count() << ' ' << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

/// A blocking TCP connection. Closed by the destructor.
class connection
{
public:
    explicit connection(int fd) : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~connection()
    {
        close(fd_);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void set_timeout(std::chrono::seconds value)
    {
        const timeval limit{value.count(), 0};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    bool send_all(std::string_view data)
    {
        while (!data.empty())
        {
            const auto n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            data.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end of the
    /// stream, after an error, and after the timeout.
    bool read_more()
    {
        char piece[65536];
        const auto n = recv(fd_, piece, sizeof piece, 0);
        if (n <= 0)
            return false;
        buffer_.append(piece, static_cast<std::size_t>(n));
        return true;
    }

    /// Returns the bytes up to and including `end`, or std::nullopt if the
    /// stream ends before.
    std::optional<std::string> read_until(std::string_view end)
    {
        auto at = buffer_.find(end);
        while (at == std::string::npos)
        {
            if (!read_more())
                return std::nullopt;
            at = buffer_.find(end);
        }
        return take(at + end.size());
    }

    std::optional<std::string> read_bytes(std::size_t n)
    {
        while (buffer_.size() < n)
        {
            if (!read_more())
                return std::nullopt;
        }
        return take(n);
    }

    /// Returns what is left until the end of the stream.
    std::string read_rest()
    {
        while (read_more())
        {
        }
        return std::move(buffer_);
    }

private:
    std::string take(std::size_t n)
    {
        auto out = buffer_.substr(0, n);
        buffer_.erase(0, n);
        return out;
    }

    int fd_;
    std::string buffer_;
};

/// Head of a message, with header names in lower case.
struct message_head
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string raw;

    std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }

    std::size_t content_length() const
    {
        const auto text = header("content-length");
        return text.empty() ? 0 : std::stoul(text);
    }
};

std::optional<message_head> read_head(connection& from)
{
    auto raw = from.read_until("\r\n\r\n");
    if (!raw)
        return std::nullopt;
    message_head out;
    out.raw = *raw;
    std::istringstream lines(*raw);
    std::string line;
    std::getline(lines, out.first_line);
    if (!out.first_line.empty() && out.first_line.back() == '\r')
        out.first_line.pop_back();
    while (std::getline(lines, line))
    {
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        value.erase(value.find_last_not_of(" \t\r") + 1);
        out.headers[name] = value;
    }
    return out;
}

/// Reads the rest of a chunked body. Returns false if it is cut short.
bool read_chunks(connection& from, std::string& body)
{
    for (;;)
    {
        const auto size_line = from.read_until("\r\n");
        if (!size_line)
            return false;
        const auto size = std::stoul(*size_line, nullptr, 16);
        const auto data = from.read_bytes(size + 2);
        if (!data)
            return false;
        if (size == 0)
            return true;
        body += data->substr(0, size);
    }
}

std::string make_chunk(const std::string& data)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/// Accepts connections for ever; `serve` runs in a thread of its own for each.
template<typename Serve>
[[noreturn]] void accept_connections(const std::string& address, Serve serve)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto local = parse_address(address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&local),
             sizeof local) != 0 ||
        listen(listener, 256) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    for (;;)
    {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd < 0)
            continue;
        std::thread(
            [fd, serve]
            {
                connection it(fd);
                serve(it);
            })
            .detach();
    }
}

int connect_to(const std::string& address)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const auto remote = parse_address(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&remote),
                sizeof remote) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

bool file_exists(const std::string& path)
{
    struct stat ignored
    {
    };
    return !path.empty() && stat(path.c_str(), &ignored) == 0;
}

// ---- engine ----

/// An engine that generates a fixed number of events for each request.
struct engine
{
    std::string id;
    int events = 10;
    std::chrono::milliseconds gap{20};

    /// While this file exists, each `fail_every`th request fails with 500.
    std::string fail_file;
    unsigned fail_every = 1;

    /// While this file exists, each `break_every`th request for a whole stream
    /// breaks off in the middle of the event after `break_after` events.
    std::string break_file;
    unsigned break_every = 1;
    int break_after = 3;

    /// Tokens that fit into the memory. A larger request is rejected as if the
    /// engine were full.
    long memory_tokens = 101495;
    line_log* log = nullptr;

    /// Numbers of requests that were received while the files existed.
    mutable std::atomic<unsigned> fail_requests{0};
    mutable std::atomic<unsigned> break_requests{0};

    std::string head(const message_head& request, const std::string& status,
                     const std::string& more) const
    {
        return "HTTP/1.1 " + status + "\r\nX-Tanagertrack-Request-Id: " +
               request.header("x-tanagertrack-request-id") +
               "\r\nX-Tanagertrack-Server-Stamp: " + id + "." +
               request.header("x-tanagertrack-request-id") +
               "\r\nX-Tanagertrack-Server-Load: 1,0,8,100\r\n" + more + "\r\n";
    }

    /// Sum of the tokens in "IN,OUT".
    static long tokens(const std::string& usage)
    {
        const auto comma = usage.find(',');
        if (comma == std::string::npos)
            return 0;
        return std::stol(usage) + std::stol(usage.substr(comma + 1));
    }

    /// Returns false if the connection is to be closed.
    bool answer(connection& to, const message_head& request) const
    {
        const auto request_id = request.header("x-tanagertrack-request-id");
        const auto last_event = request.header("last-event-id");
        const auto expected = request.header("x-tanagertrack-expect-instance");
        const auto what = id + " request " + request_id + " after event " +
                          (last_event.empty() ? "0" : last_event);
        const std::string not_run =
            "X-Tanagertrack-Not-Executed: 1\r\nContent-Length: 0\r\n";
        if (!expected.empty() && expected != id)
            return to.send_all(
                head(request, "421 Misdirected Request", not_run));
        if (tokens(request.header("x-tanagertrack-token-usage")) >
            memory_tokens)
        {
            log->write(what + ": rejected, larger than the memory");
            return to.send_all(
                head(request, "503 Service Unavailable", not_run));
        }
        if (file_exists(fail_file) && ++fail_requests % fail_every == 0)
        {
            log->write(what + ": runs, answers 500");
            const std::string text = "the engine failed\n";
            return to.send_all(
                head(request, "500 Internal Server Error",
                     "Content-Type: text/plain\r\nContent-Length: " +
                         std::to_string(text.size()) + "\r\n") +
                text);
        }
        const auto first = last_event.empty() ? 1 : std::stoi(last_event) + 1;
        const bool breaks = first == 1 && file_exists(break_file) &&
                            ++break_requests % break_every == 0;
        log->write(what + ": runs");
        if (!to.send_all(head(request, "200 OK",
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n")))
            return false;
        for (int n = first; n <= events; ++n)
        {
            std::this_thread::sleep_for(gap);
            const auto number = std::to_string(n);
            if (breaks && n == break_after + 1)
            {
                log->write(what + ": breaks off in event " + number);
                to.send_all(make_chunk("id: " + number + "\nda"));
                return false;
            }
            if (!to.send_all(make_chunk("id: " + number + "\ndata: word" +
                                        number + "\n\n")))
                return false;
        }
        log->write(what + ": complete");
        return to.send_all("0\r\n\r\n");
    }

    void serve(connection& it) const
    {
        while (const auto request = read_head(it))
        {
            if (!it.read_bytes(request->content_length()) ||
                !answer(it, *request))
                return;
        }
    }
};

int run_engine(const option_map& options)
{
    line_log log(text_option(options, "--log", "/dev/null"));
    engine it;
    it.id = text_option(options, "--id");
    it.events = number_option(options, "--events", it.events);
    it.gap = std::chrono::milliseconds(
        number_option(options, "--gap-ms", static_cast<int>(it.gap.count())));
    it.fail_file = text_option(options, "--fail-while");
    it.fail_every =
        static_cast<unsigned>(number_option(options, "--fail-every", 1));
    it.break_file = text_option(options, "--break-while");
    it.break_every =
        static_cast<unsigned>(number_option(options, "--break-every", 1));
    it.log = &log;
    accept_connections(text_option(options, "--listen"),
                       [&it](connection& from) { it.serve(from); });
}

// ---- gate ----

/// Forwards calls to the store. While a file exists, calls that name a certain
/// topic get 503 or, with `silent`, no answer, as if the store were partly
/// down.
struct store_gate
{
    std::string upstream;
    std::string topic;
    std::string down_file;
    bool silent = false;

    bool is_down_for(const message_head& request) const
    {
        return file_exists(down_file) &&
               request.first_line.find("topic=" + topic + "&") !=
                   std::string::npos;
    }

    void serve(connection& client) const
    {
        const int fd = connect_to(upstream);
        if (fd < 0)
            return;
        connection store(fd);
        while (const auto request = read_head(client))
        {
            const auto body = client.read_bytes(request->content_length());
            if (!body)
                return;
            std::string out;
            const bool refused = is_down_for(*request);
            if (!refused && !forward(store, *request, *body, out))
                return;
            if (refused || is_down_for(*request))
            {
                // A silent connection returns nothing further.
                if (silent)
                    return (void)client.read_rest();
                out = "HTTP/1.1 503 Service Unavailable\r\n"
                      "Content-Type: application/json\r\n"
                      "Content-Length: 2\r\n\r\n{}";
            }
            if (!client.send_all(out))
                return;
        }
    }

    static bool forward(connection& store, const message_head& request,
                        const std::string& body, std::string& out)
    {
        if (!store.send_all(request.raw + body))
            return false;
        const auto head = read_head(store);
        if (!head)
            return false;
        const auto content = store.read_bytes(head->content_length());
        if (!content)
            return false;
        out = head->raw + *content;
        return true;
    }
};

int run_gate(const option_map& options)
{
    const store_gate it{text_option(options, "--upstream"),
                        text_option(options, "--topic"),
                        text_option(options, "--down-while"),
                        number_option(options, "--silent", 0) != 0};
    accept_connections(text_option(options, "--listen"),
                       [&it](connection& from) { it.serve(from); });
}

// ---- client ----

/// Makes one call. Prints the status, whether the answer is framed as complete,
/// and the body.
int run_call(const option_map& options)
{
    const int fd = connect_to(text_option(options, "--to"));
    if (fd < 0)
    {
        std::cout << "000 none\n";
        return 0;
    }
    connection it(fd);
    it.set_timeout(std::chrono::seconds(number_option(options, "--wait-s", 8)));
    auto body = text_option(options, "--body");
    const auto body_file = text_option(options, "--body-file");
    if (!body_file.empty())
    {
        std::ifstream in(body_file, std::ios::binary);
        body.assign(std::istreambuf_iterator<char>(in), {});
    }
    auto request = text_option(options, "--method", "GET") + ' ' +
                   text_option(options, "--path") + " HTTP/1.1\r\n";
    const auto [begin, end] = options.equal_range("--header");
    for (auto field = begin; field != end; ++field)
        request += field->second + "\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    it.send_all(request + body);
    const auto head = read_head(it);
    if (!head)
    {
        std::cout << "000 none\n";
        return 0;
    }
    std::string content;
    bool complete = true;
    if (head->header("transfer-encoding") == "chunked")
        complete = read_chunks(it, content);
    else if (head->headers.contains("content-length"))
    {
        const auto all = it.read_bytes(head->content_length());
        complete = all.has_value();
        content = all.value_or("");
    }
    else
        content = it.read_rest();
    std::cout << head->first_line.substr(9, 3)
              << (complete ? " complete\n" : " incomplete\n") << content
              << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string kind = argc > 1 ? argv[1] : "";
    const auto options = parse_options(argc, argv, 2);
    if (kind == "engine")
        return run_engine(options);
    if (kind == "gate")
        return run_gate(options);
    if (kind == "call")
        return run_call(options);
    std::cerr << "usage: review_standin engine|gate|call --name value...\n";
    return 2;
}
