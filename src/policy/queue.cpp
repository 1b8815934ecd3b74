#include "policy/queue.hpp"

namespace poplarramp
{

bool operator<(const lane_key& a, const lane_key& b)
{
    const auto tied = [](const lane_key& key)
    {
        return std::tie(key.order,
                        key.customer,
                        key.accelerators,
                        key.pinned,
                        key.idempotent,
                        key.kind);
    };
    return tied(a) < tied(b);
}

job_order order_of(const queued_job& item)
{
    const auto deadline = item.deadline == no_deadline
                              ? item.accepted + default_patience
                              : item.deadline;
    return {deadline, item.accepted, item.number};
}

void job_queue::add(const queued_job& item)
{
    items_.emplace(item.number, item);
    auto& target = lanes_[item.lane];
    target.jobs.insert(order_of(item));
    ++waiting_[item.lane.customer];
}

bool job_queue::remove(std::int64_t number)
{
    const auto found = items_.find(number);
    if (found == items_.end())
    {
        return false;
    }
    const auto owner = lanes_.find(found->second.lane);
    owner->second.jobs.erase(order_of(found->second));
    if (owner->second.jobs.empty())
    {
        lanes_.erase(owner);
    }
    const auto count = waiting_.find(found->second.lane.customer);
    if (--count->second == 0)
    {
        waiting_.erase(count);
    }
    items_.erase(found);
    return true;
}

void job_queue::change_class(std::int64_t number, queue_class order)
{
    auto item = items_.at(number);
    remove(number);
    item.lane.order = order;
    add(item);
}

const queued_job* job_queue::find(std::int64_t number) const
{
    const auto found = items_.find(number);
    return found == items_.end() ? nullptr : &found->second;
}

const lane& job_queue::lane_of(std::int64_t number) const
{
    return lanes_.at(items_.at(number).lane);
}

int job_queue::waiting(const std::string& customer) const
{
    const auto found = waiting_.find(customer);
    return found == waiting_.end() ? 0 : found->second;
}

bool smaller_share(const customer_share& a, const customer_share& b)
{
    return a.used * b.guaranteed < b.used * a.guaranteed;
}

} // namespace poplarramp
