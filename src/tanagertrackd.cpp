#include "api/api_edge.hpp"
#include "common/logging.hpp"
#include "config/settings.hpp"
#include "entry/entry_process.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/platform_edge.hpp"
#include "platform/store_client.hpp"
#include "platform/wire_names.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

using namespace tanagertrack;

/// Exit statuses of the daemon.
enum exit_status : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_bad_settings = 2
};

/// Reads a whole file into `out`. Returns false if it can't be read.
bool read_file(const std::string& path, std::string& out)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream buf;
    buf << file.rdbuf();
    out = buf.str();
    return file.good();
}

/// Creates the client of the store and the protocol of the targets, which are
/// the same in all deployments, and selects how failures of batch items are
/// classified.
entry::core_parts make_core_parts(const config::settings& settings,
                                  boost::asio::io_context& context,
                                  common::metrics_registry& metrics)
{
    platform::store_client_settings client;
    client.address = settings.platform.store;
    client.call_timeout = settings.store.call_timeout;
    entry::core_parts parts;
    parts.store = platform::make_store_client(context, client, metrics);
    parts.protocol = platform::make_engine_protocol();
    parts.classify_failure = settings.callers == "platform"
                                 ? platform::classify_failure
                                 : api::classify_failure;
    parts.quarantine_topic = platform::wire::quarantine_topic;
    return parts;
}

/// Selects the edge, which serves the callers, and the factory of the parts of
/// the core. `settings` must outlive the result.
entry::process_parts make_parts(const config::settings& settings)
{
    entry::process_parts parts;
    parts.make_core_parts = [&settings](auto& context, auto& metrics)
    {
        return make_core_parts(settings, context, metrics);
    };
    parts.make_edge = settings.callers == "platform"
                          ? platform::make_platform_edge
                          : api::make_api_edge;
    return parts;
}

int run(int argc, char** argv)
{
    TCLAP::CmdLine cmd("tanagertrack daemon: an entry, which serves callers.",
                       ' ', "0.1.0");
    TCLAP::SwitchArg check("", "check-settings",
                           "check the settings file and exit", cmd);
    TCLAP::SwitchArg reference("", "settings-reference",
                               "print the table of settings and exit", cmd);
    TCLAP::UnlabeledValueArg<std::string> file("FILE", "YAML settings file",
                                               false, "", "FILE", cmd);
    cmd.parse(argc, argv);

    config::settings settings;
    if (reference.getValue())
    {
        std::cout << config::make_setting_table(settings).reference();
        return exit_ok;
    }

    std::string text;
    if (!read_file(file.getValue(), text))
    {
        std::cerr << "settings file '" << file.getValue()
                  << "' can't be read\n";
        return exit_bad_settings;
    }
    const auto errors = config::read_settings(file.getValue(), text, settings);
    for (const auto& it : errors)
        std::cerr << to_string(it) << '\n';
    if (!errors.empty())
        return exit_bad_settings;
    if (check.getValue())
    {
        std::cout << file.getValue() << ": accepted\n";
        return exit_ok;
    }
    entry::entry_process process(settings, make_parts(settings));
    const int status = process.run();

    // After a forced stop, requests that are still running refer to each other
    // and to `process`. They end with the process; no destructors are run.
    common::flush_log();
    std::cout.flush();
    std::_Exit(status);
}

} // namespace

int main(int argc, char** argv)
{
    common::init_logging();
    try
    {
        const int status = run(argc, argv);
        common::flush_log();
        return status;
    }
    catch (const std::exception& e)
    {
        common::log_error("fatal", {{"what", e.what()}});
        common::flush_log();
        return exit_failed;
    }
}
