// Turns a request into an accepted job: validates it, chooses the availability
// zone and has the job stored in the table.
#ifndef POPLARRAMP_CONTROL_SUBMISSION_HPP
#define POPLARRAMP_CONTROL_SUBMISSION_HPP

#include "base/result.hpp"
#include "base/time.hpp"
#include "control/control_context.hpp"
#include "control/job_store.hpp"
#include "control/job_tracker.hpp"
#include "control/zone_calls.hpp"
#include "model/job.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace poplarramp
{

// Validates a request against the configuration; the error says why the request
// cannot be accepted. Thread safe.
failure check_request(const job_request& request,
                      const configuration& config,
                      time_point now);

// Not thread safe; used on the control thread only.
class submission : public std::enable_shared_from_this<submission>
{
public:
    // Precondition: `context` outlives this.
    submission(control_context& context,
               std::shared_ptr<job_store> jobs,
               std::shared_ptr<job_tracker> tracker,
               std::shared_ptr<zone_calls> zones);

    void submit(const job_request& request, const waiting_caller& caller);

    // Rejects new jobs with `vm_stopping` from now on.
    void stop();

    // Number of requests that are neither accepted nor rejected yet.
    std::size_t pending_requests() const;

private:
    zone_choice_input choice_input_for(const job_request& request) const;
    failure check_admission(const job_request& request) const;
    void choose(const job_request& request,
                const std::vector<std::string>& allowed,
                const std::vector<std::string>& queried,
                const waiting_caller& caller);
    void accept(const job_request& request,
                const std::string& zone,
                const waiting_caller& caller);
    void on_accepted(const job_request& request,
                     const accept_reply& reply,
                     waiting_caller caller);
    bool join_existing(const job_request& request,
                       const waiting_caller& caller);

    // Rejects a request. If the code means "not run", first checks that the key
    // was not accepted before, here or at another entry VM.
    void reject_unless_known(const job_request& request,
                             const waiting_caller& caller,
                             const failure& error);
    void query_scheduler(const job_request& request,
                         const waiting_caller& caller,
                         const failure& error);
    void on_existing_job(const job_request& request,
                         const job& known,
                         bool row_may_exist,
                         const waiting_caller& caller);

    control_context& context_;
    std::shared_ptr<job_store> job_store_;
    std::shared_ptr<job_tracker> tracker_;
    std::shared_ptr<zone_calls> zones_;
    std::size_t pending_requests_ = 0;
    bool stopping_ = false;
};

} // namespace poplarramp

#endif
