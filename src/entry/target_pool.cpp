#include "entry/target_pool.hpp"

#include "common/clock.hpp"
#include "common/hash.hpp"
#include "common/logging.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"
#include "entry/target_link.hpp"
#include "routing/slow_target_detector.hpp"
#include "routing/target_choice.hpp"
#include "transport/peer_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace tanagertrack::entry
{

using common::result_code;

namespace
{

struct text_hash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

template<typename Value>
using text_table =
    std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

using text_set = std::unordered_set<std::string, text_hash, std::equal_to<>>;

/// One attempt under way.
struct attempt
{
    target_link* link = nullptr;
    transport::message_stream_ptr stream;
    attempt_hooks hooks;
    proto::WorkClass work_class = proto::WORK_ONLINE;
    bool accepted = false;
};

proto::WorkFailed make_failure(result_code code)
{
    proto::WorkFailed failure;
    failure.set_code(static_cast<std::uint32_t>(code));
    failure.set_may_have_run(true);
    return failure;
}

proto::WorkRefused make_refusal(result_code code)
{
    proto::WorkRefused refusal;
    refusal.set_code(static_cast<std::uint32_t>(code));
    return refusal;
}

bool same_address(const proto::TargetSpec& a, const proto::TargetSpec& b)
{
    return a.address() == b.address() && a.agent_port() == b.agent_port();
}

routing::slow_target_settings detector_settings(const config::settings& it)
{
    routing::slow_target_settings settings;
    settings.enabled = it.routing.slow_targets == "avoid";
    return settings;
}

} // namespace

struct target_pool::impl
{
    using config_ptr = std::shared_ptr<const proto::FleetConfig>;

    impl(boost::asio::io_context& owner, const config::settings& values,
         common::metrics_registry& metrics)
        : context(owner), settings(values), random(std::random_device()()),
          choice(routing::parse_choice_policy(values.routing.policy),
                 [this](std::size_t n) { return random_below(n); }),
          detector(detector_settings(values)),
          up_gauge(metrics.get_gauge("tanagertrack_targets_connected",
                                     "targets with a connection")),
          online_attempts(metrics.get_counter("tanagertrack_attempts_total",
                                              "attempts sent to agents",
                                              {{"class", "online"}})),
          batch_attempts(metrics.get_counter("tanagertrack_attempts_total",
                                             "attempts sent to agents",
                                             {{"class", "batch"}})),
          lost_attempts(
              metrics.get_counter("tanagertrack_attempts_lost_total",
                                  "attempts whose connection was lost"))
    {
    }

    std::size_t random_below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    }

    // ---- configuration ----

    text_set choose_targets(const proto::FleetConfig& fleet) const;
    void remove_links(const text_table<const proto::TargetSpec*>& specs,
                      const text_set& wanted);
    void add_link(const proto::TargetSpec& spec);
    void index_models();
    void retire(std::unique_ptr<target_link> link);
    void release_retired();

    // ---- attempts ----

    target_link* choose(std::string_view model, proto::WorkClass work_class,
                        std::span<const std::string> excluded);
    attempt_id open(target_link& link, const proto::WorkRequest& request,
                    attempt_hooks& hooks);
    void message(attempt_id id, std::string_view data);
    void closed(attempt_id id, std::error_code ec);
    void status(const target_link& link);
    void update_gauge();

    /// Takes the attempt out of the table and calls `tell` with its hooks.
    template<typename Tell>
    void end(attempt_id id, Tell tell)
    {
        const auto it = attempts.find(id);
        auto ended = std::move(it->second);
        attempts.erase(it);
        drop(ended);
        tell(ended.hooks);
    }

    void drop(const attempt& it)
    {
        it.link->note_ended(it.work_class);
        --it.link->attempts;
        if (it.link->attempts == 0 && !retired.empty())
            boost::asio::post(context, [this] { release_retired(); });
    }

    boost::asio::io_context& context;
    const config::settings& settings;
    std::mt19937_64 random;
    routing::target_choice choice;
    routing::slow_target_detector detector;
    common::gauge& up_gauge;
    common::counter& online_attempts;
    common::counter& batch_attempts;
    common::counter& lost_attempts;

    config_ptr config;
    text_set known_models;
    std::vector<proto::Fence> fences;
    text_set leaving_hosts;
    std::function<void()> credit_hook;

    text_table<std::unique_ptr<target_link>> links;
    text_table<std::vector<target_link*>> by_model;

    /// Links of removed targets that still have attempts.
    std::vector<std::unique_ptr<target_link>> retired;
    attempt_id last_id = 0;
    std::unordered_map<attempt_id, attempt> attempts;

    // Reused by `choose`, which runs for each request.
    std::vector<target_link*> usable;
    std::vector<routing::candidate> candidates;
};

