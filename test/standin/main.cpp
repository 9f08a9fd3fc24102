#include "standin/engine_stand_in.hpp"
#include "standin/http_server.hpp"
#include "standin/log_stand_in.hpp"

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

/// Options of all kinds of stand-ins.
struct options
{
    std::string kind;
    std::string listen;
    standin::log_settings log;
    standin::engine_settings engine;
};

/// Binds integer options of the command line to settings.
class integer_options
{
public:
    explicit integer_options(TCLAP::CmdLine& cmd) : cmd_(cmd)
    {
    }

    void add(const char* name, std::int64_t& value, const char* help)
    {
        rows_.push_back({std::make_unique<TCLAP::ValueArg<std::int64_t>>(
                             "", name, help, false, value, "N", cmd_),
                         &value});
    }

    /// Sets the values from the parsed command line.
    void store() const
    {
        for (const auto& it : rows_)
            *it.value = it.argument->getValue();
    }

private:
    struct row
    {
        std::unique_ptr<TCLAP::ValueArg<std::int64_t>> argument;
        std::int64_t* value;
    };

    TCLAP::CmdLine& cmd_;
    std::vector<row> rows_;
};

options read_options(int argc, char** argv)
{
    options out;
    TCLAP::CmdLine cmd("Stand-in for a platform service, for tests.", ' ',
                       "0.1.0");
    TCLAP::ValueArg<std::string> kind("", "kind", "engine or log", true, "",
                                      "KIND", cmd);
    TCLAP::ValueArg<std::string> listen("", "listen", "address", true, "",
                                        "IP:PORT", cmd);
    TCLAP::SwitchArg check_fencing("", "check-fencing",
                                   "engine: refuse old fencing numbers", cmd);
    integer_options integers(cmd);
    auto& log = out.log;
    integers.add("retain-records", log.retain_records,
                 "log: records kept in a stream");
    integers.add("retain-ms", log.retain_ms, "log: age of records kept");
    integers.add("appends-per-second", log.appends_per_second,
                 "log: appends accepted in a second");
    integers.add("max-bytes", log.max_bytes, "log: bytes kept");
    auto& engine = out.engine;
    integers.add("slots", engine.slots, "engine: sequences at a time");
    integers.add("base-us", engine.base_us, "engine: time of a step");
    integers.add("per-sequence-us", engine.per_sequence_us,
                 "engine: time that a sequence adds to a step");
    integers.add("prefill-us-per-byte", engine.prefill_us_per_byte,
                 "engine: time for a prompt byte that is not cached");
    integers.add("cache-blocks", engine.cache_blocks,
                 "engine: prompt blocks of 64 bytes cached");
    integers.add("cache-lag-ms", engine.cache_lag_ms,
                 "engine: delay of cache events");
    integers.add("cache-gap", engine.cache_gap,
                 "engine: each n-th cache event is lost");
    integers.add("load-lag-ms", engine.load_lag_ms,
                 "engine: age of the reported load");
    integers.add("max-seen", engine.max_seen,
                 "engine: executions listed for checkers");

    cmd.parse(argc, argv);
    integers.store();
    out.kind = kind.getValue();
    out.listen = listen.getValue();
    engine.check_fencing = check_fencing.getValue();
    return out;
}

tcp::endpoint parse_address(const std::string& text)
{
    const auto parsed = common::parse_endpoint(text);
    if (!parsed)
        throw std::invalid_argument(text + ": expected IP:PORT");
    return {boost::asio::ip::make_address(parsed->address), parsed->port};
}

/// Ends the process when a coroutine that runs for its whole life fails.
void rethrow(const std::exception_ptr& error)
{
    if (error)
        std::rethrow_exception(error);
}

int run(const options& it)
{
    boost::asio::io_context context(1);
    std::unique_ptr<standin::stand_in> service;
    const auto executor = context.get_executor();
    if (it.kind == "log")
    {
        service = std::make_unique<standin::log_stand_in>(executor, it.log);
    }
    else if (it.kind == "engine")
    {
        auto engine =
            std::make_unique<standin::engine_stand_in>(executor, it.engine);
        boost::asio::co_spawn(context, engine->run(), rethrow);
        service = std::move(engine);
    }
    else
    {
        throw std::invalid_argument(it.kind + ": unknown kind");
    }
    standin::http_server server(executor, parse_address(it.listen), *service);
    boost::asio::co_spawn(context, server.run(), rethrow);
    context.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(read_options(argc, argv));
    }
    catch (const std::exception& e)
    {
        std::cerr << "tanagertrack-standin: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
