#include "message_sizes.hpp"

#include "proto/peer.pb.h"
#include "proto/records.pb.h"

#include <cstdint>
#include <cstdio>
#include <string>

namespace tanagertrack::bench
{

namespace
{

/// Values of the design scale that set the length of numbers and names.
constexpr std::uint64_t typical_offset = 200000000;
constexpr std::uint32_t typical_partition = 97;
constexpr std::uint64_t typical_beat = 500000;
constexpr std::uint32_t held_partitions = 2;
constexpr std::uint64_t typical_unix_ms = 1796000000000;
constexpr std::size_t item_body_bytes = 600;
constexpr std::size_t result_body_bytes = 1200;

const std::string entry_name = "entry-rs-sul-poa-a-017";
const std::string target_name = "lm-retorno-poa-a-0017";
const std::string job_id = "batch-97-0123456789abcdef0123456789abcdef";

void print(const char* name, const google::protobuf::MessageLite& message)
{
    std::printf("| %s | %zu |\n", name, message.ByteSizeLong());
}

proto::PartitionRecord partition_record()
{
    proto::PartitionRecord record;
    record.set_writer(entry_name + "/0123456789abcdef");
    record.set_sequence(typical_beat);
    record.set_claim_offset(typical_offset);
    return record;
}

void print_control()
{
    proto::ControlRecord record;
    auto& beat = *record.mutable_heartbeat();
    beat.set_entry(entry_name);
    beat.set_address("10.20.30.40");
    beat.set_port(7001);
    beat.set_beat(typical_beat);
    for (std::uint32_t i = 0; i < held_partitions; ++i)
    {
        auto& held = *beat.add_partitions();
        held.set_partition(typical_partition);
        held.set_claim_offset(typical_offset);
        held.set_checkpoint_offset(typical_offset);
    }
    print("heartbeat of a holder of 2 partitions", record);
}

void print_partition()
{
    auto empty = partition_record();
    print("partition record without entries", empty);

    auto claim = partition_record();
    claim.add_entries()->mutable_claim()->set_replaces(typical_offset);
    claim.mutable_entries(0)->mutable_claim()->set_holder(entry_name);
    print("claim", claim);

    proto::Item item;
    item.set_custom_id("silver-recovery-2026-12-04-000123");
    item.set_model("lm-retorno");
    item.set_body(std::string(item_body_bytes, 'x'));
    print("item with a body of 600 bytes", item);

    proto::ItemResult result;
    result.set_item(140000);
    result.set_status(proto::ITEM_SUCCEEDED);
    result.set_http_status(200);
    result.set_body(std::string(result_body_bytes, 'x'));
    result.set_target(target_name);
    result.set_attempts(1);
    print("result with a body of 1,200 bytes", result);

    auto commit = partition_record();
    auto& job = *commit.add_entries()->mutable_job_commit();
    job.set_job_id(job_id);
    job.set_intake("0123456789abcdef0123456789abcdef");
    job.set_team("team-04711");
    job.set_idempotency_key("content-0123456789abcdef0123456789abcdef");
    job.set_content_hash(std::string(16, 'x'));
    job.set_item_count(140000);
    job.set_created_ms(typical_unix_ms);
    job.set_keep_until_ms(typical_unix_ms);
    print("job commit", commit);

    auto intent = partition_record();
    auto& call = *intent.add_entries()->mutable_intent();
    call.set_call_id("0123456789abcdef0123456789abcdef");
    call.set_content_hash(std::string(16, 'x'));
    call.set_target(target_name);
    print("intent of an online call", intent);
}

proto::TargetSpec target_spec()
{
    proto::TargetSpec target;
    target.set_name(target_name);
    target.set_address("10.20.30.40");
    target.set_agent_port(7101);
    target.set_data_centre("poa-a");
    target.set_region("rs-sul");
    target.set_kind("engine");
    target.add_models("lm-retorno");
    target.set_state("active");
    target.set_slots(32);
    target.set_ticket(typical_beat);
    return target;
}

void print_peer()
{
    proto::StatusDown down;
    down.set_entry(entry_name);
    down.set_config_version(typical_offset);
    print("status from an entry, configuration version only", down);
    *down.mutable_target() = target_spec();
    print("status from an entry with the target's configuration", down);

    proto::StatusDown fences;
    auto& fence = *fences.add_fences();
    fence.set_partition(typical_partition);
    fence.set_claim_offset(typical_offset);
    print("status from an entry with one fence", fences);

    proto::AgentStatus status;
    status.set_target(target_name);
    status.set_slots(32);
    status.set_running_online(12);
    status.set_running_batch(18);
    status.set_batch_credit(4);
    status.set_config_version(typical_offset);
    status.set_step_us(31000);
    status.set_first_token_us(420000);
    print("status from an agent", status);

    proto::WorkRequest work;
    work.set_work_id(job_id + "/140000/1");
    work.set_work_class(proto::WORK_BATCH);
    work.set_repeatable(true);
    work.set_team("team-04711");
    work.set_method("POST");
    work.set_path("/v1/chat/completions");
    work.set_content_type("application/json");
    work.set_deadline_ms(120000);
    work.set_partition(typical_partition);
    work.set_claim_offset(typical_offset);
    print("work request without its body", work);
}

void print_config()
{
    proto::FleetConfig config;
    *config.add_targets() = target_spec();
    print("configuration of one target", config);

    proto::TeamSpec team;
    team.set_name("team-04711");
    team.set_key_hash("0123456789abcdef0123456789abcdef");
    team.set_requests_per_second(50);
    team.set_burst(100);
    team.set_max_jobs(20);
    team.set_ticket(typical_beat);
    print("configuration of one team", team);
}

} // namespace

int run_message_sizes(int, char**)
{
    std::printf("| message | bytes |\n| --- | --- |\n");
    print_control();
    print_partition();
    print_peer();
    print_config();
    return 0;
}

} // namespace tanagertrack::bench
