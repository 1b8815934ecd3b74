// Stand-in for the consumers of two tenants: hands jobs in at the front
// addresses, asks for them and checks the rule LOST.
#ifndef POPLARRAMP_REVIEW_CONSUMERS_HPP
#define POPLARRAMP_REVIEW_CONSUMERS_HPP

#include "base/time.hpp"
#include "http/client.hpp"
#include "review/standin/record.hpp"
#include "review/standin/workers.hpp"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace poplarramp::review
{

// A job of one step.
struct job_order
{
    std::string id;
    // 0 to 2: the queue "/q0/" to "/q2/", by priority.
    int queue = 0;
    int tasks = 1;
    bool gang = false;
    room need;
    task_work work;
    // Not 0: occurrences, the first one `first_due` from now; without an
    // interval all at once.
    int repetitions = 0;
    milliseconds first_due{0};
    milliseconds interval{0};
};

// The desired state of the operator: three queues of the service "svc".
Json::Value desired_state();

// Used on the control thread only.
class consumers
{
public:
    consumers(boost::asio::io_context& traffic,
              boost::asio::io_context& control,
              std::vector<std::string> fronts,
              fleet& workers,
              record& log);

    // Hands the job in until it is accepted, at one front after the other.
    void submit(const job_order& order);

    // Asks for the state of each accepted job once.
    void ask_for_all();

    // Asks each front for the `pending` of the queue and checks the rule MIXED.
    void ask_for_pending(int queue);
    // Answers that broke the rule MIXED.
    int wrong_counts() const
    {
        return wrong_counts_;
    }

    // Watches each accepted job for 3 s, as the rule LOST does after
    // `finish_s`. Then calls `done` with the jobs that break the rule.
    void check_lost(std::function<void(std::vector<std::string>)> done);

    // To be called every few milliseconds.
    void tick();

    std::size_t accepted() const;

private:
    struct submitted
    {
        job_order order;
        std::optional<time_point> accepted;
        std::string state;
        // Since when nothing of the job runs although its turn has come.
        time_point idle_since{};
    };

    void send(const std::string& id, std::size_t front);
    // Jobs of the queue that were accepted over `visible_ms` and 2 s before
    // `when` and have not begun.
    std::vector<std::string> waiting_in(int queue, time_point when) const;
    void on_pending(const std::string& front,
                    const std::vector<std::string>& waiting,
                    const http_reply& reply);
    bool idle_with_room(const submitted& job) const;

    http_client client_;
    const std::vector<std::string> fronts_;
    fleet& workers_;
    record& log_;
    std::map<std::string, submitted> jobs_;
    std::multimap<time_point, std::function<void()>> actions_;
    std::function<void(std::vector<std::string>)> checked_;
    time_point check_ends_{};
    time_point next_question_{};
    std::vector<std::string> lost_;
    std::size_t next_front_ = 0;
    int wrong_counts_ = 0;
};

} // namespace poplarramp::review

#endif
