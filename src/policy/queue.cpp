#include "policy/queue.hpp"

namespace poplarramp
{

bool operator<(const job_group_key& a, const job_group_key& b)
{
    const auto tied = [](const job_group_key& key)
    {
        return std::tie(key.priority,
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
                              ? item.accepted + default_deadline_offset
                              : item.deadline;
    return {deadline, item.accepted, item.number};
}

void job_queue::add(const queued_job& item)
{
    items_.emplace(item.number, item);
    auto& target = groups_[item.group];
    target.jobs.insert(order_of(item));
    ++waiting_[item.group.customer];
}

bool job_queue::remove(std::int64_t number)
{
    const auto found = items_.find(number);
    if (found == items_.end())
    {
        return false;
    }
    const auto owner = groups_.find(found->second.group);
    owner->second.jobs.erase(order_of(found->second));
    if (owner->second.jobs.empty())
    {
        groups_.erase(owner);
    }
    const auto count = waiting_.find(found->second.group.customer);
    if (--count->second == 0)
    {
        waiting_.erase(count);
    }
    items_.erase(found);
    return true;
}

void job_queue::change_class(std::int64_t number, queue_class priority)
{
    auto item = items_.at(number);
    remove(number);
    item.group.priority = priority;
    add(item);
}

const queued_job* job_queue::find(std::int64_t number) const
{
    const auto found = items_.find(number);
    return found == items_.end() ? nullptr : &found->second;
}

const job_group& job_queue::group_of(std::int64_t number) const
{
    return groups_.at(items_.at(number).group);
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
