#pragma once

#include "configuration/steeringconfiguration.h"
#include "configuration/steeringdocument.h"

#include <memory>
#include <optional>

namespace Configuration {

/// Kind of value that the steering document can hold, and where it goes in the configuration.
class DocumentField {
public:
    virtual ~DocumentField() = default;
    /// Names of the path; "*" stands for any name.
    [[nodiscard]] virtual auto pattern() const -> const std::vector<std::string>& = 0;
    /// What a valid value is; the remedy of a refused one.
    [[nodiscard]] virtual auto expectation() const -> std::string = 0;
    [[nodiscard]] virtual auto accepts(const Value& value) const -> bool = 0;
    /// Only for a value that is accepted and a path that matches.
    virtual auto apply(const ValuePath& path, const Value& value, SteeringConfiguration& configuration) const -> void
        = 0;
};

/// All fields of the document.
auto documentFields() -> const std::vector<std::unique_ptr<const DocumentField>>&;

/// Null when the document has no such field.
auto findField(const ValuePath& path) -> const DocumentField*;

} // namespace Configuration
