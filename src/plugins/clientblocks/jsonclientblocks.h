#pragma once

#include "steering/clientblockloader.h"

namespace ClientBlocks {

/// Client blocks as JSON, as docs/INTERFACES.md describes.
class JsonClientBlocks : public Steering::ClientBlockDecoder {
public:
    [[nodiscard]] auto manifest(const std::string& text) const -> Core::Result<Steering::ClientBlockManifest> override;
    [[nodiscard]] auto chunk(const std::string& text) const -> Core::Result<std::vector<Steering::BlockRun>> override;
};

} // namespace ClientBlocks
