#include "settings/valuerule.h"

#include <algorithm>
#include <charconv>

namespace Settings {

namespace {

    constexpr std::size_t maximumIdentifierLength = 64;
    constexpr std::int64_t maximumPort = 65535;
    constexpr std::int64_t maximumOctet = 255;
    constexpr std::size_t octetCount = 4;

    auto isIdentifierCharacter(char character) -> bool
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '.' || character == '-';
    }

    auto isIntegerInRange(std::string_view text, std::int64_t lowest, std::int64_t highest) -> bool
    {
        std::int64_t number = 0;
        const auto* end = text.data() + text.size();
        const auto [parsed, error] = std::from_chars(text.data(), end, number);
        return error == std::errc() && parsed == end && !text.empty() && number >= lowest && number <= highest;
    }

    auto isIpv4(std::string_view text) -> bool
    {
        std::size_t octets = 0;
        while (true) {
            const auto dot = std::min(text.find('.'), text.size());
            if (dot > 3 || text.starts_with('-') || !isIntegerInRange(text.substr(0, dot), 0, maximumOctet))
                return false;
            ++octets;
            if (dot == text.size())
                return octets == octetCount;
            text.remove_prefix(dot + 1);
        }
    }

    /// Checks the characters only; other errors are detected when the address is bound.
    auto isBracketedIpv6(std::string_view text) -> bool
    {
        if (text.size() < 4 || text.front() != '[' || text.back() != ']')
            return false;
        const auto inner = text.substr(1, text.size() - 2);
        return inner.find(':') != std::string_view::npos
            && inner.find_first_not_of("0123456789abcdefABCDEF:.") == std::string_view::npos;
    }

    auto join(const std::vector<std::string>& words, const std::string& separator) -> std::string
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : separator) + word;
        return text;
    }

} // namespace

auto IdentifierRule::placeholder() const -> std::string { return "NAME"; }

auto IdentifierRule::expectation() const -> std::string { return "use 1 to 64 letters, digits, '.' or '-'"; }

auto IdentifierRule::accepts(const std::string& text) const -> bool
{
    return !text.empty() && text.size() <= maximumIdentifierLength
        && std::all_of(text.begin(), text.end(), isIdentifierCharacter);
}

AddressRule::AddressRule(PortZero portZero)
    : m_portZero(portZero)
{
}

auto AddressRule::placeholder() const -> std::string { return "IP:PORT"; }

auto AddressRule::expectation() const -> std::string
{
    const std::string form = "use IP:PORT with an IP number, for example 10.0.0.7:8080";
    return m_portZero == PortZero::Allowed ? form + "; port 0 selects a free port" : form + "; the port is 1 to 65535";
}

auto AddressRule::accepts(const std::string& text) const -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    const auto host = std::string_view(text).substr(0, colon);
    const auto port = std::string_view(text).substr(colon + 1);
    const std::int64_t lowestPort = m_portZero == PortZero::Allowed ? 0 : 1;
    return (isIpv4(host) || isBracketedIpv6(host)) && !port.starts_with('-')
        && isIntegerInRange(port, lowestPort, maximumPort);
}

IntegerRule::IntegerRule(std::int64_t lowest, std::int64_t highest)
    : m_lowest(lowest)
    , m_highest(highest)
{
}

auto IntegerRule::placeholder() const -> std::string { return "NUMBER"; }

auto IntegerRule::expectation() const -> std::string
{
    return "use a whole number from " + std::to_string(m_lowest) + " to " + std::to_string(m_highest);
}

auto IntegerRule::accepts(const std::string& text) const -> bool { return isIntegerInRange(text, m_lowest, m_highest); }

ChoiceRule::ChoiceRule(std::vector<std::string> choices)
    : m_choices(std::move(choices))
{
}

auto ChoiceRule::placeholder() const -> std::string { return join(m_choices, "|"); }

auto ChoiceRule::expectation() const -> std::string { return "use one of: " + join(m_choices, ", "); }

auto ChoiceRule::accepts(const std::string& text) const -> bool
{
    return std::find(m_choices.begin(), m_choices.end(), text) != m_choices.end();
}

TextRule::TextRule(std::string placeholder)
    : m_placeholder(std::move(placeholder))
{
}

auto TextRule::placeholder() const -> std::string { return m_placeholder; }

auto TextRule::expectation() const -> std::string { return "use a non-empty text"; }

auto TextRule::accepts(const std::string& text) const -> bool { return !text.empty(); }

} // namespace Settings
