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
    auto ran(const Core::RequestId& id) -> void;
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
    };

    using Instants = std::deque<Core::Instant>;

    auto checkRetries(const Core::ServiceId& service, Core::Instant now) -> void;

    std::map<Core::RequestId, Request> m_requests;
    std::map<Core::ServiceId, Instants> m_firstArrivals;
    std::map<Core::ServiceId, Instants> m_retries;
    std::vector<std::string> m_violations;
};

} // namespace Fakes
