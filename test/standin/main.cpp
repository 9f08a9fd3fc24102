#include "standin/engine_stand_in.hpp"
#include "standin/http_server.hpp"
#include "standin/service_stand_in.hpp"
#include "standin/store_stand_in.hpp"
#include "standin/tcp_proxy.hpp"

#include "common/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace tanagertrack;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

/// Command line options; which ones apply depends on `kind`.
struct options
{
    std::string kind;
    std::string listen;
    std::string control;
    std::string upstream;
    std::string name;
    std::string id;
    std::int64_t partitions = 12;
    std::int64_t retention_ms = 300000;
    standin::engine_settings engine;
};

/// Integer options of the command line, each bound to a variable that holds
/// its default and receives its value.
class integer_options
{
public:
    explicit integer_options(TCLAP::CmdLine& cmd) : cmd_(cmd)
    {
    }

    void add(const char* name, std::int64_t& value, const char* help)
    {
        bindings_.push_back({std::make_unique<TCLAP::ValueArg<std::int64_t>>(
                                 "", name, help, false, value, "N", cmd_),
                             &value});
    }

    /// Copies the parsed values to the variables.
    void copy_values() const
    {
        for (const auto& it : bindings_)
            *it.value = it.argument->getValue();
    }

private:
    struct binding
    {
        std::unique_ptr<TCLAP::ValueArg<std::int64_t>> argument;
        std::int64_t* value;
    };

    TCLAP::CmdLine& cmd_;
    std::vector<binding> bindings_;
};

options parse_options(int argc, char** argv)
{
    options out;
    TCLAP::CmdLine cmd("Stand-in for a platform service, for tests.", ' ',
                       "0.1.0");
    TCLAP::ValueArg<std::string> kind(
        "", "kind", "engine, service, store or proxy", true, "", "KIND", cmd);
    TCLAP::ValueArg<std::string> listen("", "listen", "address", true, "",
                                        "IP:PORT", cmd);
    TCLAP::ValueArg<std::string> control("", "control",
                                         "proxy: address of its HTTP paths",
                                         false, "", "IP:PORT", cmd);
    TCLAP::ValueArg<std::string> upstream("", "upstream",
                                          "proxy: where connections go", false,
                                          "", "IP:PORT", cmd);
    TCLAP::ValueArg<std::string> name("", "name", "service: name in answers",
                                      false, "service", "NAME", cmd);
    TCLAP::ValueArg<std::string> id(
        "", "id", "engine, service: id that requests may expect", false, "",
        "ID", cmd);
    integer_options integers(cmd);
    integers.add("partitions", out.partitions,
                 "store: partitions of each topic");
    integers.add("retention-ms", out.retention_ms,
                 "store: age of records kept");
    auto& engine = out.engine;
    integers.add("slots", engine.slots, "engine: sequences at a time");
    integers.add("base-us", engine.base_us, "engine: time of a step");
    integers.add("per-sequence-us", engine.per_sequence_us,
                 "engine: time that a sequence adds to a step");
    integers.add("prefill-us-per-byte", engine.prefill_us_per_byte,
                 "engine: time for a prompt byte that is not cached");
    integers.add("cache-blocks", engine.cache_blocks,
                 "engine: prompt blocks of 64 bytes cached");
    integers.add("max-seen", engine.max_seen,
                 "engine: executions listed for checkers");

    cmd.parse(argc, argv);
    integers.copy_values();
    out.kind = kind.getValue();
    out.listen = listen.getValue();
    out.control = control.getValue();
    out.upstream = upstream.getValue();
    out.name = name.getValue();
    out.id = id.getValue();
    engine.target_id = out.id;
    return out;
}

tcp::endpoint parse_address(const std::string& text)
{
    const auto parsed = common::parse_endpoint(text);
    if (!parsed)
        throw std::invalid_argument("address \"" + text +
                                    "\": expected IP:PORT");
    return {boost::asio::ip::make_address(parsed->address), parsed->port};
}

/// Completion handler of the coroutines that run as long as the process: lets
/// their exception leave io_context::run(), which ends the process.
void rethrow(const std::exception_ptr& error)
{
    if (error)
        std::rethrow_exception(error);
}

/// Creates the stand-in of kind `opts.kind` and starts its coroutine if it has
/// one. Throws std::invalid_argument if the kind is unknown.
std::unique_ptr<standin::stand_in>
make_stand_in(boost::asio::io_context& context, const options& opts)
{
    const auto executor = context.get_executor();
    if (opts.kind == "store")
    {
        standin::store_limits limits;
        limits.partitions = static_cast<std::uint32_t>(opts.partitions);
        limits.retention = std::chrono::milliseconds(opts.retention_ms);
        return std::make_unique<standin::store_stand_in>(executor, limits);
    }
    if (opts.kind == "service")
        return std::make_unique<standin::service_stand_in>(opts.name, opts.id);
    if (opts.kind == "engine")
    {
        auto out =
            std::make_unique<standin::engine_stand_in>(executor, opts.engine);
        boost::asio::co_spawn(context, out->run(), rethrow);
        return out;
    }
    if (opts.kind == "proxy")
    {
        auto out = std::make_unique<standin::tcp_proxy>(
            executor, parse_address(opts.listen), parse_address(opts.upstream));
        boost::asio::co_spawn(context, out->run(), rethrow);
        return out;
    }
    throw std::invalid_argument("kind \"" + opts.kind +
                                "\": expected engine, service, store or proxy");
}

int run(const options& opts)
{
    boost::asio::io_context context(1);
    const auto served = make_stand_in(context, opts);
    const auto& address = opts.kind == "proxy" ? opts.control : opts.listen;
    standin::http_server server(context.get_executor(), parse_address(address),
                                *served);
    boost::asio::co_spawn(context, server.run(), rethrow);
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(parse_options(argc, argv));
    }
    catch (const std::exception& e)
    {
        std::cerr << "tanagertrack-standin: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