// ---- configuration ----

text_set
target_pool::impl::choose_targets(const proto::FleetConfig& fleet) const
{
    // Leaving targets take no place in the subset of a model.
    std::map<std::string_view, std::vector<routing::subset_member>> members;
    for (const auto& it : fleet.targets())
    {
        if (it.state() == "leaving")
            continue;
        for (const auto& model : it.models())
            members[model].push_back(
                {it.name(), {it.data_centre(), it.region()}});
    }
    const routing::location here{settings.data_centre, settings.region};
    text_set wanted;
    for (const auto& [model, list] : members)
    {
        for (const auto index : routing::choose_subset(
                 settings.name, here, list, settings.routing.subset_size))
            wanted.emplace(list[index].name);
    }
    return wanted;
}

void target_pool::impl::remove_links(
    const text_table<const proto::TargetSpec*>& specs, const text_set& wanted)
{
    for (auto it = links.begin(); it != links.end();)
    {
        const auto spec = specs.find(it->first);
        const bool keep =
            spec != specs.end() &&
            same_address(it->second->spec(), *spec->second) &&
            (wanted.contains(it->first) || spec->second->state() == "leaving");
        if (keep)
        {
            ++it;
            continue;
        }
        detector.remove(it->first);
        retire(std::move(it->second));
        it = links.erase(it);
    }
}

void target_pool::impl::retire(std::unique_ptr<target_link> link)
{
    retired.push_back(std::move(link));
    boost::asio::post(context, [this] { release_retired(); });
}

void target_pool::impl::release_retired()
{
    std::erase_if(retired, [](const auto& it) { return it->attempts == 0; });
    update_gauge();
}

void target_pool::impl::add_link(const proto::TargetSpec& spec)
{
    const auto it = links.find(spec.name());
    if (it != links.end())
    {
        if (it->second->spec().SerializeAsString() != spec.SerializeAsString())
            it->second->set_spec(spec, config->version());
        else
            it->second->set_version(config->version());
        return;
    }
    auto slot = std::make_shared<target_link*>(nullptr);
    link_hooks hooks;
    hooks.on_status = [this, slot](const proto::AgentStatus&)
    {
        status(**slot);
    };
    hooks.on_change = [this]
    {
        update_gauge();
    };
    auto link = std::make_unique<target_link>(
        context, transport::make_peer_options(settings), settings.name,
        random(), std::move(hooks));
    *slot = link.get();
    link->far =
        routing::distance_between({settings.data_centre, settings.region},
                                  {spec.data_centre(), spec.region()});
    link->set_host_leaving(leaving_hosts.contains(spec.address()));
    link->set_fences(fences);
    link->start(spec, config->version());
    links.emplace(spec.name(), std::move(link));
}

void target_pool::impl::index_models()
{
    by_model.clear();
    for (const auto& [name, link] : links)
    {
        for (const auto& model : link->spec().models())
            by_model[model].push_back(link.get());
    }
    known_models.clear();
    for (const auto& it : config->models())
        known_models.insert(it.name());
    for (const auto& it : config->services())
        known_models.insert(it.name());
}

void target_pool::impl::update_gauge()
{
    const auto n = std::ranges::count_if(links, [](const auto& it)
                                         { return it.second->is_up(); });
    up_gauge.set(n);
}

// ---- attempts ----

