#include "simulation.hpp"

#include <algorithm>

namespace tanagertrack::test
{

namespace
{

using namespace std::chrono_literals;
using state::record_verdict;

constexpr common::duration lease = 3s;
constexpr common::duration heartbeat_interval = 1s;
constexpr std::size_t part_bytes = 512;

void require(bool condition, const std::string& message)
{
    if (!condition)
        throw broken_invariant(message);
}

bool is_claim(const proto::PartitionRecord& record)
{
    return record.entries(0).has_claim();
}

} // namespace

simulated_holder::simulated_holder(simulation& world, std::string name)
    : world_(world), name_(std::move(name)), writer_(name_ + "/0"),
      table_(1, world.now_), lease_(lease)
{
}

void simulated_holder::step()
{
    if (paused)
        return;
    switch (world_.random(4))
    {
    case 0:
        read_control();
        break;
    case 1:
        read_batch();
        break;
    default:
        act();
    }
}

void simulated_holder::restart()
{
    writer_ = name_ + "/" + std::to_string(++generation_);
    state_.reset(1);
    table_ = state::holder_table(1, world_.now_);
    lease_ = state::lease_machine(lease);
    reading_ = false;
    control_next_ = 1;
    beat_ = 0;
    beat_times_.clear();
    in_flight_.reset();
    plan_.clear();
    running_.clear();
}

void simulated_holder::start_reading()
{
    const auto& log = world_.batch_;
    const auto checkpoint = table_.holder(0).checkpoint_offset;
    const bool silent = !table_.is_held(0, world_.now_, lease);
    if (log.first_kept() == 1)
        state_.reset(1);
    else if (checkpoint >= log.first_kept())
        state_.reset(checkpoint);
    else if (silent && control_next_ == world_.control_.next())
        state_.reset(log.first_kept());
    else
        return;
    reading_ = true;
}

void simulated_holder::read_batch()
{
    if (!reading_)
        start_reading();
    if (!reading_)
        return;
    auto next = state_.next_offset();
    if (next < world_.batch_.first_kept())
    {
        reading_ = false;
        lose();
        return;
    }
    const auto end = std::min(world_.batch_.next(), next + world_.random(10));
    for (; next < end && reading_; ++next)
        on_record(next, world_.batch_.at(next));
}

void simulated_holder::on_record(std::uint64_t offset,
                                 const proto::PartitionRecord& record)
{
    state::partition_hooks hooks;
    hooks.on_claimed =
        [&](const state::claim_info& current, const state::claim_info& replaced)
    {
        if (replaced.offset != 0 && replaced.offset == claim_)
            lose();
        if (current.writer != writer_ || lease_.claim_read(true, claim_time_) ==
                                             state::lease_action::nothing)
            return;
        claim_ = offset;
        sequence_ = 0;
        in_flight_.reset();
        last_beat_ = {};
        world_.fence(offset);
    };
    const bool own = record.writer() == writer_ && !is_claim(record) &&
                     record.claim_offset() == claim_;
    hooks.on_intent =
        [&](const proto::Intent& intent, state::intent_verdict verdict)
    {
        const bool call = !intent.call_id().empty();
        const work_id work{call ? intent.call_id() : intent.job_id(),
                           intent.item(), call};
        if (own && verdict == state::intent_verdict::valid &&
            lease_.may_dispatch(world_.now_) && world_.send(work, claim_))
            running_.insert(work);
    };
    hooks.on_job_cancelled = [&](const state::job& job)
    {
        if (own)
            world_.confirmed_cancels_.insert(job.id());
        std::erase_if(running_,
                      [&job](const work_id& it) { return it.id == job.id(); });
    };
    hooks.on_job_refused =
        [&](const proto::JobCommit& commit, state::commit_refusal reason)
    {
        require(!own || reason != state::commit_refusal::incomplete,
                "complete intake of " + commit.job_id() + " was refused");
    };
    hooks.on_released = [&](const state::claim_info&)
    {
        if (own)
            lose();
    };

    const bool was_live = state_.live();
    const auto verdict = state_.apply(offset, record, hooks);
    if (!was_live && state_.live())
    {
        // A void or resent record at the edge of what is kept can't be
        // told from a valid one; see partition_state.hpp.
        if (world_.is_void(state_.checkpoint_offset()))
        {
            restart();
            return;
        }
        world_.counts_.checkpoint_starts += is_claim(record) ? 0 : 1;
    }
    if (is_claim(record) && verdict == record_verdict::void_claim &&
        in_flight_ &&
        in_flight_->SerializeAsString() == record.SerializeAsString())
    {
        lease_.claim_read(false, world_.now_);
        in_flight_.reset();
    }
    if (in_flight_ && own && record.sequence() >= in_flight_->sequence())
        in_flight_.reset();
    if (!state_.live())
        lose();
    world_.check_agreement(state_);
}

void simulated_holder::lose()
{
    claim_ = 0;
    lease_.claim_read(false, world_.now_);
    lease_.release();
    lease_.replaced();
    lease_.dropped();
    in_flight_.reset();
    plan_.clear();
    running_.clear();
}

void simulated_holder::read_control()
{
    for (; control_next_ < world_.control_.next(); ++control_next_)
    {
        const auto& record = world_.control_.at(control_next_);
        table_.apply(record, world_.now_);
        const auto& beat = record.heartbeat();
        const auto sent = beat_times_.find(beat.beat());
        // The address tells heartbeats of an earlier process apart.
        if (beat.address() == writer_ && sent != beat_times_.end())
            lease_.heartbeat_read(sent->second, world_.now_);
    }
}

void simulated_holder::act()
{
    lease_.tick(world_.now_);
    if (claim_ != 0 && world_.now_ - last_beat_ >= heartbeat_interval)
        send_heartbeat();
    if (in_flight_)
    {
        if (world_.chance(50))
            resend();
        return;
    }
    switch (lease_.state())
    {
    case state::lease_state::none:
        try_claim();
        break;
    case state::lease_state::held:
    case state::lease_state::suspended:
        act_as_holder();
        break;
    default:
        break;
    }
}

void simulated_holder::try_claim()
{
    const bool at_end =
        reading_ && state_.next_offset() == world_.batch_.next();
    const bool due = !table_.due_for_takeover(world_.now_, lease).empty();
    if (!at_end || !due || world_.chance(50))
        return;
    const auto first_kept = state_.live() ? 0 : world_.batch_.first_kept();
    claim_time_ = world_.now_;
    lease_.claim();
    append(claim_record(writer_, state_.claim().offset, first_kept));
}

void simulated_holder::send_heartbeat()
{
    proto::ControlRecord record;
    auto* beat = record.mutable_heartbeat();
    beat->set_entry(name_);
    beat->set_address(writer_);
    beat->set_beat(++beat_);
    auto* held = beat->add_partitions();
    held->set_claim_offset(claim_);
    held->set_checkpoint_offset(state_.checkpoint_offset());
    beat_times_[beat_] = world_.now_;
    last_beat_ = world_.now_;
    world_.announced_claim_ = std::max(world_.announced_claim_, claim_);
    const auto copies = world_.random(10) == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i)
        world_.control_.append(record);
}

