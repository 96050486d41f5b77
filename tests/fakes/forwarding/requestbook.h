#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Fakes {

/// What became of each request over all VMs and upstreams, and which promises were broken.
class RequestBook {
public:
    auto sent(const Core::RequestId& id, bool isIdempotent) -> void;
    /// The request has reached an upstream of the service.
    auto arrived(const Core::RequestId& id, const Core::ServiceId& service, Core::Instant now) -> void;
    auto ran(const Core::RequestId& id) -> void;
    auto refusedNotRun(const Core::RequestId& id) -> void;
    auto replied(const Core::RequestId& id) -> void;
    auto violate(const std::string& promise) -> void { m_violations.push_back(promise); }

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

    auto checkRepeats(const Core::ServiceId& service, Core::Instant now) -> void;

    std::map<Core::RequestId, Request> m_requests;
    std::map<Core::ServiceId, Instants> m_firstArrivals;
    std::map<Core::ServiceId, Instants> m_repeats;
    std::vector<std::string> m_violations;
};

} // namespace Fakes
