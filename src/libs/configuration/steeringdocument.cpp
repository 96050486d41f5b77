#include "configuration/steeringdocument.h"

#include <cstdio>

namespace Configuration {

namespace {

    auto numberText(double number) -> std::string
    {
        constexpr std::size_t bufferSize = 32;
        std::string text(bufferSize, '\0');
        text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.15g", number)));
        return text;
    }

} // namespace

auto toString(const ValuePath& path) -> std::string
{
    std::string text;
    for (const auto& name : path.value())
        text += (text.empty() ? "" : ".") + name;
    return text;
}

auto toString(const Value& value) -> std::string
{
    if (const auto* flag = std::get_if<bool>(&value))
        return *flag ? "true" : "false";
    if (const auto* number = std::get_if<double>(&value))
        return numberText(*number);
    return std::get<std::string>(value);
}

auto toString(const SectionId& section) -> std::string
{
    return section.isOverrides() ? "the overrides" : "section '" + section.team().value() + "'";
}

auto valuesOf(const SteeringDocument& document, const SectionId& section) -> SectionValues
{
    const auto found = document.sections.find(section);
    return found == document.sections.end() ? SectionValues() : found->second;
}

} // namespace Configuration
