#pragma once

#include "admission/demand.h"

#include <map>

namespace Admission {

/// Work that was started recently, by organisation and by urgency. Answers the load of an organisation that sends many
/// times its usual, and of a flood of urgent requests.
class WorkShares {
public:
    auto record(const Demand& demand, Core::Instant now) -> void;
    /// Returns true if the organisation has had more than an equal share of the recent work.
    [[nodiscard]] auto isOverFairShare(const Core::OrganisationId& organisation, Core::Instant now) const -> bool;
    /// Returns the part of the recent work that went to requests of this urgency and to less urgent ones; 1 if there
    /// was no work.
    [[nodiscard]] auto shareFrom(const Urgency& urgency, Core::Instant now) const -> double;

private:
    /// Sum that halves with each half-life.
    struct Fading {
        auto add(double value, Core::Instant now) -> void;
        [[nodiscard]] auto at(Core::Instant now) const -> double;

        double sum = 0;
        Core::Instant recordedAt;
    };

    auto forgetIdle(Core::Instant now) -> void;
    /// Returns the number of organisations that had work recently.
    [[nodiscard]] auto activeCount(Core::Instant now) const -> std::ptrdiff_t;

    std::map<Core::OrganisationId, Fading> m_byOrganisation;
    std::map<Urgency, Fading> m_byUrgency;
    Fading m_all;
    /// Kept for the comparisons of one instant, of which sorting a queue needs many.
    mutable std::ptrdiff_t m_activeCount = 0;
    mutable Core::Instant m_activeCountAt = Core::Instant::min();
};

} // namespace Admission
