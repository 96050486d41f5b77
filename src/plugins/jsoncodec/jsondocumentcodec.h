#pragma once

#include "configuration/documentcodec.h"

namespace JsonCodec {

/// Encodes and decodes steering documents as JSON. The format is described in docs/INTERFACES.md.
class JsonDocumentCodec : public Configuration::DocumentCodec {
public:
    [[nodiscard]] auto decode(const std::string& text, Core::Version version) const
        -> Core::Result<Configuration::SteeringDocument> override;
    [[nodiscard]] auto encode(const Configuration::SteeringDocument& document) const -> std::string override;
    [[nodiscard]] auto decodeSection(const std::string& text) const
        -> Core::Result<Configuration::SectionValues> override;
    [[nodiscard]] auto encodeSection(const Configuration::SectionValues& values) const -> std::string override;
};

} // namespace JsonCodec
