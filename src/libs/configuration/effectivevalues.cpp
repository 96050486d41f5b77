#include "configuration/effectivevalues.h"

#include "configuration/documentfield.h"

#include <set>

namespace Configuration {

namespace {

    constexpr std::string_view servicesName = "services";

    /// Returns the part of the document that only one team may set: the whole service for a value of a service,
    /// otherwise the single value.
    auto ownershipScope(const ValuePath& path) -> ValuePath
    {
        const auto& names = path.value();
        if (names.size() > 2 && names.front() == servicesName)
            return ValuePath({ names[0], names[1] });
        return path;
    }

    auto isServiceValue(const ValuePath& path) -> bool { return ownershipScope(path) != path; }

    auto scopeOwners(const SteeringDocument& document) -> std::map<ValuePath, SectionId>
    {
        std::map<ValuePath, SectionId> scopes;
        for (const auto& [section, values] : document.sections) {
            if (section.isOverrides())
                continue;
            for (const auto& [path, value] : values)
                scopes.try_emplace(ownershipScope(path), section);
        }
        return scopes;
    }

    class ProblemList {
    public:
        auto add(const std::string& problem, const std::string& remedy) -> void
        {
            m_text += (m_text.empty() ? "" : "; ") + problem + " (" + remedy + ")";
            ++m_count;
        }
        [[nodiscard]] auto isEmpty() const -> bool { return m_count == 0; }
        [[nodiscard]] auto error() const -> tl::unexpected<Core::Error>
        {
            return Core::fail(Core::ErrorKind::InvalidDocument, std::to_string(m_count) + " problem(s): " + m_text,
                "fix each problem as described; the last valid document stays in force");
        }

    private:
        std::string m_text;
        std::size_t m_count = 0;
    };

    auto checkValues(const SteeringDocument& document, ProblemList& problems) -> void
    {
        for (const auto& [section, values] : document.sections) {
            for (const auto& [path, value] : values) {
                const auto* field = findField(path);
                if (field == nullptr)
                    problems.add(toString(section) + " sets the unknown value '" + toString(path) + "'",
                        "remove it, or see docs/OPERATIONS.md for the valid names");
                else if (!field->accepts(value))
                    problems.add(toString(section) + " sets " + toString(path) + " to " + toString(value),
                        "use " + field->expectation());
            }
        }
    }

    auto checkOwners(const SteeringDocument& document, ProblemList& problems) -> void
    {
        std::map<ValuePath, SectionId> owners;
        std::set<ValuePath> reported;
        for (const auto& [section, values] : document.sections) {
            if (section.isOverrides())
                continue;
            for (const auto& [path, value] : values) {
                const auto scope = ownershipScope(path);
                const auto [owner, isFirst] = owners.try_emplace(scope, section);
                if (!isFirst && owner->second != section && reported.insert(scope).second)
                    problems.add(
                        toString(owner->second) + " and " + toString(section) + " both define " + toString(scope),
                        "agree on one team and remove it from the other section");
            }
        }
    }

    auto checkServices(const SteeringDocument& document, ProblemList& problems) -> void
    {
        for (const auto& [scope, section] : scopeOwners(document)) {
            auto names = scope.value();
            if (names.size() != 2 || names.front() != servicesName)
                continue;
            names.emplace_back("rank");
            const auto values = valuesOf(document, section);
            if (!values.contains(ValuePath(names)))
                problems.add(toString(section) + " defines " + toString(scope) + " without a rank",
                    "add rank \"urgent\", \"normal\" or \"deferrable\"");
        }
    }

    auto checkFloors(const SteeringConfiguration& configuration, ProblemList& problems) -> void
    {
        std::map<Core::ServiceId, double> sums;
        for (const auto& [service, policy] : configuration.services)
            sums[policy.pool] += policy.floor.value();
        for (const auto& [pool, sum] : sums) {
            if (sum > 1)
                problems.add(
                    "the floors of the services in pool '" + pool.value() + "' add up to " + toString(Value(sum)),
                    "lower them so that the sum is at most 1");
        }
    }

} // namespace

auto effectiveValues(const SteeringDocument& document) -> std::vector<EffectiveValue>
{
    const auto scopes = scopeOwners(document);
    std::map<ValuePath, EffectiveValue> effective;
    for (const auto& [section, values] : document.sections) {
        if (section.isOverrides())
            continue;
        for (const auto& [path, value] : values)
            effective.try_emplace(path, EffectiveValue { path, { value, section }, std::nullopt });
    }
    const auto overrides = SectionId::overrides();
    for (const auto& [path, value] : valuesOf(document, overrides)) {
        if (isServiceValue(path) && !scopes.contains(ownershipScope(path)))
            continue;
        const auto [entry, isNew]
            = effective.try_emplace(path, EffectiveValue { path, { value, overrides }, std::nullopt });
        if (!isNew)
            entry->second = { path, { value, overrides }, entry->second.inForce };
    }
    std::vector<EffectiveValue> sorted;
    for (auto& [path, value] : effective)
        sorted.push_back(std::move(value));
    return sorted;
}

auto composeConfiguration(const SteeringDocument& document) -> Core::Result<SteeringConfiguration>
{
    ProblemList problems;
    checkValues(document, problems);
    checkOwners(document, problems);
    checkServices(document, problems);
    if (!problems.isEmpty())
        return problems.error();
    SteeringConfiguration configuration;
    configuration.version = document.version;
    for (const auto& value : effectiveValues(document))
        findField(value.path)->apply(value.path, value.inForce.value, configuration);
    checkFloors(configuration, problems);
    if (!problems.isEmpty())
        return problems.error();
    return configuration;
}

} // namespace Configuration
