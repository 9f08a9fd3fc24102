#include "config/ticket.hpp"

#include "common/endpoint.hpp"
#include "common/hash.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <span>

namespace tanagertrack::config
{

namespace
{

constexpr std::int64_t max_ticket_number = 1'000'000'000'000'000;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_list_entries = 256;
constexpr std::size_t max_rule_bytes = 512;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t key_hash_length = 32;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_port = 65535;
constexpr double max_rate = 1'000'000;
constexpr std::int64_t max_burst = 1'000'000;
constexpr std::int64_t max_jobs = 1'000'000;

constexpr std::array<std::string_view, 4> object_kinds{"targets", "models",
                                                       "services", "teams"};

int line_of(const YAML::Node& node)
{
    return node.Mark().line + 1;
}

std::string describe_found(const YAML::Node& node)
{
    if (node.IsScalar())
        return ", found '" + node.Scalar().substr(0, 64) + "'";
    if (node.IsMap())
        return ", found a mapping";
    if (node.IsSequence())
        return ", found a list";
    return ", found nothing";
}

bool is_name(std::string_view text)
{
    constexpr std::string_view accepted =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= max_name_bytes &&
           text.find_first_not_of(accepted) == std::string_view::npos;
}

constexpr std::string_view name_type =
    "a name of 1 to 128 letters, digits and . _ -";

/// Collects the errors of a document.
class error_list
{
public:
    error_list(std::string_view file, std::vector<setting_error>& errors)
        : file_(file), errors_(errors)
    {
    }

    /// Adds an error at the line of `node`.
    void add(const YAML::Node& node, std::string key, std::string message)
    {
        errors_.push_back(
            {file_, line_of(node), std::move(key), std::move(message)});
    }

    /// Adds an error for a node that is not of the expected type or range.
    void add_mismatch(const YAML::Node& node, std::string key,
                      std::string_view type)
    {
        add(node, std::move(key),
            "expected " + std::string(type) + describe_found(node));
    }

private:
    std::string file_;
    std::vector<setting_error>& errors_;
};

/// Reads the fields of one mapping. Missing and invalid fields are added to
/// `errors`; the value returned for them must not be used. `finish` reports the
/// fields that were never read.
class object_reader
{
public:
    object_reader(const YAML::Node& node, std::string path, error_list& errors)
        : node_(node), path_(std::move(path)), errors_(errors)
    {
        // A lookup in YAML::Node finds only one of two equal keys, so
        // duplicates are detected here.
        for (const auto& it : node)
        {
            if (!it.first.IsScalar())
                errors_.add_mismatch(it.first, path_, "a key");
            else if (find_field(it.first.Scalar()) != nullptr)
                errors_.add(it.first, key(it.first.Scalar()), "duplicate key");
            else
                fields_.push_back({it.first.Scalar(), it.first, it.second});
        }
    }

    /// Returns true if the mapping has the field, whether or not it was read.
    bool has(std::string_view name) const
    {
        return find_field(name) != nullptr;
    }

    std::string name(std::string_view name)
    {
        return text(name, name_type, is_name);
    }

    /// Reads a string that must be one of `choices`.
    std::string choice(std::string_view name,
                       std::span<const std::string_view> choices)
    {
        std::string type = "one of";
        for (const auto it : choices)
            type += " " + std::string(it);
        return text(name, type,
                    [choices](std::string_view value)
                    { return std::ranges::count(choices, value) != 0; });
    }

    /// Reads a string for which `accepts` returns true. `type` describes the
    /// accepted strings in errors.
    std::string text(std::string_view name, std::string_view type,
                     const std::function<bool(std::string_view)>& accepts)
    {
        const auto* node = find_required(name, type);
        if (node == nullptr)
            return {};
        if (node->IsScalar() && accepts(node->Scalar()))
            return node->Scalar();
        errors_.add_mismatch(*node, key(name), type);
        return {};
    }

    /// Reads a secret, whose value is never repeated in errors.
    std::string secret(std::string_view name)
    {
        constexpr std::string_view type =
            "a key of 1 to 256 bytes (or key_hash)";
        const auto* node = find_required(name, type);
        if (node == nullptr)
            return {};
        if (node->IsScalar() && !node->Scalar().empty() &&
            node->Scalar().size() <= max_key_bytes)
            return node->Scalar();
        errors_.add(*node, key(name), "expected " + std::string(type));
        return {};
    }