void simulated_holder::act_as_holder()
{
    if (!plan_.empty())
    {
        auto next = std::move(plan_.front());
        plan_.pop_front();
        next.set_sequence(++sequence_);
        append(std::move(next));
        return;
    }
    switch (world_.random(14))
    {
    case 0:
    case 1:
    case 2:
    case 3:
        plan_intake();
        break;
    case 4:
    case 5:
        dispatch();
        break;
    case 6:
    case 7:
        finish_work();
        break;
    case 8:
        if (world_.chance(30))
            write(cancel_entry("j" + std::to_string(world_.random(4))));
        break;
    case 9:
        plan_checkpoint();
        break;
    case 10:
        client_call();
        break;
    case 11:
    case 12:
        move_records();
        break;
    default:
        if (world_.chance(3) &&
            lease_.release() == state::lease_action::stop_and_release)
            write(release_entry());
    }
}

template<typename... Entries>
void simulated_holder::write(Entries... entries)
{
    append(record(writer_, claim_, ++sequence_, std::move(entries)...));
}

void simulated_holder::append(proto::PartitionRecord record)
{
    in_flight_ = std::move(record);
    resend();
}

void simulated_holder::resend()
{
    // Late: the log takes the record at some later time.
    const auto fate = world_.random(10);
    if (fate == 0)
        return;
    if (fate == 1)
        world_.delayed_.push_back(*in_flight_);
    else
        world_.deliver(*in_flight_);
}

