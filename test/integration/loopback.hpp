#ifndef TANAGERTRACK_TEST_LOOPBACK_HPP
#define TANAGERTRACK_TEST_LOOPBACK_HPP

#include "cli/api_client.hpp"

#include <boost/json/object.hpp>

#include <random>
#include <string>
#include <string_view>

namespace tanagertrack::test
{

/// Lowest port that tests listen on. The range lies below the ephemeral ports,
/// so that no outgoing connection occupies one of its ports.
constexpr int first_port = 20000;

/// Number of ports in the range.
constexpr int port_count = 10000;

/// Random generator for the choice of ports; its seed is printed as a message
/// of the test.
std::mt19937& port_generator();

/// Returns true if the port can be bound on loopback.
bool is_free(int port);

/// Returns "127.0.0.1:PORT".
std::string loopback_address(int port);

/// Sends a request to a loopback port, with `key` as the bearer key, and waits
/// up to 20 s for the answer.
cli::api_answer call_port(int port, std::string_view key,
                          const cli::api_request& request);

/// Parses a JSON object; returns an empty one if the text is anything else.
boost::json::object parse_object(const std::string& text);

} // namespace tanagertrack::test

#endif