target_link* target_pool::impl::choose(std::string_view model,
                                       proto::WorkClass work_class,
                                       std::span<const std::string> excluded)
{
    const auto list = by_model.find(model);
    if (list == by_model.end())
        return nullptr;
    const auto now = common::clock::now();
    const bool batch = work_class == proto::WORK_BATCH;
    const auto collect = [&](bool with_slow)
    {
        usable.clear();
        candidates.clear();
        for (auto* it : list->second)
        {
            const auto& name = it->spec().name();
            const bool possible =
                it->accepts_work() && !(batch && it->batch_credit() == 0) &&
                std::ranges::find(excluded, name) == excluded.end();
            if (!possible)
                continue;

            // Batch work keeps running on slow targets; it is not urgent and
            // shows when they are fast again.
            const double share = batch ? 1 : detector.share(name, now);
            if (share <= 0 && !with_slow)
                continue;
            usable.push_back(it);
            candidates.push_back(
                {it->load(work_class), it->far, share > 0 ? share : 1});
        }
    };
    collect(false);
    if (usable.empty())
        collect(true);
    if (usable.empty())
        return nullptr;
    auto* chosen = usable[choice.choose(candidates)];
    if (!batch)
        detector.chosen(chosen->spec().name(), now);
    return chosen;
}

attempt_id target_pool::impl::open(target_link& link,
                                   const proto::WorkRequest& request,
                                   attempt_hooks& hooks)
{
    const auto id = ++last_id;
    transport::stream_hooks events;
    events.on_message = [this, id](std::string_view data)
    {
        message(id, data);
    };
    events.on_closed = [this, id](std::error_code ec)
    {
        closed(id, ec);
    };
    auto stream = link.open_work(std::move(events));
    if (!stream)
        return 0;
    stream->send(request);
    stream->finish();

    const auto work_class = request.work_class();
    (work_class == proto::WORK_BATCH ? batch_attempts : online_attempts).add();
    link.note_sent(work_class);
    ++link.attempts;
    attempts.emplace(id, attempt{&link, std::move(stream), std::move(hooks),
                                 work_class, false});
    return id;
}

void target_pool::impl::message(attempt_id id, std::string_view data)
{
    auto it = attempts.find(id);
    if (it == attempts.end())
        return;
    proto::WorkEvent event;
    if (!event.ParseFromArray(data.data(), static_cast<int>(data.size())))
    {
        it->second.stream->reset();
        return end(
            id, [](attempt_hooks& hooks)
            { hooks.on_failed(make_failure(result_code::protocol_error)); });
    }
    // The status says what is free after this attempt, so the attempt is
    // taken off the count first.
    const auto kind = event.kind_case();
    auto* link = it->second.link;
    const auto with_status = [&](auto tell)
    {
        end(id,
            [&](attempt_hooks& hooks)
            {
                if (event.has_status())
                    link->take_status(event.status());
                tell(hooks);
            });
    };
    switch (kind)
    {
    case proto::WorkEvent::kAccepted:
        it->second.accepted = true;
        if (it->second.hooks.on_accepted)
            it->second.hooks.on_accepted();
        break;
    case proto::WorkEvent::kText:
        if (it->second.hooks.on_text)
            it->second.hooks.on_text(event.text());
        break;
    case proto::WorkEvent::kFinished:
        with_status([&](attempt_hooks& hooks)
                    { hooks.on_finished(event.finished()); });
        break;
    case proto::WorkEvent::kFailed:
        with_status([&](attempt_hooks& hooks)
                    { hooks.on_failed(event.failed()); });
        break;
    case proto::WorkEvent::kPreempted:
        with_status([&](attempt_hooks& hooks)
                    { hooks.on_preempted(event.preempted()); });
        break;
    case proto::WorkEvent::kRefused:
        with_status([&](attempt_hooks& hooks)
                    { hooks.on_refused(event.refused()); });
        break;
    case proto::WorkEvent::KIND_NOT_SET:
        break;
    }
}

void target_pool::impl::closed(attempt_id id, std::error_code ec)
{
    const auto it = attempts.find(id);
    if (it == attempts.end())
        return;

    // The agent's refusal of the stream proves that it saw no message. In all
    // other cases the request may have been read.
    if (ec == make_error_code(result_code::shutting_down) &&
        !it->second.accepted)
        return end(
            id, [](attempt_hooks& hooks)
            { hooks.on_refused(make_refusal(result_code::shutting_down)); });
    lost_attempts.add();
    const auto code = ec == make_error_code(result_code::protocol_error) || !ec
                          ? result_code::protocol_error
                          : result_code::connection_lost;
    end(id,
        [code](attempt_hooks& hooks) { hooks.on_failed(make_failure(code)); });
}

