#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/ConfigurationDecoder.h"
#include "lavenderpick/Forward/JsonSplitter.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Lavenderpick {

/// A `ConfigurationElement` that configurations share.
using SharedConfigurationElement =
        std::variant<std::monostate, std::shared_ptr<const Route>,
                     std::shared_ptr<const ServiceProfile>, std::shared_ptr<const Customer>>;

/// Decodes configurations in slices, so that callers' events are handled in between.
///
/// A configuration of 1,760 routes takes a gateway with a tenth of a core longer to decode than a
/// stream may pause. The cost depends on the size of the change: elements whose text is in the
/// configuration in force are reused. Revisions that arrive while another one is being processed
/// replace the waiting one, so that frequent revisions can't prevent all of them from being
/// finished. No I/O.
class ConfigurationLoader
{
public:
    /// A slice ends when either limit is reached.
    struct SliceLimits
    {
        Duration time { Milliseconds(2) };
        std::size_t elements { 32 };
    };

    /// The end of the processing of one revision.
    struct Result
    {
        std::int64_t revision { 0 };
        /// Set if a configuration of this higher version stays in force.
        std::optional<std::int64_t> keptVersion {};
        /// Null if the text could not be decoded.
        std::shared_ptr<const ServingConfiguration> configuration {};
        std::string error {};
        std::size_t reusedElements { 0 };
        std::size_t decodedElements { 0 };
        std::size_t slices { 0 };
        Duration elapsed {}; ///< Since the first slice.
    };

    ConfigurationLoader(const Clock &clock, const ConfigurationDecoder &decoder)
        : ConfigurationLoader(clock, decoder, SliceLimits {})
    { }
    ConfigurationLoader(const Clock &clock, const ConfigurationDecoder &decoder,
                        const SliceLimits &limits);
    ~ConfigurationLoader();

    /// Whether a snapshot of this revision would be processed: it is newer than the one in force
    /// and all that were offered, and its text is not known to be invalid.
    bool wants(std::int64_t revision) const;

    /// Takes a snapshot if it is wanted.
    void offer(ConfigurationSnapshot snapshot);

    /// Whether `step` has work to do.
    bool isBusy() const;

    /// Processes one slice. Returns a result when a revision is finished; a configuration in it is
    /// in force from then on.
    std::optional<Result> step();

    /// The text in force and its revision; empty and zero before the first configuration.
    const std::string &text() const;
    std::int64_t revision() const;

private:
    struct Revision;

    /// Whether the revision has an older version than the one in force, because the store came back
    /// from an older copy in which it is the newest. Within an era the store's order decides.
    bool isOlderCopy(const Revision &revision) const;

    /// Continues the revision within the limits. Returns whether it is finished.
    bool processSlice(Revision &revision);
    void decodeTransfer(Revision &revision) const;
    void addPiece(Revision &revision, const JsonSplitter::Piece &piece);
    const SharedConfigurationElement *findInForce(std::uint64_t hash,
                                                  const JsonSplitter::Piece &piece) const;
    void finish(Revision &revision) const;

    const Clock &m_clock;
    const ConfigurationDecoder &m_decoder;
    SliceLimits m_limits;
    std::unique_ptr<Revision> m_inForce;
    std::unique_ptr<Revision> m_processing;
    std::unique_ptr<Revision> m_retired; ///< Freed in a slice of its own.
    std::optional<ConfigurationSnapshot> m_waiting;
    bool m_keepsNewerVersion { false };   ///< Until the store has that version again.
    std::int64_t m_invalidRevision { 0 }; ///< The last whose text could not be decoded.
};

} // namespace Lavenderpick
