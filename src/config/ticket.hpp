#ifndef TANAGERTRACK_CONFIG_TICKET_HPP
#define TANAGERTRACK_CONFIG_TICKET_HPP

#include "config/setting_table.hpp"
#include "proto/tickets.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagertrack::config
{

/// Bytes that a ticket document has at most; a record holds it.
constexpr std::size_t max_ticket_bytes = 256 * 1024;

/// Objects that a ticket touches at most.
constexpr std::size_t max_ticket_objects = 10000;

/// A checked change ticket: the complete new state of all objects that it
/// touches. Each object's `ticket` is the ticket's number.
struct ticket
{
    /// From 1 to 10^15.
    std::uint64_t number = 0;
    std::vector<proto::TargetSpec> targets;
    std::vector<proto::ModelSpec> models;
    std::vector<proto::ServiceSpec> services;
    std::vector<proto::TeamSpec> teams;

    /// Objects to remove, as "targets/NAME".
    std::vector<std::string> removed;
};

/// Parses and checks a YAML ticket document. Returns all errors found, with
/// line, key and the accepted range; `out` is only to be used when there are
/// none. Names in each list, and in `removed`, are sorted and occur once.
/// A team's `key` is kept only as its hash; `key_hash` may be given instead.
/// Whether named models and services exist is not checked here.
std::vector<setting_error> parse_ticket(std::string_view file,
                                        std::string_view text, ticket& out);

/// Hash of the ticket's content, 16 bytes: equal for documents that differ
/// only in layout or in the order of keys and objects.
std::string content_hash(const ticket& value);

/// "targets/NAME" and so on, of each touched object, in the order of the
/// lists.
std::vector<std::string> touched_objects(const ticket& value);

/// Hash under which a team's bearer key is kept: lower-case hexadecimal
/// digits of its XXH3-128.
std::string team_key_hash(std::string_view key);

} // namespace tanagertrack::config

#endif
