#include "integration/fleet.hpp"

#include "integration/eventually.hpp"
#include "integration/loopback.hpp"
#include "standin/answer_text.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <exception>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

#include <cstdlib>

namespace tanagertrack::test
{

namespace json = boost::json;
using namespace std::chrono_literals;

namespace
{

/// Number of port ranges that a fleet may choose from, and ports in each.
constexpr int port_ranges = 100;
constexpr int range_ports = 100;
constexpr auto start_timeout = 20s;

const std::string program_folder = TANAGERTRACK_BINARY_DIR "/";

/// Ports of a fleet as scripts/make-fleet.sh assigns them. The store has the
/// base port; an entry has four consecutive ports, the first two of which are
/// its listeners for callers and for operators.
int entry_port(int base, int n)
{
    return base + 10 * n;
}

int engine_port(int base, int n)
{
    return base + 400 + 10 * n;
}

int service_port(int base, int n)
{
    return base + 800 + 10 * n;
}

/// Returns a string field; empty if it is missing.
std::string text_field(const json::object& object, std::string_view name)
{
    const auto* it = object.if_contains(name);
    return it != nullptr && it->is_string() ? std::string(it->get_string())
                                            : std::string();
}

/// Throws std::runtime_error if the condition is false.
void require(bool condition, const std::string& message)
{
    if (!condition)
        throw std::runtime_error(message);
}

} // namespace

fleet::fleet(fleet_options options) : options_(std::move(options))
{
    char folder[] = "/tmp/tanagertrack-test-XXXXXX";
    require(::mkdtemp(folder) != nullptr,
            "can't create a temporary folder in /tmp");
    folder_ = folder;
    choose_ports();
    process script(
        {TANAGERTRACK_SOURCE_DIR "/scripts/make-fleet.sh", "fondazione",
         folder_, std::to_string(base_port_), std::to_string(options_.entries),
         std::to_string(options_.engines), std::to_string(options_.services)},
        folder_ + "/make-fleet.log");
    require(script.wait(start_timeout) == 0,
            "make-fleet.sh failed or timed out, see " + folder_ +
                "/make-fleet.log");
    start_stand_ins();
    start_daemons();
    apply_ticket();
}

fleet::~fleet()
{
    processes_.clear();
    using namespace boost::unit_test;
    const auto id = framework::current_test_case().p_id;
    if (results_collector.results(id).p_assertions_failed == 0 &&
        std::uncaught_exceptions() == 0)
        std::filesystem::remove_all(folder_);
    else
        BOOST_TEST_MESSAGE("output of the processes is kept in " << folder_);
}

cli::api_answer fleet::call(int entry, const cli::api_request& request) const
{
    return call_port(entry_port(base_port_, entry), team_key, request);
}

cli::api_answer fleet::call_operator(int entry,
                                     const cli::api_request& request) const
{
    return call_port(entry_port(base_port_, entry) + 1, operator_key, request);
}

cli::api_request fleet::make_leaving_ticket(const std::string& target) const
{
    // Copies the target's entry of ticket 1 and adds its state.
    std::ostringstream text;
    text << std::ifstream(folder_ + "/ticket-1.yaml").rdbuf();
    const auto ticket = text.str();
    const auto begin = ticket.find("  - name: " + target + "\n");
    const auto end = ticket.find("  - name: ", begin + 1);
    return {.method = "POST",
            .target = "/operator/tickets",
            .content_type = "application/yaml",
            .body = "ticket: 2\ntargets:\n" +
                    ticket.substr(begin, end - begin) + "    state: leaving\n"};
}

std::string fleet::submit(int entry, const std::string& key,
                          const std::string& lines) const
{
    cli::api_answer answer;
    eventually(start_timeout,
               [&]
               {
                   answer = call(entry, {.method = "POST",
                                         .target = "/v1/batches",
                                         .content_type = "application/jsonl",
                                         .idempotency_key = key,
                                         .body = lines});
                   return answer.status != 503;
               });
    const auto id = text_field(parse_object(answer.body), "id");
    require(answer.status < 300 && !id.empty(),
            "job not accepted by entry-" + std::to_string(entry) + ": status " +
                std::to_string(answer.status) + " " + answer.error +
                answer.body);
    return id;
}

json::object fleet::job(int entry, const std::string& id) const
{
    return parse_object(call(entry, {.target = "/v1/batches/" + id}).body);
}

std::int64_t fleet::finished_items(int entry, const std::string& id) const
{
    const auto state = job(entry, id);
    const auto* counts = state.if_contains("request_counts");
    std::int64_t out = 0;
    if (counts != nullptr && counts->is_object())
        for (const auto* name : {"completed", "failed", "unknown"})
            if (const auto* it = counts->get_object().if_contains(name))
                out += it->to_number<std::int64_t>();
    return out;
}

bool fleet::wait_for_job(int entry, const std::string& id,
                         std::string_view status,
                         std::chrono::seconds timeout) const
{
    json::object last;
    const bool reached =
        eventually(timeout,
                   [&]
                   {
                       last = job(entry, id);
                       return text_field(last, "status") == status;
                   });
    if (!reached)
        BOOST_TEST_MESSAGE("job " << id << " does not reach status " << status
                                  << ": " << json::serialize(last));
    return reached;
}

std::multimap<std::string, std::string>
fleet::results(int entry, const std::string& id) const
{
    const auto answer =
        call(entry, {.target = "/v1/batches/" + id + "/results"});
    std::multimap<std::string, std::string> out;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);)
    {
        out.emplace(text_field(parse_object(line), "custom_id"), line);
    }
    return out;
}

