// An engine in trouble sends bytes without end in place of the answers to batch
// items.

#include "../standin-2/standin.hpp"

using namespace review;

namespace
{

constexpr int jobs = 6;
constexpr int items_per_job = 10;

/// Time for which one of the three engines is in trouble.
constexpr auto trouble_time = 5s;
constexpr auto finish_time = 18s;

struct submitted_job
{
    std::string id = random_id();
    std::vector<std::string> items;
    int status = 0;
};

void submit(submitted_job& job, const entry& at)
{
    json::array items;
    for (int n = 0; n < items_per_job; ++n)
    {
        job.items.push_back(random_id());
        items.push_back(json::object{
            {"id", job.items.back()},
            {"path", "/jobs/" + std::to_string(n)},
            {"headers",
             json::object{{"X-Tanagertrack-Model", "m"},
                          {"X-Tanagertrack-Token-Usage", "350,120"},
                          {"X-Tanagertrack-Prompt-Prefix",
                           random_id() + ":100," + random_id() + ":250"}}},
            {"body", base64("summary " + std::to_string(n))},
            {"tokenCount", 470}});
    }
    job.status = call(at.front(), "POST", "/jobs/" + job.id,
                      {{"Host", "a.example"},
                       {"X-Tanagertrack-Request-Id", job.id},
                       {"X-Tanagertrack-Deadline-Ms", "4000"}},
                      json::serialize(json::object{{"items", items}}))
                     .status();
}

int play(record& log, const std::string& folder)
{
    const char* option = std::getenv("TROUBLE");
    const bool trouble = option == nullptr || std::string(option) != "0";

    // The stand-ins stay in use until the process ends.
    auto& platform = *new store();
    platform.put("keyed.op", "config", configuration(2'600'000));
    constexpr unsigned events = 20;
    std::vector<engine*> engines;
    for (int n = 1; n <= 3; ++n)
        engines.push_back(
            new engine("i-lm-" + std::to_string(n), "lm", events, 20ms));
    new heartbeats(platform, engines);
    entry one(platform, {"front-za-1"}, folder);
    one.start();
    if (!one.wait_until_ready(15s))
        throw cannot_run("the entry does not become ready");

    engines.front()->set_endless(trouble);
    std::vector<submitted_job> all(jobs);
    for (auto& it : all)
    {
        submit(it, one);
        log.line("job " + it.id + " with " + std::to_string(items_per_job) +
                 " items: " + std::to_string(it.status));
        if (it.status != 202)
            throw cannot_run("a job was not accepted");
    }
    std::this_thread::sleep_for(trouble_time);
    engines.front()->set_endless(false);
    std::this_thread::sleep_for(finish_time);
    log.line("answers without end: " +
             std::to_string(engines.front()->endless_answers()) +
             "; no engine has answered an item with 422 or 500");

    int listed = 0;
    int wrong = 0;
    for (const auto& job : all)
    {
        const auto answer =
            call(one.front(), "GET", "/tanagertrack/lots/" + job.id + "?after=0",
                 {{"Host", "a.example"}}, {});
        if (answer.status() != 200)
            throw cannot_run("a job can't be read");
        const auto page = json::parse(answer.body);
        for (const auto& it : page.at("results").as_array())
        {
            ++listed;
            const std::string id(it.at("id").as_string());
            const std::string state(it.at("state").as_string());
            std::string expected;
            for (unsigned n = 0; n < events; ++n)
                expected += (n == 0 ? "" : "\n") + id + "-" + std::to_string(n);
            if (state == "succeeded" && it.at("text").as_string() == expected)
                continue;
            ++wrong;
            log.line("item " + id + " of job " + job.id + ": " + state + ", " +
                     std::to_string(it.at("text").as_string().size()) +
                     " bytes of text");
        }
    }
    log.line(std::to_string(listed) + " of " +
             std::to_string(jobs * items_per_job) + " items listed, " +
             std::to_string(wrong) + " of them dead_lettered or wrong");
    return wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::_Exit(run_case(play, argc > 1 ? argv[1] : "."));
}
