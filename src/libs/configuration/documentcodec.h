#pragma once

#include "configuration/steeringdocument.h"
#include "core/error.h"

namespace Configuration {

/// Text form of the steering document and of one section.
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    /// Fails with InvalidDocument and names every problem.
    [[nodiscard]] virtual auto decode(const std::string& text, Core::Version version) const
        -> Core::Result<SteeringDocument> = 0;
    [[nodiscard]] virtual auto encode(const SteeringDocument& document) const -> std::string = 0;
    [[nodiscard]] virtual auto decodeSection(const std::string& text) const -> Core::Result<SectionValues> = 0;
    [[nodiscard]] virtual auto encodeSection(const SectionValues& values) const -> std::string = 0;
};

} // namespace Configuration
