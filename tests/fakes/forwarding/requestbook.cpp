#include "fakes/forwarding/requestbook.h"

#include <algorithm>

namespace Fakes {

namespace {

    constexpr Core::Millis repeatWindow { 10'000 };
    constexpr double repeatRatio = 0.2;
    constexpr double repeatSlack = 60;

    auto countSince(const std::deque<Core::Instant>& instants, Core::Instant since) -> double
    {
        const auto first = std::lower_bound(instants.begin(), instants.end(), since);
        return static_cast<double>(instants.end() - first);
    }

} // namespace

auto RequestBook::sent(const Core::RequestId& id, bool isIdempotent) -> void
{
    m_requests[id].isIdempotent = isIdempotent;
}

auto RequestBook::arrived(const Core::RequestId& id, const Core::ServiceId& service, Core::Instant now) -> void
{
    auto& request = m_requests.at(id);
    if (++request.arrivals == 1) {
        m_firstArrivals[service].push_back(now);
        return;
    }
    m_repeats[service].push_back(now);
    checkRepeats(service, now);
}

auto RequestBook::checkRepeats(const Core::ServiceId& service, Core::Instant now) -> void
{
    const auto repeats = countSince(m_repeats[service], now - repeatWindow);
    // Requests of the window before count as well when they were more.
    const auto requests = countSince(m_firstArrivals[service], now - repeatWindow);
    const auto before = countSince(m_firstArrivals[service], now - 2 * repeatWindow) - requests;
    if (repeats > repeatRatio * std::max(requests, before) + repeatSlack)
        violate("too many repeats at " + service.value() + ": " + std::to_string(repeats));
}

auto RequestBook::ran(const Core::RequestId& id) -> void
{
    auto& request = m_requests.at(id);
    ++request.runs;
    if (!request.isIdempotent && request.runs > 1)
        violate("ran twice: " + id.value());
    if (request.isRefusedNotRun)
        violate("ran after it was refused as not run: " + id.value());
}

auto RequestBook::refusedNotRun(const Core::RequestId& id) -> void
{
    auto& request = m_requests.at(id);
    request.isRefusedNotRun = true;
    if (!request.isIdempotent && request.runs > 0)
        violate("refused as not run after it ran: " + id.value());
}

auto RequestBook::replied(const Core::RequestId& id) -> void
{
    if (++m_requests.at(id).replies > 1)
        violate("more than one reply: " + id.value());
}

} // namespace Fakes
