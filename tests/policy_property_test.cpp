#include "policy/scheduler.hpp"

#include "policy_helpers.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace poplarramp;
using namespace poplarramp::testing;

namespace
{

constexpr int sequences = 150;
// Includes seed 824, where the only place for a large block is the one in the
// current packing.
constexpr int reclaim_sequences = 1000;
constexpr int steps = 400;
constexpr int per_rack = 2;

// A job that was submitted or adopted, with its last placement.
struct job_record
{
    job item;
    std::vector<placement_part> parts;
    bool borrowed = false;
    bool stopping = false;
};

// Reference model of one availability zone: drives a scheduler with random
// events and checks every decision against the state that follows from the
// decisions alone.
class scheduler_model
{
public:
    // `exact`: customers submit jobs of at least their guaranteed shape, so
    // that the number of unassigned blocks follows from the usage.
    scheduler_model(unsigned seed, bool exact)
        : zone_("z"), random_(seed), exact_(exact),
          accelerated_(4 + 2 * random_.below(3))
    {
        do
        {
            make_sheet();
            zone_.set_sheet(sheet_);
            add_all_servers();
        } while (!zone_.guarantees_reclaimable());
    }

    void step()
    {
        now_ += milliseconds(random_.below(2000));
        switch (random_.below(6))
        {
        case 0:
        case 1:
        case 2:
            submit_one();
            break;
        case 3:
            end_one();
            break;
        case 4:
            cancel_one();
            break;
        default:
            stop_victims();
        }
        decide();
    }

    // Every customer reclaims all its unassigned blocks at once.
    void reclaim_all()
    {
        for (const auto& id : std::exchange(queued_, {}))
        {
            CHECK(zone_.cancel(id));
        }
        stop_victims();
        decide();
        std::vector<std::string> expected;
        for (const auto& row : zone_.usage())
        {
            const int shape = shape_[row.customer];
            CHECK_EQUAL(row.guaranteed, row.in_guarantee + row.reclaimable);
            const int blocks = shape == 0 ? 0 : row.reclaimable / shape;
            for (int i = 0; i < blocks; ++i)
            {
                auto item = make_job(row.customer, next_key(), shape, now_);
                item.can_stop = random_.chance(50);
                expected.push_back(submit(item));
            }
        }
        decide();
        stop_victims();
        decide();
        for (const auto& id : expected)
        {
            CHECK_FALSE(id.empty());
            CHECK(placed_.count(id) == 1);
            CHECK_FALSE(placed_.at(id).borrowed);
        }
    }

    // Applies an event that may violate guarantees for some time. The tasks of
    // a removed server are lost with it.
    void apply_disturbance()
    {
        const int index = random_.below(accelerated_ + 2);
        const auto server = server_at(index);
        switch (random_.below(7))
        {
        case 0:
            for (const auto& id : zone_.remove_server(server.id))
            {
                requeue_after_loss(id);
            }
            break;
        case 1:
            zone_.set_schedulable(server.id, false);
            break;
        case 2:
            fail_one();
            break;
        case 3:
            sheet_.guarantees[0].count = random_.below(max_blocks_ + 1);
            zone_.set_sheet(sheet_);
            break;
        case 4:
            adopt_one(server);
            break;
        default:
            zone_.add_server(server);
        }
    }

    void step_disturbed()
    {
        undisturbed_ = false;
        apply_disturbance();
        step();
    }