    /// Reads an integer in [min, max].
    std::int64_t integer(std::string_view name, std::int64_t min,
                         std::int64_t max)
    {
        const auto type = "an integer from " + std::to_string(min) + " to " +
                          std::to_string(max);
        std::int64_t n = min;
        const auto* node = find_required(name, type);
        if (node != nullptr &&
            (!node->IsScalar() ||
             !YAML::convert<std::int64_t>::decode(*node, n) || n < min ||
             n > max))
            errors_.add_mismatch(*node, key(name), type);
        return n;
    }

    /// Reads a number in (0, max].
    double real(std::string_view name, double max)
    {
        const auto type = "a number above 0, at most " +
                          std::to_string(static_cast<std::int64_t>(max));
        double n = 1;
        const auto* node = find_required(name, type);
        // Negated, so that NaN is rejected, too.
        if (node != nullptr &&
            (!node->IsScalar() || !YAML::convert<double>::decode(*node, n) ||
             !(n > 0 && n <= max)))
            errors_.add_mismatch(*node, key(name), type);
        return n;
    }

    bool flag(std::string_view name)
    {
        bool value = false;
        const auto* node = find_required(name, "true or false");
        if (node != nullptr &&
            (!node->IsScalar() || !YAML::convert<bool>::decode(*node, value)))
            errors_.add_mismatch(*node, key(name), "true or false");
        return value;
    }

    /// Reads a list of strings for each of which `accepts` returns true.
    /// Returns them sorted and without duplicates.
    std::vector<std::string>
    list(std::string_view name, std::string_view type,
         const std::function<bool(std::string_view)>& accepts)
    {
        std::vector<std::string> values;
        const auto list_type = "a list of at most " +
                               std::to_string(max_list_entries) +
                               " entries, each " + std::string(type);
        const auto* node = find_required(name, list_type);
        if (node == nullptr)
            return values;
        if (!node->IsSequence() || node->size() > max_list_entries)
        {
            errors_.add_mismatch(*node, key(name), list_type);
            return values;
        }
        for (const auto& it : *node)
        {
            if (it.IsScalar() && accepts(it.Scalar()))
                values.push_back(it.Scalar());
            else
                errors_.add_mismatch(it, key(name), type);
        }
        std::ranges::sort(values);
        values.erase(std::unique(values.begin(), values.end()), values.end());
        return values;
    }

    /// Returns the value of an optional field, or nullptr if it is missing.
    const YAML::Node* find_optional(std::string_view name)
    {
        auto* found = find_field(name);
        if (found == nullptr)
            return nullptr;
        found->used = true;
        return &found->value;
    }

    /// Adds an error for each field that was not read.
    void finish()
    {
        for (const auto& it : fields_)
        {
            if (!it.used)
                errors_.add(it.key, key(it.name), "unknown key");
        }
    }

    /// Returns the path of a field, as used in errors.
    std::string key(std::string_view name) const
    {
        return path_.empty() ? std::string(name)
                             : path_ + "." + std::string(name);
    }

    /// Sets the path of the mapping that later errors contain.
    void set_path(std::string path)
    {
        path_ = std::move(path);
    }

private:
    struct field
    {
        std::string name;
        YAML::Node key;
        YAML::Node value;
        bool used = false;
    };

    field* find_field(std::string_view name)
    {
        const auto found = std::ranges::find(fields_, name, &field::name);
        return found == fields_.end() ? nullptr : &*found;
    }

    const field* find_field(std::string_view name) const
    {
        const auto found = std::ranges::find(fields_, name, &field::name);
        return found == fields_.end() ? nullptr : &*found;
    }

    /// Returns the value of a field. Adds an error and returns nullptr if it is
    /// missing.
    const YAML::Node* find_required(std::string_view name,
                                    std::string_view type)
    {
        const auto* node = find_optional(name);
        if (node == nullptr)
            errors_.add(node_, key(name),
                        "missing; expected " + std::string(type));
        return node;
    }

