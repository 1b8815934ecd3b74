// This entry VM's copy of the operator's rows, indexed for admission of calls.
#ifndef POPLARRAMP_DOMAIN_DEPLOYMENT_VIEW_HPP
#define POPLARRAMP_DOMAIN_DEPLOYMENT_VIEW_HPP

#include "base/result.hpp"
#include "domain/deployment.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarramp
{

// Queue of a path, and the path behind the queue's prefix.
struct queue_match
{
    const queue_config* queue = nullptr;
    std::string_view rest;
};

// Not thread safe. Pointers are valid until the next change.
class deployment_view
{
public:
    // Precondition: `rows` outlives the view.
    explicit deployment_view(const deployment_rows& rows) : rows_(&rows)
    {
    }

    // Replaces all rows by those of a scan, except that the configuration never
    // goes back to an older version.
    void load(const std::vector<table_row>& rows);
    void apply(const table_row_change& change);

    // True once a configuration has been loaded.
    bool ready() const
    {
        return config_.has_value();
    }

    std::uint64_t version() const;

    // Queue of the host with the longest matching path prefix.
    std::optional<queue_match> match(std::string_view host,
                                     std::string_view path) const;
    const queue_config* queue(const std::string& name) const;
    // The smallest stretch of a queue that leaves room for longer run times
    // (above 1); unset if there is none.
    std::optional<double> min_stretch() const;

    // Name of the customer that owns the key, or null.
    const std::string* customer_of(const std::string& key) const;
    const customer_config* customer(const std::string& name) const;
    // Empty before a configuration has been loaded.
    std::span<const customer_config> customers() const;

    // False if the service is on standby or not configured.
    bool is_active(const std::string& service) const;
    bool evacuated(const std::string& zone) const;

private:
    void set_config(deployment_config config);

    const deployment_rows* rows_;
    std::optional<deployment_config> config_;
    // Indexes of `config_`. The queues of a host are sorted by length of the
    // path prefix, longest first.
    std::map<std::string, std::vector<const queue_config*>, std::less<>> hosts_;
    std::map<std::string, const queue_config*> queues_;
    std::map<std::string, const customer_config*> customers_;
    std::map<std::string, const customer_config*> keys_;
    std::map<std::string, const service_config*> services_;
    // Zone by row key.
    std::map<std::string, std::string> evacuations_;
    std::set<std::string> evacuated_;
};

} // namespace poplarramp

#endif
