#include "fakes/forwarding/requesttracker.h"

#include <algorithm>

namespace Fakes {

namespace {

    constexpr Core::Millis retryWindow { 10'000 };
    constexpr double retryRatio = 0.2;
    constexpr double retrySlack = 60;

    auto countSince(const std::deque<Core::Instant>& instants, Core::Instant since) -> double
    {
        const auto first = std::lower_bound(instants.begin(), instants.end(), since);
        return static_cast<double>(instants.end() - first);
    }

} // namespace

auto RequestTracker::sent(const Core::RequestId& id, bool isIdempotent) -> void
{
    m_requests[id].isIdempotent = isIdempotent;
}

auto RequestTracker::arrived(const Core::RequestId& id, const Core::ServiceId& service, Core::Instant now) -> void
{
    auto& request = m_requests.at(id);
    if (++request.arrivals == 1) {
        m_firstArrivals[service].push_back(now);
        return;
    }
    m_retries[service].push_back(now);
    checkRetries(service, now);
}

auto RequestTracker::checkRetries(const Core::ServiceId& service, Core::Instant now) -> void
{
    const auto retries = countSince(m_retries[service], now - retryWindow);
    // The retry budget is based on the previous window if that had more requests.
    const auto requests = countSince(m_firstArrivals[service], now - retryWindow);
    const auto previousRequests = countSince(m_firstArrivals[service], now - 2 * retryWindow) - requests;
    if (retries > retryRatio * std::max(requests, previousRequests) + retrySlack)
        recordViolation("too many retries at " + service.value() + ": " + std::to_string(retries));
}

auto RequestTracker::checkQuota(Core::Instant now) -> void
{
    m_quotaRunTimes.push_back(now);
    while (now - m_quotaRunTimes.front() > m_quotaWindow)
        m_quotaRunTimes.pop_front();
    if (static_cast<double>(m_quotaRunTimes.size()) > m_quotaRuns)
        recordViolation("more requests ran than the quota allows");
}

auto RequestTracker::ran(const Core::RequestId& id, Core::Instant now) -> void
{
    auto& request = m_requests.at(id);
    if (++request.runs == 1 && request.hasQuota)
        checkQuota(now);
    if (!request.isIdempotent && request.runs > 1)
        recordViolation("ran twice: " + id.value());
    if (request.isRefusedNotRun)
        recordViolation("ran after it was refused as not run: " + id.value());
}

auto RequestTracker::refusedNotRun(const Core::RequestId& id) -> void
{
    auto& request = m_requests.at(id);
    request.isRefusedNotRun = true;
    if (!request.isIdempotent && request.runs > 0)
        recordViolation("refused as not run after it ran: " + id.value());
}

auto RequestTracker::replied(const Core::RequestId& id) -> void
{
    if (++m_requests.at(id).replies > 1)
        recordViolation("more than one reply: " + id.value());
}

} // namespace Fakes