    const YAML::Node& node_;
    std::string path_;
    error_list& errors_;
    std::vector<field> fields_;
};

/// Returns true for a rule of a service's `not_repeatable`:
/// "METHOD /path/prefix".
bool is_rule(std::string_view text)
{
    const auto space = text.find(' ');
    if (text.size() > max_rule_bytes || space == std::string_view::npos)
        return false;
    const auto method = text.substr(0, space);
    const auto path = text.substr(space + 1);
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    return !method.empty() &&
           method.find_first_not_of(letters) == std::string_view::npos &&
           path.starts_with('/') && path.find(' ') == std::string_view::npos;
}

bool is_key_hash(std::string_view text)
{
    return text.size() == key_hash_length &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Returns true for "KIND/NAME", for example "targets/lm-1".
bool is_object_path(std::string_view text)
{
    const auto slash = text.find('/');
    return slash != std::string_view::npos &&
           std::ranges::count(object_kinds, text.substr(0, slash)) != 0 &&
           is_name(text.substr(slash + 1));
}

// The overloads of read_object read all fields of an object except its name.
// The second parameter only selects the overload for the kind of object.

proto::TargetSpec read_object(object_reader& in, proto::TargetSpec)
{
    constexpr std::array<std::string_view, 2> kinds{"engine", "service"};
    constexpr std::array<std::string_view, 2> states{"active", "leaving"};
    proto::TargetSpec out;
    out.set_address(
        in.text("address", "an IPv4 or IPv6 address", common::is_ip_address));
    out.set_port(static_cast<std::uint32_t>(in.integer("port", 1, max_port)));
    out.set_data_centre(in.name("data_centre"));
    out.set_region(in.name("region"));
    out.set_kind(in.choice("kind", kinds));
    for (auto& it : in.list("models", name_type, is_name))
        out.add_models(std::move(it));
    out.set_checks_fencing(in.has("checks_fencing") &&
                           in.flag("checks_fencing"));
    out.set_state(in.has("state") ? in.choice("state", states) : "active");
    out.set_slots(
        static_cast<std::uint32_t>(in.integer("slots", 1, max_slots)));
    return out;
}

proto::ModelSpec read_object(object_reader&, proto::ModelSpec)
{
    // A model has no field except its name.
    return {};
}

proto::ServiceSpec read_object(object_reader& in, proto::ServiceSpec)
{
    proto::ServiceSpec out;
    if (!in.has("not_repeatable"))
        return out;
    for (auto& it : in.list("not_repeatable",
                            "a rule \"METHOD /path/prefix\" of at most 512 "
                            "bytes",
                            is_rule))
        out.add_not_repeatable(std::move(it));
    return out;
}

proto::TeamSpec read_object(object_reader& in, proto::TeamSpec)
{
    proto::TeamSpec out;
    if (in.has("key_hash") && !in.has("key"))
        out.set_key_hash(in.text("key_hash", "32 lower-case hexadecimal digits",
                                 is_key_hash));
    else
        out.set_key_hash(team_key_hash(in.secret("key")));
    out.set_requests_per_second(in.real("requests_per_second", max_rate));
    out.set_burst(
        static_cast<std::uint32_t>(in.integer("burst", 1, max_burst)));
    out.set_max_jobs(
        static_cast<std::uint32_t>(in.integer("max_jobs", 0, max_jobs)));
    return out;
}

/// Reads the list of objects of one kind. Duplicate names are errors.
template<typename Spec>
void read_objects(object_reader& document, std::string_view kind,
                  error_list& errors, std::uint64_t number,
                  std::vector<Spec>& out)
{
    const auto* list = document.find_optional(kind);
    if (list == nullptr)
        return;
    if (!list->IsSequence() || list->size() > max_ticket_objects)
    {
        errors.add_mismatch(*list, std::string(kind),
                            "a list of at most 10000 mappings");
        return;
    }

    std::set<std::string> seen;
    std::size_t index = 0;
    for (const auto& node : *list)
    {
        auto path = std::string(kind) + "[" + std::to_string(index++) + "]";
        if (!node.IsMap())
        {
            errors.add_mismatch(node, path, "a mapping");
            continue;
        }
        object_reader in(node, path, errors);
        auto name = in.name("name");
        if (!name.empty())
            in.set_path(std::string(kind) + "/" + name);
        auto spec = read_object(in, Spec());
        in.finish();
        if (!name.empty() && !seen.insert(name).second)
            errors.add(node, in.key("name"),
                       "duplicate object '" + std::string(kind) + "/" + name +
                           "'");
        spec.set_name(std::move(name));
        spec.set_ticket(number);
        out.push_back(std::move(spec));
    }
    std::ranges::sort(out, {}, &Spec::name);
}

void read_removed(object_reader& document, error_list& errors, ticket& out)
{
    const auto* list = document.find_optional("remove");
    if (list == nullptr)
        return;
    if (!list->IsSequence() || list->size() > max_ticket_objects)
    {
        errors.add_mismatch(*list, "remove",
                            "a list of at most 10000 KIND/NAME");
        return;
    }

    // A ticket must not change and remove the same object.
    const auto changed = changed_objects(out);
    std::set<std::string_view> seen(changed.begin(), changed.end());
    for (const auto& node : *list)
    {
        if (!node.IsScalar() || !is_object_path(node.Scalar()))
            errors.add_mismatch(node, "remove",
                                "targets/NAME, models/NAME, services/NAME or "
                                "teams/NAME");
        else if (!seen.insert(node.Scalar()).second)
            errors.add(node, "remove",
                       "duplicate object '" + node.Scalar() + "'");
        else
            out.removed.push_back(node.Scalar());
    }
    std::ranges::sort(out.removed);
}

void read_document(const YAML::Node& root, error_list& errors, ticket& out)
{
    object_reader document(root, "", errors);
    out.number = static_cast<std::uint64_t>(
        document.integer("ticket", 1, max_ticket_number));
    read_objects(document, "targets", errors, out.number, out.targets);
    read_objects(document, "models", errors, out.number, out.models);
    read_objects(document, "services", errors, out.number, out.services);
    read_objects(document, "teams", errors, out.number, out.teams);
    read_removed(document, errors, out);
    document.finish();
    const auto objects = out.targets.size() + out.models.size() +
                         out.services.size() + out.teams.size() +
                         out.removed.size();
    if (objects == 0 || objects > max_ticket_objects)
        errors.add(root, "ticket",
                   "expected 1 to 10000 objects, found " +
                       std::to_string(objects));
}

/// Adds one element of a ticket to the hash, after its length, which separates
/// it from the next one. Protobuf lite messages without maps are encoded to the
/// same bytes on all hosts.
void add_to_hash(common::incremental_hash& hash, std::string_view kind,
                 std::string_view content)
{
    hash.update(kind);
    const auto size = std::to_string(content.size());
    hash.update("\n" + size + "\n");
    hash.update(content);
}

} // namespace

std::vector<setting_error> parse_ticket(std::string_view file,
                                        std::string_view text, ticket& out)
{
    out = {};
    std::vector<setting_error> errors;
    error_list list(file, errors);
    if (text.size() > max_ticket_bytes)
        return {{std::string(file), 0, "",
                 "expected a document of at most 262144 bytes, found " +
                     std::to_string(text.size())}};
    try
    {
        const auto root = YAML::Load(std::string(text));
        if (!root.IsMap())
            list.add_mismatch(root, "", "a mapping");
        else
            read_document(root, list, out);
    }
    catch (const YAML::Exception& e)
    {
        errors.push_back({std::string(file), e.mark.line + 1, "",
                          "not valid YAML: " + e.msg});
    }
    return errors;
}

std::string content_hash(const ticket& value)
{
    common::incremental_hash hash;
    add_to_hash(hash, "ticket", std::to_string(value.number));
    for (const auto& it : value.targets)
        add_to_hash(hash, "target", it.SerializeAsString());
    for (const auto& it : value.models)
        add_to_hash(hash, "model", it.SerializeAsString());
    for (const auto& it : value.services)
        add_to_hash(hash, "service", it.SerializeAsString());
    for (const auto& it : value.teams)
        add_to_hash(hash, "team", it.SerializeAsString());
    for (const auto& it : value.removed)
        add_to_hash(hash, "removed", it);
    return hash.digest();
}

std::vector<std::string> changed_objects(const ticket& value)
{
    std::vector<std::string> objects;
    for (const auto& it : value.targets)
        objects.push_back("targets/" + it.name());
    for (const auto& it : value.models)
        objects.push_back("models/" + it.name());
    for (const auto& it : value.services)
        objects.push_back("services/" + it.name());
    for (const auto& it : value.teams)
        objects.push_back("teams/" + it.name());
    objects.insert(objects.end(), value.removed.begin(), value.removed.end());
    return objects;
}

std::string team_key_hash(std::string_view key)
{
    return common::to_hex(common::hash128(key));
}

} // namespace tanagertrack::config