std::string fleet::runner_of(int entry, const std::string& id) const
{
    return text_field(
        parse_object(
            call_operator(entry, {.target = "/operator/jobs/" + id}).body),
        "runner_host");
}

void fleet::set_fault(const std::string& stand_in,
                      const std::string& json) const
{
    const auto answer =
        call_port(stand_in_ports_.at(stand_in), {},
                  {.method = "POST", .target = "/control/fault", .body = json});
    require(answer.status == 200,
            stand_in + " rejects the fault " + json + ": " + answer.body);
}

json::object fleet::seen(const std::string& stand_in) const
{
    return parse_object(
        call_port(stand_in_ports_.at(stand_in), {}, {.target = "/control/seen"})
            .body);
}

std::int64_t fleet::engines_total(std::string_view counter) const
{
    std::int64_t out = 0;
    for (int n = 1; n <= options_.engines; ++n)
        out += seen("engine-" + std::to_string(n))
                   .at(counter)
                   .to_number<std::int64_t>();
    return out;
}

int fleet::caller_port(int entry) const
{
    return entry_port(base_port_, entry);
}

process& fleet::process_of(const std::string& name)
{
    return processes_.at(name);
}

void fleet::restart(const std::string& daemon)
{
    processes_.erase(daemon);
    start(daemon,
          {program_folder + "tanagertrackd", folder_ + "/" + daemon + ".yaml"});
}

void fleet::choose_ports()
{
    const auto all_free = [this]
    {
        std::vector<int> ports{base_port_};
        for (int n = 1; n <= options_.entries; ++n)
            for (int k = 0; k < 4; ++k)
                ports.push_back(entry_port(base_port_, n) + k);
        for (int n = 1; n <= options_.engines; ++n)
            ports.push_back(engine_port(base_port_, n));
        for (int n = 1; n <= options_.services; ++n)
            ports.push_back(service_port(base_port_, n));
        return std::all_of(ports.begin(), ports.end(), is_free);
    };
    std::uniform_int_distribution<int> range(0, port_ranges - 1);
    do
        base_port_ = first_port + range_ports * range(port_generator());
    while (!all_free());
}

void fleet::start_stand_ins()
{
    start_stand_in("store", base_port_, {"--kind", "store"});
    for (int n = 1; n <= options_.engines; ++n)
    {
        auto arguments = options_.engine_options;
        arguments.insert(arguments.end(), {"--kind", "engine", "--id",
                                           "scribi-" + std::to_string(n)});
        start_stand_in("engine-" + std::to_string(n),
                       engine_port(base_port_, n), arguments);
    }
    for (int n = 1; n <= options_.services; ++n)
        start_stand_in(
            "service-" + std::to_string(n), service_port(base_port_, n),
            {"--kind", "service", "--id", "carico-" + std::to_string(n)});
    for (const auto& it : stand_in_ports_)
        require(eventually(start_timeout,
                           [&] { return responds(it.second, "/healthz"); }),
                it.first + " does not respond on /healthz, see " + folder_ +
                    "/" + it.first + ".log");
}