void simulated_holder::plan_intake()
{
    const auto job = "j" + std::to_string(world_.random(4));
    const auto hash = world_.chance(90) ? "h" : "other";
    const auto intake = std::to_string(world_.random(1000000));
    // The size follows from the content.
    const auto count = static_cast<std::uint32_t>(hash[0] == 'h' ? 4 : 5);
    const auto split = static_cast<std::uint32_t>(1 + world_.random(count - 1));
    plan_.push_back(
        record(writer_, claim_, 0,
               chunk_entry(job, intake, 0, static_cast<int>(split))));
    plan_.push_back(record(
        writer_, claim_, 0,
        chunk_entry(job, intake, split, static_cast<int>(count - split))));
    plan_.push_back(
        record(writer_, claim_, 0, commit_entry(job, intake, count, hash)));
}

void simulated_holder::plan_checkpoint()
{
    if (state_.last_sequence() != sequence_)
        return;
    for (auto& part : state_.make_checkpoint(part_bytes))
        plan_.push_back(
            record(writer_, claim_, 0, checkpoint_entry(std::move(part))));
}

void simulated_holder::dispatch()
{
    std::optional<work_id> chosen;
    state_.for_each_job(
        [&](const state::job& job)
        {
            const auto from = static_cast<std::uint32_t>(world_.random(4));
            const auto item = job.next_pending(from);
            if (item && world_.chance(70))
                chosen = work_id{job.id(), *item};
        });
    if (!chosen)
        return;
    // A second attempt may start while the first one runs or its result is
    // being recorded, and a second intent is asked for now and then: the
    // verdicts have to sort this out.
    const auto& job = *state_.find_job(chosen->id);
    const bool careless = world_.chance(20);
    if (job.cancelled() && (!careless || is_repeatable(*chosen)))
        return;
    if (is_repeatable(*chosen))
    {
        if (lease_.may_dispatch(world_.now_) && world_.send(*chosen, claim_))
            running_.insert(*chosen);
    }
    else if (!job.has_intent(chosen->item) || careless)
        write(intent_entry(chosen->id, chosen->item));
    else
        write(result_entry(chosen->id, chosen->item, proto::ITEM_UNKNOWN));
}

void simulated_holder::finish_work()
{
    if (running_.empty())
        return;
    const auto work = *running_.begin();
    running_.erase(running_.begin());
    const auto status =
        world_.chance(80) ? proto::ITEM_SUCCEEDED : proto::ITEM_FAILED;
    if (work.call)
        write(outcome_entry(work.id));
    else
        write(result_entry(work.id, work.item, status));
}

void simulated_holder::client_call()
{
    write(call_intent_entry("c" + std::to_string(world_.random(6))));
}

