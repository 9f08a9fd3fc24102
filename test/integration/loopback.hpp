#ifndef TANAGERTRACK_TEST_LOOPBACK_HPP
#define TANAGERTRACK_TEST_LOOPBACK_HPP

#include "cli/api_client.hpp"

#include <boost/json/object.hpp>

#include <random>
#include <string>
#include <string_view>

namespace tanagertrack::test
{

/// Lowest port of tests. Their ports lie below the ephemeral ones, so that
/// outgoing connections don't take them.
constexpr int first_port = 20000;

/// Number of ports that tests choose from.
constexpr int port_count = 10000;

/// Source of random ports; its seed is printed.
std::mt19937& port_random();

/// Whether nobody listens on the port.
bool is_free(int port);

/// "127.0.0.1:PORT".
std::string loopback_address(int port);

/// Makes a call to a listener on loopback.
cli::api_answer call_port(int port, std::string_view key,
                          const cli::api_request& request);

/// The object that a JSON text has; empty for anything else.
boost::json::object parse_object(const std::string& text);

} // namespace tanagertrack::test

#endif
