#pragma once

#include "configuration/documentcodec.h"
#include "configuration/effectivevalues.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>

namespace Configuration {

inline constexpr auto steeringDocumentName = "steering/document";
/// Largest object that the platform's store holds.
inline const Core::Bytes maximumDocumentSize { 1024 * 1024 };
/// Edit ids that the document keeps for each section.
inline constexpr std::size_t recentEditLimit = 32;

/// Replacement of one section.
struct SectionEdit {
    EditId id;
    SectionId section;
    /// The section as the editor read it before the change.
    SectionValues expected;
    SectionValues replacement;
};

struct AcceptedEdit {
    /// Version of the document that holds the edit.
    Core::Version version;
    /// An earlier attempt with the same id had been accepted already.
    bool wasAcceptedBefore = false;
};

/// Reads the steering document and replaces sections by conditional updates. An edit is applied at most once for its
/// id.
class DocumentEditor : public std::enable_shared_from_this<DocumentEditor> {
public:
    using DocumentCallback = std::function<void(Core::Result<SteeringDocument>)>;
    using EditCallback = std::function<void(Core::Result<AcceptedEdit>)>;

    DocumentEditor(Ports::ObjectStore& store, Ports::Scheduler& scheduler, const DocumentCodec& codec);

    /// An empty document of version 0 when the store has none.
    auto read(DocumentCallback callback) -> void;
    /// Applies the edit again by itself when other sections changed meanwhile, and after a lost answer once a read has
    /// told that it was not accepted. Fails with Conflict when the own section is not as expected, InvalidDocument or
    /// TooLarge when the result would be invalid, and OutcomeUnknown when the store cannot tell.
    auto edit(SectionEdit edit, EditCallback callback) -> void;

private:
    struct Attempt;

    auto apply(const std::shared_ptr<Attempt>& attempt, const Core::Result<SteeringDocument>& document) -> void;
    auto write(const std::shared_ptr<Attempt>& attempt, const SteeringDocument& document) -> void;
    auto finishWrite(const std::shared_ptr<Attempt>& attempt, const Core::Result<Core::Version>& result) -> void;
    auto retry(const std::shared_ptr<Attempt>& attempt, const Core::Error& cause) -> void;

    Ports::ObjectStore& m_store;
    Ports::Scheduler& m_scheduler;
    const DocumentCodec& m_codec;
};

} // namespace Configuration