void simulated_holder::move_records()
{
    const auto* job = state_.find_job("j" + std::to_string(world_.random(4)));
    if (job == nullptr)
        return;
    const auto& chunk = job->chunks()[0];
    auto moved = record(writer_, claim_, ++sequence_,
                        chunk_entry(job->id(), "n", chunk.first_item,
                                    static_cast<int>(chunk.item_count), true));
    for (std::uint32_t item = 0; item < job->item_count(); ++item)
        *moved.add_entries() =
            result_entry(job->id(), item, job->status(item), true);
    if (job->counts().pending == 0 && world_.chance(20))
        *moved.add_entries() = forget_entry(job->id());
    append(std::move(moved));
}

simulation::simulation(std::uint64_t seed) : random_(seed)
{
    fingerprints_.push_back(reference_.fingerprint());
    watch();
    for (const auto* name : {"a", "b", "c"})
        holders_.emplace_back(*this, name);
}

void simulation::run(unsigned steps)
{
    for (unsigned i = 0; i < steps; ++i)
    {
        now_ += std::chrono::milliseconds(random(100));
        auto& holder = holders_[random(holders_.size())];
        const auto fate = random(200);
        if (fate < 4)
            holder.paused = !holder.paused;
        else if (fate < 6)
            holder.restart();
        else if (fate == 6 && chance(50))
            expire();
        else if (fate < 14 && !delayed_.empty())
        {
            auto late = std::move(delayed_.front());
            delayed_.pop_front();
            deliver(std::move(late));
        }
        else
            holder.step();
    }
}

std::uint64_t simulation::random(std::uint64_t below)
{
    return random_() % below;
}

bool simulation::chance(unsigned percent)
{
    return random(100) < percent;
}

void simulation::deliver(proto::PartitionRecord record)
{
    const auto offset = batch_.append(std::move(record));
    follow(offset);
    if (getenv("TT_DBG"))
    {
        const auto& r = batch_.at(offset);
        fprintf(stderr, "%lu w=%s c=%lu s=%lu kind=%d", offset,
                r.writer().c_str(), r.claim_offset(), r.sequence(),
                (int)r.entries(0).kind_case());
        if (is_claim(r))
            fprintf(stderr, " replaces=%lu kept=%lu",
                    r.entries(0).claim().replaces(),
                    r.entries(0).claim().first_kept());
        fprintf(stderr, " -> claim %lu first_kept %lu\n",
                reference_.claim().offset, batch_.first_kept());
    } // DBG
}

void simulation::follow(std::uint64_t offset)
{
    const auto& record = batch_.at(offset);
    const auto before = reference_.fingerprint();
    const auto checkpoint = reference_.checkpoint_offset();
    const auto verdict = reference_.apply(offset, record, reference_hooks_);
    fingerprints_.push_back(reference_.fingerprint());
    if (verdict != record_verdict::valid)
        void_offsets_.insert(offset);
    if (verdict != record_verdict::valid)
        require(fingerprints_.back() == before, "a void record had an effect");
    else if (is_claim(record))
        follow_claim(record.entries(0).claim(), checkpoint);
    judge(record, offset, verdict);
}

void simulation::follow_claim(const proto::Claim& claim,
                              std::uint64_t checkpoint)
{
    const bool expired =
        claim.first_kept() > 1 && checkpoint < claim.first_kept();
    require(expired || claim.replaces() == rule_claim_,
            "a claim that does not replace the current one was valid");
    if (!expired)
        return;
    // All that was in the log is lost.
    ++counts_.fresh_starts;
    job_hashes_.clear();
    completions_.clear();
    confirmed_cancels_.clear();
    sends_.clear();
}

