#include "configuration/documentfield.h"

#include <algorithm>
#include <functional>

namespace Configuration {

namespace {

    using Pattern = std::vector<std::string>;
    using Names = std::vector<std::string>;
    template <typename Content> using Apply = std::function<void(const Names&, const Content&, SteeringConfiguration&)>;

    constexpr double maximumMillis = 24.0 * 3600 * 1000;
    constexpr double minimumWorth = 0.001;
    constexpr double maximumWorth = 1e6;
    constexpr double maximumWeight = 1000;
    constexpr double maximumMbit = 1e7;
    constexpr double maximumBodyBytes = 1024 * 1024;
    constexpr double minimumLookupMillis = 100;

    template <typename Content> class TypedField : public DocumentField {
    public:
        TypedField(Pattern pattern, Apply<Content> apply)
            : m_pattern(std::move(pattern))
            , m_apply(std::move(apply))
        {
        }

        [[nodiscard]] auto pattern() const -> const Pattern& override { return m_pattern; }
        [[nodiscard]] auto accepts(const Value& value) const -> bool override
        {
            const auto* content = std::get_if<Content>(&value);
            return content != nullptr && isValid(*content);
        }
        auto apply(const ValuePath& path, const Value& value, SteeringConfiguration& configuration) const
            -> void override
        {
            m_apply(path.value(), std::get<Content>(value), configuration);
        }

    protected:
        [[nodiscard]] virtual auto isValid(const Content& content) const -> bool = 0;

    private:
        Pattern m_pattern;
        Apply<Content> m_apply;
    };

    class FlagField : public TypedField<bool> {
    public:
        using TypedField::TypedField;
        [[nodiscard]] auto expectation() const -> std::string override { return "true or false"; }

    protected:
        [[nodiscard]] auto isValid(const bool&) const -> bool override { return true; }
    };

    class NumberField : public TypedField<double> {
    public:
        NumberField(Pattern pattern, double low, double high, Apply<double> apply)
            : TypedField(std::move(pattern), std::move(apply))
            , m_low(low)
            , m_high(high)
        {
        }
        [[nodiscard]] auto expectation() const -> std::string override
        {
            return "a number from " + toString(Value(m_low)) + " to " + toString(Value(m_high));
        }

    protected:
        [[nodiscard]] auto isValid(const double& content) const -> bool override
        {
            return content >= m_low && content <= m_high;
        }

    private:
        double m_low;
        double m_high;
    };

    /// Non-empty name of something that is defined elsewhere in the system.
    class NameField : public TypedField<std::string> {
    public:
        using TypedField::TypedField;
        [[nodiscard]] auto expectation() const -> std::string override { return "a non-empty name"; }

    protected:
        [[nodiscard]] auto isValid(const std::string& content) const -> bool override { return !content.empty(); }
    };

    class RankField : public TypedField<std::string> {
    public:
        using TypedField::TypedField;
        [[nodiscard]] auto expectation() const -> std::string override
        {
            return "\"urgent\", \"normal\" or \"deferrable\"";
        }

    protected:
        [[nodiscard]] auto isValid(const std::string& content) const -> bool override
        {
            return Core::parseRank(content).has_value();
        }
    };

    auto millis(double number) -> Core::Millis { return Core::Millis(static_cast<std::int64_t>(number)); }

    auto policy(const Names& names, SteeringConfiguration& configuration) -> ServicePolicy&
    {
        const Core::ServiceId service(names.at(1));
        auto& policy = configuration.services[service];
        policy.service = service;
        if (policy.pool.value().empty())
            policy.pool = service;
        return policy;
    }

    using Fields = std::vector<std::unique_ptr<const DocumentField>>;

    auto addFlag(Fields& fields, Pattern pattern, Apply<bool> apply) -> void
    {
        fields.push_back(std::make_unique<FlagField>(std::move(pattern), std::move(apply)));
    }

    auto addNumber(Fields& fields, Pattern pattern, double low, double high, Apply<double> apply) -> void
    {
        fields.push_back(std::make_unique<NumberField>(std::move(pattern), low, high, std::move(apply)));
    }