void fleet::start_daemons()
{
    for (int n = 1; n <= options_.entries; ++n)
    {
        const auto path = folder_ + "/entry-" + std::to_string(n) + ".yaml";
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        auto settings = text.str() + options_.entry_settings;
        const std::string front_key = "front:\n";
        settings.insert(settings.find(front_key) + front_key.size(),
                        options_.front_settings);
        std::ofstream(path) << settings;
    }
    for (const auto& it : std::filesystem::directory_iterator(folder_))
    {
        const auto name = it.path().stem().string();
        if (it.path().extension() == ".yaml" && !name.starts_with("ticket"))
            restart(name);
    }
    for (int n = 1; n <= options_.entries; ++n)
        require(eventually(start_timeout,
                           [&] {
                               return responds(entry_port(base_port_, n),
                                               "/healthz");
                           }),
                "entry-" + std::to_string(n) +
                    " does not respond on /healthz, see " + folder_);
}

void fleet::apply_ticket()
{
    const cli::api_request request{.method = "POST",
                                   .target = "/operator/tickets",
                                   .content_type = "application/yaml",
                                   .body_file = folder_ + "/ticket-1.yaml"};
    cli::api_answer answer;
    require(eventually(start_timeout,
                       [&]
                       {
                           answer = call_operator(1, request);
                           return answer.status == 200;
                       }),
            "ticket 1 not accepted: status " + std::to_string(answer.status) +
                " " + answer.body);

    // Each entry has to be ready and to reach an engine.
    for (int n = 1; n <= options_.entries; ++n)
        require(eventually(start_timeout,
                           [&]
                           {
                               answer = call(n, chat("start", 1));
                               return answer.status == 200 &&
                                      responds(entry_port(base_port_, n),
                                               "/readyz");
                           }),
                "entry-" + std::to_string(n) + " is not ready: status " +
                    std::to_string(answer.status) + " " + answer.body);
}

void fleet::start(const std::string& name, std::vector<std::string> arguments)
{
    processes_.emplace(name, process(arguments, folder_ + "/" + name + ".log"));
}

void fleet::start_stand_in(const std::string& name, int port,
                           std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(),
                     {program_folder + "tanagertrack-standin", "--listen",
                      loopback_address(port)});
    stand_in_ports_[name] = port;
    start(name, std::move(arguments));
}

bool fleet::responds(int port, const std::string& path) const
{
    return call_port(port, {}, {.target = path}).status == 200;
}

cli::api_request chat(const std::string& content, int tokens, bool stream)
{
    return {.method = "POST",
            .target = "/v1/chat/completions",
            .content_type = "application/json",
            .body = chat_body(content, tokens, stream)};
}

std::string chat_body(const std::string& content, int tokens, bool stream)
{
    json::object message;
    message["role"] = "user";
    message["content"] = content;
    json::object out;
    out["model"] = "scribi";
    out["max_tokens"] = tokens;
    out["messages"] = json::array({message});
    if (stream)
        out["stream"] = true;
    return json::serialize(out);
}

std::string streamed_text(const std::string& body)
{
    std::string out;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);)
    {
        if (!line.starts_with("data: "))
            continue;
        const auto data = line.substr(6);
        if (data.starts_with("[DONE]"))
            return out;
        const auto chunk = json::parse(data);
        const auto& choice = chunk.at("choices").at(0).as_object();
        if (const auto* it =
                choice.at("delta").as_object().if_contains("content"))
            out += it->as_string();
    }
    return {};
}

std::string job_lines(int count, int tokens)
{
    std::string out;
    for (int n = 0; n < count; ++n)
    {
        const auto id = std::to_string(n);
        out += "{\"custom_id\":\"item-" + id +
               "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
               "\"body\":" +
               chat_body("crate " + id, tokens) + "}\n";
    }
    return out;
}

void check_results(const std::multimap<std::string, std::string>& results,
                   int count, int tokens)
{
    BOOST_TEST(results.size() == static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
    {
        const auto id = std::to_string(n);
        const auto found = results.find("item-" + id);
        const auto text = standin::answer_text(
            "crate " + id + "\n", static_cast<std::uint32_t>(tokens));
        const bool complete =
            results.count("item-" + id) == 1 &&
            found->second.find('"' + text + '"') != std::string::npos;
        if (!complete)
            BOOST_TEST_ERROR("item-"
                             << id << " has " << results.count("item-" + id)
                             << " results, expected one with its complete "
                                "answer; found: "
                             << (found == results.end() ? std::string()
                                                        : found->second));
    }
}

} // namespace tanagertrack::test