void simulation::judge(const proto::PartitionRecord& record,
                       std::uint64_t offset, record_verdict verdict)
{
    if (is_claim(record))
    {
        const bool replaces =
            record.entries(0).claim().replaces() == rule_claim_;
        require(!replaces || verdict == record_verdict::valid,
                "a claim that replaces the current one was void");
        if (verdict != record_verdict::valid)
            return;
        ++counts_.claims;
        counts_.takeovers += rule_claim_ != 0 ? 1 : 0;
        rule_claim_ = offset;
        rule_writer_ = record.writer();
        rule_released_ = false;
        rule_sequence_ = 0;
        return;
    }

    const bool current = record.claim_offset() == rule_claim_ &&
                         record.writer() == rule_writer_ && !rule_released_;
    const bool later = record.sequence() > rule_sequence_;
    require(current || verdict == record_verdict::void_claim,
            "a record of a replaced or released claim was not void");
    require(!current || later || verdict == record_verdict::void_sequence,
            "a resent record was not void");
    require(!current || !later || verdict == record_verdict::valid,
            "a record of the holder was void");
    counts_.void_claims += current ? 0 : 1;
    counts_.void_sequences += current && !later ? 1 : 0;
    if (verdict != record_verdict::valid)
        return;
    rule_sequence_ = record.sequence();
    for (const auto& entry : record.entries())
        rule_released_ = rule_released_ || entry.has_release();
    counts_.releases += rule_released_ ? 1 : 0;
}

void simulation::watch()
{
    reference_hooks_.on_job_accepted = [this](const state::job& job)
    {
        ++counts_.accepted;
        require(
            job_hashes_.emplace(job.id(), job.commit().content_hash()).second,
            "job " + job.id() + " was accepted twice");
    };
    reference_hooks_.on_job_refused =
        [this](const proto::JobCommit& commit, state::commit_refusal reason)
    {
        const auto known = job_hashes_.find(commit.job_id());
        const bool same = known != job_hashes_.end() &&
                          known->second == commit.content_hash();
        counts_.repeated += reason == state::commit_refusal::repeated ? 1 : 0;
        counts_.conflicts += reason == state::commit_refusal::conflict ? 1 : 0;
        require(same || reason != state::commit_refusal::repeated,
                "other content counted as the same job");
        require(!same || reason != state::commit_refusal::conflict,
                "the same content counted as a conflict");
    };
    reference_hooks_.on_item_completed =
        [this](const state::job& job, const proto::ItemResult& result)
    {
        ++counts_.completed;
        require(++completions_[{job.id(), result.item()}] == 1,
                "item of " + job.id() + " was completed twice");
    };
    reference_hooks_.on_job_cancelled = [this](const state::job&)
    {
        ++counts_.cancelled;
    };
    reference_hooks_.on_checkpoint = [this](std::uint64_t)
    {
        ++counts_.checkpoints;
    };
}

void simulation::expire()
{
    const auto checkpoint = reference_.checkpoint_offset();
    auto before = batch_.next();
    if (checkpoint != 0 && chance(90))
        before = checkpoint - random(std::min<std::uint64_t>(checkpoint, 10));
    // A claim is much younger than the retention until its first heartbeat.
    if (rule_claim_ >= before || announced_claim_ >= rule_claim_)
        batch_.expire_before(before);
}

void simulation::check_agreement(const state::partition_state& reader)
{
    if (!reader.live())
        return;
    require(reader.fingerprint() == fingerprints_.at(reader.next_offset() - 1),
            "two readers disagree after offset " +
                std::to_string(reader.next_offset() - 1));
}

bool simulation::is_void(std::uint64_t offset) const
{
    return void_offsets_.contains(offset);
}

void simulation::fence(std::uint64_t claim)
{
    fence_ = std::max(fence_, claim);
}

bool simulation::send(const work_id& work, std::uint64_t claim)
{
    if (claim < fence_)
    {
        ++counts_.refused_by_fence;
        return false;
    }
    require(work.call || !confirmed_cancels_.contains(work.id),
            "an item of " + work.id + " was sent after its cancel");
    const auto sent = ++sends_[work];
    require(is_repeatable(work) || sent == 1,
            "work that may not be repeated was sent twice: " + work.id);
    counts_.sent_once += is_repeatable(work) ? 0 : 1;
    counts_.sent_repeatable += is_repeatable(work) ? 1 : 0;
    return true;
}

} // namespace tanagertrack::test
