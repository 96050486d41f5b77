#pragma once

#include "steering/clientblockloader.h"

namespace ClientBlocks {

/// Decodes client blocks from JSON. The format is described in docs/INTERFACES.md.
class JsonClientBlocks : public Steering::ClientBlockDecoder {
public:
    [[nodiscard]] auto manifest(const std::string& text) const -> Core::Result<Steering::ClientBlockManifest> override;
    [[nodiscard]] auto chunk(const std::string& text) const -> Core::Result<std::vector<Steering::BlockRange>> override;
};

} // namespace ClientBlocks
