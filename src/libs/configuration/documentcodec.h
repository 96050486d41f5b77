#pragma once

#include "configuration/steeringdocument.h"
#include "core/error.h"

namespace Configuration {

/// Encodes and decodes the steering document and its sections as text.
class DocumentCodec {
public:
    virtual ~DocumentCodec() = default;
    /// Fails with InvalidDocument; the message lists every problem.
    [[nodiscard]] virtual auto decode(const std::string& text, Core::Version version) const
        -> Core::Result<SteeringDocument> = 0;
    [[nodiscard]] virtual auto encode(const SteeringDocument& document) const -> std::string = 0;
    [[nodiscard]] virtual auto decodeSection(const std::string& text) const -> Core::Result<SectionValues> = 0;
    [[nodiscard]] virtual auto encodeSection(const SectionValues& values) const -> std::string = 0;
};

} // namespace Configuration
