#pragma once

#include "core/units.h"
#include "organisations/organisation.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace Quotas {

/// Permission to run one request of an organisation.
struct QuotaPermit {
    Core::OrganisationId organisation;
    /// A permit that came back keeps the time at which it was first taken.
    Core::Instant takenAt;
    /// A permit that is given back later than this is lost.
    Core::Instant returnableUntil = Core::Instant::max();
};

/// The organisation has used up its quota.
struct QuotaRefusal {
    /// Time after which the quota allows another request.
    Core::Duration retryAfter {};
    /// What decided the refusal, for the log.
    std::string detail;
};

using QuotaResult = tl::expected<QuotaPermit, QuotaRefusal>;

/// Decides whether a request is within its organisation's quota.
class QuotaGate {
public:
    using Callback = std::function<void(QuotaResult)>;

    virtual ~QuotaGate() = default;
    /// Takes a permit for one request of the organisation, which has a quota. Calls back exactly once, at the latest
    /// at the given instant, on any thread and possibly before the function returns.
    virtual auto acquire(
        const Organisations::OrganisationPointer& organisation, Core::Instant latest, Callback callback) -> void
        = 0;
    /// Takes back the permit of a request that was sent to no upstream and never will be.
    virtual auto giveBack(const QuotaPermit& permit) -> void = 0;
};

/// Allows every request.
class UnlimitedQuotas : public QuotaGate {
public:
    auto acquire(const Organisations::OrganisationPointer& organisation, Core::Instant, Callback callback)
        -> void override
    {
        callback(QuotaPermit { organisation->id, {} });
    }
    auto giveBack(const QuotaPermit&) -> void override { }
};

} // namespace Quotas