void target_pool::impl::status(const target_link& link)
{
    const auto& it = link.status();
    detector.report(link.spec().name(), link.pool(),
                    {it.step_us(), it.first_token_us()}, common::clock::now());
    if (credit_hook && link.accepts_work() && link.batch_credit() > 0)
        credit_hook();
}

// ---- interface ----

target_pool::target_pool(boost::asio::io_context& context,
                         const config::settings& settings,
                         common::metrics_registry& metrics)
    : impl_(std::make_unique<impl>(context, settings, metrics))
{
}

target_pool::~target_pool() = default;

void target_pool::set_config(std::shared_ptr<const proto::FleetConfig> config)
{
    auto& it = *impl_;
    if (it.config && config->version() <= it.config->version())
        return;
    it.config = std::move(config);
    text_table<const proto::TargetSpec*> specs;
    for (const auto& spec : it.config->targets())
        specs.emplace(spec.name(), &spec);

    const auto wanted = it.choose_targets(*it.config);
    it.remove_links(specs, wanted);
    for (const auto& [name, spec] : specs)
    {
        // A leaving target keeps its connection, but gets no new one.
        if (wanted.contains(name) || it.links.contains(name))
            it.add_link(*spec);
    }
    it.index_models();
    it.update_gauge();
}

void target_pool::set_fences(std::vector<proto::Fence> fences)
{
    impl_->fences = std::move(fences);
    for (const auto& [name, link] : impl_->links)
        link->set_fences(impl_->fences);
}

void target_pool::set_leaving_hosts(std::span<const std::string> addresses)
{
    impl_->leaving_hosts = text_set(addresses.begin(), addresses.end());
    for (const auto& [name, link] : impl_->links)
        link->set_host_leaving(
            impl_->leaving_hosts.contains(link->spec().address()));
}

bool target_pool::knows_model(std::string_view model) const
{
    return impl_->known_models.contains(model);
}

started_attempt target_pool::start(const proto::WorkRequest& request,
                                   const attempt_route& route,
                                   attempt_hooks hooks)
{
    std::vector<std::string> excluded(route.excluded.begin(),
                                      route.excluded.end());
    for (;;)
    {
        auto* link = impl_->choose(route.model, request.work_class(), excluded);
        if (link == nullptr)
            return {};
        const auto id = impl_->open(*link, request, hooks);
        if (id != 0)
            return {id, link->spec().name()};

        // The connection has no stream left; another one may have.
        excluded.push_back(link->spec().name());
    }
}

void target_pool::cancel(attempt_id id)
{
    const auto it = impl_->attempts.find(id);
    if (it == impl_->attempts.end())
        return;
    const auto ended = std::move(it->second);
    impl_->attempts.erase(it);
    impl_->drop(ended);
    ended.stream->reset();
}

void target_pool::pause(attempt_id id, bool paused)
{
    const auto it = impl_->attempts.find(id);
    if (it != impl_->attempts.end())
        it->second.stream->pause_reading(paused);
}

std::size_t target_pool::batch_credit(std::string_view model) const
{
    const auto list = impl_->by_model.find(model);
    if (list == impl_->by_model.end())
        return 0;
    std::size_t total = 0;
    for (const auto* it : list->second)
    {
        if (it->accepts_work())
            total += it->batch_credit();
    }
    return total;
}

void target_pool::on_batch_credit(std::function<void()> hook)
{
    impl_->credit_hook = std::move(hook);
}

const std::vector<proto::Fence>& target_pool::fences() const
{
    return impl_->fences;
}

std::vector<proto::AgentStatus> target_pool::statuses() const
{
    std::vector<proto::AgentStatus> all;
    for (const auto& [name, link] : impl_->links)
    {
        auto status = link->status();
        status.set_leaving(link->is_leaving());
        all.push_back(std::move(status));
    }
    return all;
}

} // namespace tanagertrack::entry
