#pragma once

#include "configuration/documentcodec.h"
#include "configuration/effectivevalues.h"
#include "ports/objectstore.h"
#include "ports/scheduler.h"

#include <functional>
#include <memory>

namespace Configuration {

inline constexpr auto steeringDocumentName = "steering/document";
/// Largest object that the platform's store accepts.
inline const Core::Bytes maximumDocumentSize { 1024 * 1024 };
/// Number of recent edit ids that the document keeps for each section.
inline constexpr std::size_t recentEditLimit = 32;

/// Replaces all values of one section.
struct SectionEdit {
    EditId id;
    SectionId section;
    /// Values of the section as read before the change.
    SectionValues expected;
    SectionValues replacement;
};

struct AcceptedEdit {
    /// Version of the document that contains the edit.
    Core::Version version;
    /// True if an earlier attempt with the same id had already been accepted.
    bool wasAcceptedBefore = false;
};

/// Reads the steering document and replaces sections by conditional updates. Each edit id is applied at most once.
class DocumentEditor : public std::enable_shared_from_this<DocumentEditor> {
public:
    using DocumentCallback = std::function<void(Core::Result<SteeringDocument>)>;
    using EditCallback = std::function<void(Core::Result<AcceptedEdit>)>;

    DocumentEditor(Ports::ObjectStore& store, Ports::Scheduler& scheduler, const DocumentCodec& codec);

    /// Calls back with an empty document of version 0 if the store has none.
    auto read(DocumentCallback callback) -> void;
    /// Retries automatically if other sections changed concurrently, and after a lost response once a read has shown
    /// that the edit was not accepted. Fails with Conflict if the section does not have the expected values, with
    /// InvalidDocument or TooLarge if the resulting document would be invalid, and with OutcomeUnknown if the outcome
    /// cannot be read from the store.
    auto edit(SectionEdit edit, EditCallback callback) -> void;

private:
    struct PendingEdit;

    auto apply(const std::shared_ptr<PendingEdit>& pending, const Core::Result<SteeringDocument>& document) -> void;
    auto write(const std::shared_ptr<PendingEdit>& pending, const SteeringDocument& document) -> void;
    auto finishWrite(const std::shared_ptr<PendingEdit>& pending, const Core::Result<Core::Version>& result) -> void;
    auto retry(const std::shared_ptr<PendingEdit>& pending, const Core::Error& cause) -> void;

    Ports::ObjectStore& m_store;
    Ports::Scheduler& m_scheduler;
    const DocumentCodec& m_codec;
};

} // namespace Configuration
