#include "app/forwarding/quotametrics.h"

namespace App {

namespace {

    /// Largest number of organisations that the metrics name.
    constexpr std::size_t maximumOrganisations = 100;

    template <typename Value>
    auto perOrganisation(const std::string& name, Metrics::CallbackMetric::Type type, const QuotasAccessor& quotas,
        Value value) -> Metrics::CallbackMetric
    {
        return { name, type, {}, "organisation", [quotas, value] {
                    std::map<std::string, std::uint64_t> values;
                    for (const auto& state : quotas().states(maximumOrganisations))
                        values[state.organisation.value()] = value(state);
                    return values;
                } };
    }

} // namespace

auto withQuotaMetrics(std::vector<Metrics::CallbackMetric> metrics, const QuotasAccessor& quotas)
    -> std::vector<Metrics::CallbackMetric>
{
    using State = Quotas::FleetQuotas::OrganisationState;
    using Type = Metrics::CallbackMetric::Type;
    metrics.push_back(perOrganisation(
        "quota_admitted_total", Type::Counter, quotas, [](const State& state) { return state.counts.admitted; }));
    metrics.push_back(perOrganisation(
        "quota_refused_total", Type::Counter, quotas, [](const State& state) { return state.counts.refused; }));
    metrics.push_back(perOrganisation("quota_permits", Type::Gauge, quotas,
        [](const State& state) { return static_cast<std::uint64_t>(state.stock.notNegative().value()); }));
    metrics.push_back({ "quota_messages_total", Type::Counter, [quotas] { return quotas().sentMessages(); }, {}, {} });
    return metrics;
}

} // namespace App
