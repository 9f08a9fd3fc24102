#include "cli/options.hpp"

#include "cli/answers.hpp"
#include "cli/exit_status.hpp"

#include <tclap/CmdLine.h>

#include <charconv>
#include <map>
#include <ostream>

namespace tanagertrack::cli
{

namespace
{

constexpr int max_timeout_ms = 3600000;
constexpr int max_retry_ms = 3600000;

/// Names under which the address and the key of a listener are given.
struct listener_names
{
    const char* option;
    const char* address_variable;
    const char* key_variable;
};

listener_names names_of(listener kind)
{
    if (kind == listener::operators)
        return {"operator", "TANAGERTRACK_OPERATOR",
                "TANAGERTRACK_OPERATOR_KEY"};
    return {"entry", "TANAGERTRACK_ENTRY", "TANAGERTRACK_KEY"};
}

/// Parses a non-negative integer. Returns std::nullopt if `text` is anything
/// else.
std::optional<int> parse_number(std::string_view text)
{
    int number = 0;
    const auto* end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || at != end || number < 0)
        return std::nullopt;
    return number;
}

} // namespace

struct options::impl
{
    impl(const std::string& name, const std::string& help, listener kind,
         const command_context& context)
        : context(context), names(names_of(kind)), cmd(help, ' ', "0.1.0"),
          program("tanagertrack " + name)
    {
        cmd.setExceptionHandling(false);
    }

    const command_context& context;
    listener_names names;
    TCLAP::CmdLine cmd;
    std::string program;
    std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    std::map<std::string,
             std::unique_ptr<TCLAP::UnlabeledValueArg<std::string>>>
        positionals;
    std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> flags;
    api_settings api;
    bool is_json = false;
};

options::options(const std::string& name, const std::string& help,
                 listener kind, const command_context& context)
    : impl_(std::make_unique<impl>(name, help, kind, context))
{
    const auto& names = impl_->names;
    add_value(names.option,
              std::string("IP:PORT of an entry; default from ") +
                  names.address_variable,
              context.environment(names.address_variable));
    add_value("key",
              std::string("bearer key; default from ") + names.key_variable,
              context.environment(names.key_variable));
    add_value("output", "text or json", "text");
    add_value("timeout-ms", "time without progress after which a call fails",
              "30000");
    add_value("retry-ms",
              "time within which a call that was refused as not run is "
              "repeated; 0: never",
              "10000");
}

options::~options() = default;

void options::add_positional(const std::string& name, const std::string& help,
                             bool required)
{
    impl_->positionals[name] =
        std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
            name, help, required, "", name, impl_->cmd);
}

void options::add_value(const std::string& name, const std::string& help,
                        const std::string& default_value)
{
    impl_->values[name] = std::make_unique<TCLAP::ValueArg<std::string>>(
        "", name, help, false, default_value, "VALUE", impl_->cmd);
}

void options::add_flag(const std::string& name, const std::string& help)
{
    impl_->flags[name] =
        std::make_unique<TCLAP::SwitchArg>("", name, help, impl_->cmd);
}

std::optional<int> options::parse(std::vector<std::string> arguments)
{
    auto& err = impl_->context.err;
    arguments.insert(arguments.begin(), impl_->program);
    try
    {
        impl_->cmd.parse(arguments);
    }
    catch (const TCLAP::ExitException& e)
    {
        return e.getExitStatus();
    }
    catch (const TCLAP::ArgException& e)
    {
        err << impl_->program << ": " << e.argId() << ": " << e.error()
            << "\nTry: " << impl_->program << " --help\n";
        return exit_usage;
    }

    // Validate the options that all commands share.
    const auto address = common::parse_endpoint(value(impl_->names.option));
    if (!address)
    {
        err << impl_->program << ": --" << impl_->names.option
            << ": expected IP:PORT, or set " << impl_->names.address_variable
            << '\n';
        return exit_usage;
    }
    const auto& output = value("output");
    if (output != "text" && output != "json")
    {
        err << impl_->program << ": --output: expected text or json, found '"
            << output << "'\n";
        return exit_usage;
    }
    const auto timeout = parse_number(value("timeout-ms"));
    if (!timeout || *timeout < 1 || *timeout > max_timeout_ms)
    {
        err << impl_->program << ": --timeout-ms: expected 1 to "
            << max_timeout_ms << ", found '" << value("timeout-ms") << "'\n";
        return exit_usage;
    }

    const auto retry_time = parse_number(value("retry-ms"));
    if (!retry_time || *retry_time > max_retry_ms)
    {
        err << impl_->program << ": --retry-ms: expected 0 to " << max_retry_ms
            << ", found '" << value("retry-ms") << "'\n";
        return exit_usage;
    }

    impl_->api = {*address, value("key"), std::chrono::milliseconds(*timeout),
                  std::chrono::milliseconds(*retry_time)};
    impl_->is_json = output == "json";
    return std::nullopt;
}

const std::string& options::value(const std::string& name) const
{
    const auto it = impl_->values.find(name);
    if (it != impl_->values.end())
        return it->second->getValue();
    return impl_->positionals.at(name)->getValue();
}

bool options::flag(const std::string& name) const
{
    return impl_->flags.at(name)->getValue();
}

bool options::json() const
{
    return impl_->is_json;
}

api_client options::client() const
{
    return api_client(impl_->api);
}

int print_answer(const options& args, const api_answer& answer,
                 const command_context& context, const object_printer& print)
{
    if (!succeeded(answer))
        return report_failure(answer, context.err);
    if (args.json())
        context.out << answer.body << '\n';
    else
        print(parse_object(answer.body), context.out);
    return exit_ok;
}

} // namespace tanagertrack::cli
