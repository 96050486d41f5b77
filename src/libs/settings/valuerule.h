#pragma once

#include "core/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Settings {

/// Validates the text of a setting.
class ValueRule {
public:
    virtual ~ValueRule() = default;
    /// Returns the placeholder of the value in usage lines, for example "IP:PORT".
    [[nodiscard]] virtual auto placeholder() const -> std::string = 0;
    /// Describes the valid values; used as the remedy for an invalid value.
    [[nodiscard]] virtual auto expectation() const -> std::string = 0;
    [[nodiscard]] virtual auto accepts(const std::string& text) const -> bool = 0;
};

/// Name of 1 to 64 letters, digits, '.' or '-'. It excludes ':', which separates the fields of idempotency keys.
class IdentifierRule : public ValueRule {
public:
    [[nodiscard]] auto placeholder() const -> std::string override;
    [[nodiscard]] auto expectation() const -> std::string override;
    [[nodiscard]] auto accepts(const std::string& text) const -> bool override;
};

/// "IP:PORT" with an IPv4 address, or an IPv6 address in brackets. Port 0 is valid only where any free port may be
/// used.
class AddressRule : public ValueRule {
public:
    enum class PortZero : std::uint8_t { Allowed, Refused };

    explicit AddressRule(PortZero portZero);

    [[nodiscard]] auto placeholder() const -> std::string override;
    [[nodiscard]] auto expectation() const -> std::string override;
    [[nodiscard]] auto accepts(const std::string& text) const -> bool override;

private:
    PortZero m_portZero;
};

/// Integer within a closed range.
class IntegerRule : public ValueRule {
public:
    IntegerRule(std::int64_t lowest, std::int64_t highest);

    [[nodiscard]] auto placeholder() const -> std::string override;
    [[nodiscard]] auto expectation() const -> std::string override;
    [[nodiscard]] auto accepts(const std::string& text) const -> bool override;

private:
    std::int64_t m_lowest;
    std::int64_t m_highest;
};

/// One of a fixed list of words.
class ChoiceRule : public ValueRule {
public:
    explicit ChoiceRule(std::vector<std::string> choices);

    [[nodiscard]] auto placeholder() const -> std::string override;
    [[nodiscard]] auto expectation() const -> std::string override;
    [[nodiscard]] auto accepts(const std::string& text) const -> bool override;

private:
    std::vector<std::string> m_choices;
};

/// Any non-empty text.
class TextRule : public ValueRule {
public:
    /// The placeholder describes the text, for example "FILE".
    explicit TextRule(std::string placeholder);

    [[nodiscard]] auto placeholder() const -> std::string override;
    [[nodiscard]] auto expectation() const -> std::string override;
    [[nodiscard]] auto accepts(const std::string& text) const -> bool override;

private:
    std::string m_placeholder;
};

} // namespace Settings
