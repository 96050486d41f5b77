#pragma once

#include "configuration/steeringconfiguration.h"
#include "configuration/steeringdocument.h"

#include <memory>
#include <optional>

namespace Configuration {

/// One kind of value in the steering document: its path, its valid range and the part of the configuration that it
/// sets.
class DocumentField {
public:
    virtual ~DocumentField() = default;
    /// Names that make up the path; "*" matches any name.
    [[nodiscard]] virtual auto pattern() const -> const std::vector<std::string>& = 0;
    /// Describes the valid values; used as the remedy for an invalid value.
    [[nodiscard]] virtual auto expectation() const -> std::string = 0;
    [[nodiscard]] virtual auto accepts(const Value& value) const -> bool = 0;
    /// Requires a value that accepts() allows and a path that matches the pattern.
    virtual auto apply(const ValuePath& path, const Value& value, SteeringConfiguration& configuration) const -> void
        = 0;
};

/// Returns all fields that the document can contain.
auto documentFields() -> const std::vector<std::unique_ptr<const DocumentField>>&;

/// Returns nullptr if the document has no such field.
auto findField(const ValuePath& path) -> const DocumentField*;

} // namespace Configuration
