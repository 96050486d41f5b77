#pragma once

#include "admission/waiter.h"

#include <string>

namespace AdmissionTest {

using namespace std::chrono_literals;

inline constexpr Core::Instant start { Core::Millis(10'000) };

/// Request with a target latency of 400 ms, a deadline of 2 s and work of 100 ms, unless the test says otherwise.
class FakeWaiter : public Admission::Waiter {
public:
    explicit FakeWaiter(int priority = 0, Core::Instant askedAt = start, const std::string& organisation = "one")
    {
        m_demand.urgency = { 0, priority };
        m_demand.organisation = Core::OrganisationId(organisation);
        m_demand.work = 100ms;
        m_demand.askedAt = askedAt;
        m_demand.inTimeUntil = askedAt + 300ms;
        m_demand.servableUntil = askedAt + 1900ms;
    }

    [[nodiscard]] auto demand() const -> const Admission::Demand& override { return m_demand; }
    [[nodiscard]] auto hasLeft() const -> bool override { return isGone; }
    [[nodiscard]] auto roomExpected() const -> Core::Duration override { return {}; }
    auto tryStart() -> bool override { return false; }
    auto turnAway(Admission::TurnAwayReason) -> void override { }

    bool isGone = false;
    Admission::Demand m_demand;
};

inline auto waiter(int priority = 0, Core::Instant askedAt = start, const std::string& organisation = "one")
    -> std::shared_ptr<FakeWaiter>
{
    return std::make_shared<FakeWaiter>(priority, askedAt, organisation);
}

} // namespace AdmissionTest
