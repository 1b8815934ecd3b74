// One change of the configuration by an operator: provisional closing, write of
// the configuration row, and confirmation by the entry VMs.
#ifndef POPLARRAMP_CONTROL_CONFIG_CHANGE_HPP
#define POPLARRAMP_CONTROL_CONFIG_CHANGE_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/config_edit.hpp"
#include "control/config_row.hpp"
#include "control/config_state.hpp"
#include "control/controller.hpp"
#include "control/membership.hpp"
#include "inner/peer_api.hpp"
#include "services/table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace poplarramp
{

// The entry VM that received the change tries to write it for 5 s. After this
// delay other entry VMs take over and make the closing durable.
constexpr milliseconds closing_takeover_delay{6000};

struct config_change_hooks
{
    table store;
    peer_api peers;
    std::function<time_point()> now;
    std::function<std::uint64_t()> random;
    // Configuration view of this entry VM; the change updates it.
    config_state* view = nullptr;
    const membership* members = nullptr;
    std::string vm;
    // Called after each change of `view`; must notify the scheduler.
    std::function<void()> on_view_changed;
};

// Not thread safe; used on the control thread only. Precondition: the objects
// that `hooks` points to outlive the change.
class config_change : public std::enable_shared_from_this<config_change>
{
public:
    // `done` is called exactly once, possibly before `start` returns.
    config_change(config_change_hooks hooks,
                  config_edit edit,
                  std::function<void(change_reply)> done);

    void start();
    void tick();
    bool finished() const;
    const config_edit& edit() const;

private:
    enum class step
    {
        closing,
        writing,
        confirming,
        finished,
    };

    void send_closings();
    void on_closing_reply(const std::string& vm, const failure& error);
    void read_row();
    void on_row(const table_read_reply& reply);
    void write_row(const config_row& base);
    void on_written(const table_write_reply& reply);
    void read_back();
    void on_read_back(const table_read_reply& reply);
    void fail_with_conflict(const config_row& winner);
    void on_store_error(const failure& error);
    void abandon(const std::string& reason);
    void mark_closing_pending();
    void push();
    void check_confirmations();
    void finish(failure error);
    void adopt(const configuration& config);
    void schedule_retry(void (config_change::*action)());
    template <class Reply>
    std::function<void(Reply)>
    completion(void (config_change::*action)(const Reply&));

    config_change_hooks hooks_;
    config_edit edit_;
    std::function<void(change_reply)> done_;
    step step_ = step::closing;
    time_point write_deadline_;
    // Deadline of the current step; `no_deadline` if it has none.
    time_point step_deadline_ = no_deadline;
    time_point retry_at_ = no_deadline;
    void (config_change::*retry_action_)() = nullptr;
    int closing_rounds_ = 0;
    std::size_t closing_calls_in_flight_ = 0;
    std::uint64_t closing_base_version_ = 0;
    std::string token_;
    config_row base_;
    configuration target_;
    bool write_outcome_unknown_ = false;
    bool write_in_flight_ = false;
    std::set<std::string> confirmed_;
};

} // namespace poplarramp

#endif
