#include "integration/loopback.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanagertrack::test
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::seconds call_timeout{20};

} // namespace

std::mt19937& port_generator()
{
    static std::mt19937 generator(
        []
        {
            const auto seed = std::random_device{}();
            BOOST_TEST_MESSAGE("seed of the random ports: " << seed);
            return seed;
        }());
    return generator;
}

bool is_free(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return free;
}

std::string loopback_address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

cli::api_answer call_port(int port, std::string_view key,
                          const cli::api_request& request)
{
    const cli::api_settings settings{
        {"127.0.0.1", static_cast<std::uint16_t>(port)},
        std::string(key),
        call_timeout};
    return cli::api_client(settings).call(request);
}

json::object parse_object(const std::string& text)
{
    json::error_code ec;
    auto value = json::parse(text, ec);
    return !ec && value.is_object() ? value.get_object() : json::object();
}

} // namespace tanagertrack::test