    auto addServiceFields(Fields& fields) -> void
    {
        using Configuration = SteeringConfiguration;
        fields.push_back(std::make_unique<RankField>(
            Pattern { "services", "*", "rank" }, [](const Names& names, const std::string& text, Configuration& to) {
                policy(names, to).rank = Core::parseRank(text).value_or(Core::Rank::Normal);
            }));
        fields.push_back(std::make_unique<NameField>(
            Pattern { "services", "*", "pool" }, [](const Names& names, const std::string& text, Configuration& to) {
                policy(names, to).pool = Core::ServiceId(text);
            }));
        addFlag(fields, { "services", "*", "idempotent" },
            [](const Names& names, bool flag, Configuration& to) { policy(names, to).isIdempotent = flag; });
        addFlag(fields, { "services", "*", "backup" },
            [](const Names& names, bool flag, Configuration& to) { policy(names, to).needsBackup = flag; });
        addNumber(fields, { "services", "*", "targetMs" }, 1, maximumMillis,
            [](const Names& names, double number, Configuration& to) {
                policy(names, to).targetLatency = millis(number);
            });
        addNumber(fields, { "services", "*", "worth" }, minimumWorth, maximumWorth,
            [](const Names& names, double number, Configuration& to) { policy(names, to).worth = number; });
        addNumber(fields, { "services", "*", "floor" }, 0, 1, [](const Names& names, double number, Configuration& to) {
            policy(names, to).floor = Core::Share(number);
        });
        addNumber(fields, { "services", "*", "maximumBodyBytes" }, 0, maximumBodyBytes,
            [](const Names& names, double number, Configuration& to) {
                policy(names, to).maximumBody = Core::Bytes(static_cast<std::uint64_t>(number));
            });
    }

    auto addSharedFields(Fields& fields) -> void
    {
        using Configuration = SteeringConfiguration;
        addNumber(fields, { "lookupLifetimeMs" }, minimumLookupMillis, maximumMillis,
            [](const Names&, double number, Configuration& to) { to.lookupLifetime = millis(number); });
        addNumber(
            fields, { "weights", "*" }, 0, maximumWeight, [](const Names& names, double number, Configuration& to) {
                to.weights[Core::FailureDomainId(names.at(1))] = number;
            });
        addFlag(fields, { "drained", "*" }, [](const Names& names, bool flag, Configuration& to) {
            if (flag)
                to.drained.insert(Core::FailureDomainId(names.at(1)));
        });
        addNumber(fields, { "movementCap" }, 0, 1,
            [](const Names&, double number, Configuration& to) { to.movementCap = Core::Share(number); });
        addNumber(fields, { "linkBudgets", "*", "*" }, 0, maximumMbit,
            [](const Names& names, double number, Configuration& to) {
                to.linkBudgets.push_back(
                    { Core::RegionId(names.at(1)), Core::RegionId(names.at(2)), Core::Mbit(number) });
            });
        addNumber(fields, { "retryBudget" }, 0, 1,
            [](const Names&, double number, Configuration& to) { to.retryBudget = Core::Share(number); });
        addNumber(fields, { "ejectionLimit" }, 0, 1,
            [](const Names&, double number, Configuration& to) { to.ejectionLimit = Core::Share(number); });
        addNumber(fields, { "slowStartMs" }, 0, maximumMillis,
            [](const Names&, double number, Configuration& to) { to.slowStart = millis(number); });
    }

    auto makeFields() -> Fields
    {
        Fields fields;
        addServiceFields(fields);
        addSharedFields(fields);
        return fields;
    }

    auto matches(const Pattern& pattern, const Names& names) -> bool
    {
        return std::equal(pattern.begin(), pattern.end(), names.begin(), names.end(),
            [](const std::string& expected, const std::string& name) { return expected == "*" || expected == name; });
    }

} // namespace

auto documentFields() -> const std::vector<std::unique_ptr<const DocumentField>>&
{
    static const auto fields = makeFields();
    return fields;
}

auto findField(const ValuePath& path) -> const DocumentField*
{
    const auto& fields = documentFields();
    const auto found = std::find_if(
        fields.begin(), fields.end(), [&](const auto& field) { return matches(field->pattern(), path.value()); });
    return found == fields.end() ? nullptr : found->get();
}

} // namespace Configuration
