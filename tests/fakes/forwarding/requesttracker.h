#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Fakes {

/// Tracks each request across all VMs and upstreams, and records violations of invariants.
class RequestTracker {
public:
    auto sent(const Core::RequestId& id, bool isIdempotent) -> void;
    /// Records that the request has reached an upstream of the service.
    auto arrived(const Core::RequestId& id, const Core::ServiceId& service, Core::Instant now) -> void;
    auto ran(const Core::RequestId& id, Core::Instant now) -> void;
    /// The request counts against the quota of the organisation that has one.
    auto countAgainstQuota(const Core::RequestId& id) -> void { m_requests.at(id).hasQuota = true; }
    /// Sets how many requests of that organisation may run in a window.
    auto setQuotaBound(Core::Duration window, double runs) -> void
    {
        m_quotaWindow = window;
        m_quotaRuns = runs;
    }
    auto refusedNotRun(const Core::RequestId& id) -> void;
    auto replied(const Core::RequestId& id) -> void;
    auto recordViolation(const std::string& description) -> void { m_violations.push_back(description); }

    [[nodiscard]] auto violations() const -> const std::vector<std::string>& { return m_violations; }
    [[nodiscard]] auto size() const -> std::size_t { return m_requests.size(); }

private:
    struct Request {
        bool isIdempotent = false;
        int arrivals = 0;
        int runs = 0;
        int replies = 0;
        bool isRefusedNotRun = false;
        bool hasQuota = false;
    };

    using Instants = std::deque<Core::Instant>;

    auto checkRetries(const Core::ServiceId& service, Core::Instant now) -> void;

    auto checkQuota(Core::Instant now) -> void;

    std::map<Core::RequestId, Request> m_requests;
    /// First runs of requests with a quota, in the last window.
    Instants m_quotaRunTimes;
    Core::Duration m_quotaWindow {};
    double m_quotaRuns = 0;
    std::map<Core::ServiceId, Instants> m_firstArrivals;
    std::map<Core::ServiceId, Instants> m_retries;
    std::vector<std::string> m_violations;
};

} // namespace Fakes