    // Brings all servers back into service and runs until every job has ended.
    // Guarantees are suspended, because a pinned job that was accepted under
    // one sheet may not fit beside the guarantees of another.
    void run_to_end()
    {
        const auto guarantees = std::exchange(sheet_.guarantees, {});
        zone_.set_sheet(sheet_);
        for (int i = 0; i < accelerated_ + 2; ++i)
        {
            zone_.add_server(server_at(i));
        }
        int idle = 0;
        while (idle < 40)
        {
            now_ += milliseconds(10'000);
            stop_victims();
            idle = placed_.empty() ? idle + 1 : 0;
            while (!placed_.empty())
            {
                end_one();
            }
            decide();
        }
        CHECK_EQUAL(0, zone_.queued());
        sheet_.guarantees = guarantees;
        zone_.set_sheet(sheet_);
        CHECK(zone_.guarantees_reclaimable());
    }

    int preemptions() const
    {
        return preemptions_;
    }

private:
    void make_sheet()
    {
        sheet_ = {};
        availability_zone zone_spec{"z", "r", {}};
        for (int rack = 0; rack < accelerated_ / per_rack; ++rack)
        {
            zone_spec.racks.push_back(
                {"r" + std::to_string(rack), per_rack, 8});
        }
        sheet_.zones.push_back(zone_spec);
        for (const auto* name : {"a", "b", "c", "d"})
        {
            sheet_.customers.push_back({name, name[0] == 'd' ? 12 : 0, 1000});
        }
        for (const auto* name : {"a", "b", "c"})
        {
            const int shape = 1 << random_.below(6);
            shape_[name] = shape;
            const int count = 1 + random_.below(std::max(1, 16 / shape));
            sheet_.guarantees.push_back({name, "z", shape, count});
        }
        max_blocks_ = sheet_.guarantees[0].count;
    }

    void add_all_servers()
    {
        for (int i = 0; i < accelerated_ + 2; ++i)
        {
            const auto server = server_at(i);
            capacity_[server.id] = {server.accelerators, server.slots};
            zone_.add_server(server);
        }
    }

    std::string next_key()
    {
        return std::to_string(++last_key_);
    }

    std::string submit(const job& item)
    {
        auto id = job_id(item.request);
        if (const auto refused = zone_.submit(item, now_))
        {
            // Only a pinned job larger than its customer's guaranteed block may
            // be refused.
            CHECK(refused->code == result_code::never_fits);
            CHECK(is_pinned(item));
            CHECK(item.request.accelerators > shape_[item.request.customer]);
            return {};
        }
        all_jobs_[id].item = item;
        queued_.insert(id);
        return id;
    }

    int random_count(const std::string& customer)
    {
        static const std::array<int, 9> counts{0, 1, 2, 3, 4, 8, 12, 16, 20};
        const int requested = counts[static_cast<std::size_t>(
            random_.below(static_cast<int>(counts.size())))];
        if (customer == "d")
        {
            return std::min(requested, 12);
        }
        const int shape = shape_[customer];
        return exact_ && requested > 0 && requested < shape ? shape : requested;
    }

    void submit_one()
    {
        const std::string customer(1, "abcd"[random_.below(4)]);
        auto item =
            make_job(customer, next_key(), random_count(customer), now_);
        item.urgency_class =
            random_.chance(30) ? urgency::urgent : urgency::patient;
        item.can_stop = random_.chance(70);
        item.can_checkpoint = random_.chance(30);
        item.idempotent = random_.chance(80);
        item.expected_run = milliseconds(1000 + random_.below(60'000));
        submit(item);
    }

    template <class Map>
    std::string random_key(const Map& map)
    {
        auto it = map.begin();
        std::advance(it, random_.below(static_cast<int>(map.size())));
        return it->first;
    }

    server_info server_at(int index) const
    {
        return make_server(index, per_rack, index < accelerated_ ? 8 : 0);
    }

    // The job is queued again because its server was removed or failed the
    // task.
    void requeue_after_loss(const std::string& id)
    {
        zone_.requeue(id, placed_.at(id).parts.front().server, now_);
        placed_.erase(id);
        queued_.insert(id);
    }

    void fail_one()
    {
        if (!placed_.empty())
        {
            requeue_after_loss(random_key(placed_));
        }
    }

    void adopt_one(const server_info& server)
    {
        const auto item = make_job("d", next_key(), 0, now_);
        const placement_part place{server.id, 0};
        int tasks = 0;
        for (const auto& [id, other] : placed_)
        {
            for (const auto& share : other.parts)
            {
                tasks += share.server == server.id ? 1 : 0;
            }
        }
        if (tasks < server.slots)
        {
            zone_.adopt(item, {&place, 1}, now_);
            placed_[job_id(item.request)] = {item, {place}, true, false};
            all_jobs_[job_id(item.request)].item = item;
        }
    }

    void end_one()
    {
        if (!placed_.empty())
        {
            const auto id = random_key(placed_);
            zone_.on_ended(id, true, now_);
            placed_.erase(id);
        }
    }

    void cancel_one()
    {
        if (!queued_.empty())
        {
            auto it = queued_.begin();
            std::advance(it, random_.below(static_cast<int>(queued_.size())));
            CHECK(zone_.cancel(*it));
            queued_.erase(it);
        }
    }

    void stop_victims()
    {
        for (auto it = placed_.begin(); it != placed_.end();)
        {
            if (!it->second.stopping)
            {
                ++it;
                continue;
            }
            zone_.requeue(it->first, "", now_);
            queued_.insert(it->first);
            it = placed_.erase(it);
        }
    }

    void decide()
    {
        for (const auto& made_decision : zone_.decide(now_))
        {
            if (made_decision.kind == decision_kind::refuse)
            {
                CHECK(!undisturbed_);
                CHECK(made_decision.code == result_code::never_fits);
                CHECK_EQUAL(1U, queued_.erase(made_decision.job_id));
            }
            else if (made_decision.kind == decision_kind::place)
            {
                check_placement(made_decision);
            }
            else
            {
                check_preemption(made_decision);
            }
        }
        check_capacity();
        CHECK(!undisturbed_ || zone_.guarantees_reclaimable());
        CHECK_EQUAL(static_cast<int>(queued_.size()), zone_.queued());
        CHECK_EQUAL(static_cast<int>(placed_.size()), zone_.running());
    }

    void check_placement(const decision& made_decision)
    {
        CHECK_EQUAL(1U, queued_.erase(made_decision.job_id));
        auto& target = all_jobs_.at(made_decision.job_id);
        target.parts = made_decision.parts;
        target.borrowed = made_decision.borrowed;
        target.stopping = false;
        const int requested = target.item.request.accelerators;
        int sum = 0;
        std::set<std::string> servers;
        std::set<std::string> racks;
        for (const auto& share : made_decision.parts)
        {
            sum += share.accelerators;
            CHECK(servers.insert(share.server).second);
            racks.insert(
                share.server.substr(0, 1) +
                std::to_string(std::stoi(share.server.substr(1)) / per_rack));
        }
        CHECK_EQUAL(requested, sum);
        CHECK(requested > 8 || made_decision.parts.size() == 1);
        CHECK(requested > 8 * per_rack || racks.size() == 1);
        placed_[made_decision.job_id] = target;
        zone_.on_started(made_decision.job_id, now_);
    }

    void check_preemption(const decision& made_decision)
    {
        ++preemptions_;
        auto& victim = placed_.at(made_decision.job_id);
        CHECK_FALSE(victim.stopping);
        CHECK(!undisturbed_ || victim.borrowed);
        CHECK_FALSE(is_pinned(victim.item));
        CHECK(queued_.count(made_decision.for_job) == 1);
        const auto& preemptor = all_jobs_.at(made_decision.for_job).item;
        const bool reclaim = !made_decision.for_guarantee_of.empty();
        CHECK(reclaim || preemptor.urgency_class == urgency::urgent);
        CHECK(reclaim || victim.item.urgency_class == urgency::patient);
        victim.stopping = true;
    }

    void check_capacity()
    {
        std::map<std::string, std::pair<int, int>> used;
        std::map<std::string, int> by_customer;
        for (const auto& [id, item] : placed_)
        {
            for (const auto& share : item.parts)
            {
                used[share.server].first += share.accelerators;
                used[share.server].second += 1;
            }
            by_customer[item.item.request.customer] +=
                item.item.request.accelerators;
        }
        for (const auto& [server, taken] : used)
        {
            CHECK(taken.first <= capacity_.at(server).first);
            CHECK(taken.second <= capacity_.at(server).second);
        }
        CHECK(by_customer["d"] <= 12);
    }

    scheduler zone_;
    test_random random_;
    bool exact_;
    // True until the first disturbance: no server was removed and no guarantee
    // changed.
    bool undisturbed_ = true;
    int accelerated_;
    capacity_sheet sheet_;
    time_point now_ = start;
    int last_key_ = 0;
    int preemptions_ = 0;
    int max_blocks_ = 0;
    std::map<std::string, int> shape_;
    std::map<std::string, std::pair<int, int>> capacity_;
    std::map<std::string, job_record> all_jobs_;
    std::map<std::string, job_record> placed_;
    std::set<std::string> queued_;
};

} // namespace

TEST_GROUP(scheduler_properties){};

// Guards against a sequence of events after which a guarantee cannot be
// reclaimed, a gang is placed in part, capacity is allocated twice, a job is
// lost or a task within its guarantee is preempted.
TEST(scheduler_properties, invariants_hold_after_every_step)
{
    int preemptions = 0;
    for (unsigned seed = 0; seed < sequences; ++seed)
    {
        scheduler_model model(seed, false);
        for (int i = 0; i < steps; ++i)
        {
            model.step();
        }
        preemptions += model.preemptions();
    }
    CHECK(preemptions > sequences);
}

// Guards against guarantees that are reclaimable only by the scheduler's own
// accounting: all of them are reclaimed at once.
TEST(scheduler_properties, all_guarantees_are_reclaimable_at_once)
{
    for (unsigned seed = 0; seed < reclaim_sequences; ++seed)
    {
        scheduler_model model(seed, true);
        for (int i = 0; i < steps / 2; ++i)
        {
            model.step();
        }
        model.reclaim_all();
    }
}

// Guards against jobs that are lost, started twice or stuck when servers are
// removed, fail or return, guarantees change, or tasks are adopted.
TEST(scheduler_properties, every_job_ends_after_disturbances)
{
    for (unsigned seed = 0; seed < sequences; ++seed)
    {
        scheduler_model model(seed, false);
        for (int i = 0; i < steps / 2; ++i)
        {
            model.step_disturbed();
        }
        model.run_to_end();
    }
}

// Guards against starvation of a large job by a stream of small ones.
TEST(scheduler_properties, large_job_starts_under_a_stream_of_small_ones)
{
    scheduler zone("z");
    add_servers(zone, 1, 2, 8);
    auto now = start;
    std::map<std::string, time_point> ends;
    int key = 0;
    const auto run = [&](milliseconds until)
    {
        bool large = false;
        for (const auto end = now + until; now < end; now += milliseconds(500))
        {
            auto small = make_job("a", std::to_string(++key), 1, now);
            small.expected_run = milliseconds(12'000);
            zone.submit(small, now);
            for (auto it = ends.begin(); it != ends.end();)
            {
                const bool over = it->second <= now;
                if (over)
                {
                    zone.on_ended(it->first, true, now);
                }
                it = over ? ends.erase(it) : std::next(it);
            }
            for (const auto& made_decision : zone.decide(now))
            {
                zone.on_started(made_decision.job_id, now);
                ends[made_decision.job_id] = now + milliseconds(12'000);
                large = large || made_decision.job_id == "b/large";
            }
        }
        return large;
    };
    CHECK_FALSE(run(milliseconds(30'000)));
    auto large = make_job("b", "large", 16, now);
    large.expected_run = milliseconds(10'000);
    zone.submit(large, now);
    CHECK_FALSE(run(milliseconds(50'000)));
    CHECK(run(milliseconds(60'000)));
}
