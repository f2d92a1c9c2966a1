#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Forward/LoadLedger.h"
#include "lavenderpick/Forward/UpstreamDirectory.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderpick {

/// Engines of other availability zones that have capacity left, as reported from there. Not safe
/// for concurrent use.
///
/// The gateways of a zone don't know the load of other zones' engines. Callers are not spread
/// evenly over zones, so one zone may run out of batch slots while another has idle engines.
class SpareEngines
{
public:
    /// Reports are sent this often.
    static constexpr Duration reportInterval { Milliseconds(500) };
    /// Age at which a report is dropped; tolerates the loss of one.
    static constexpr Duration maximumAge { Milliseconds(1'200) };
    /// Fits in one packet.
    static constexpr std::size_t maximumReported = 24;

    /// Chooses the engines to report to other zones: the emptiest half of those that prefill
    /// nothing and have at least half of their slots free. The rest is left to the own zone.
    static std::vector<std::string> choose(const std::vector<const UpstreamRecord *> &ownEngines,
                                           const LoadLedger &ledger, TimePoint now);

    /// Records the report of another zone.
    void record(const std::string &zone, std::vector<std::string> engines, TimePoint now);

    /// The reported engines of the service that are ready. Valid until the directory changes.
    std::vector<const UpstreamRecord *> usable(const UpstreamDirectory &directory,
                                               const std::string &service, TimePoint now) const;

private:
    struct Report
    {
        std::vector<std::string> engines;
        TimePoint receivedAt {};
    };

    std::map<std::string, Report> m_reports; ///< By zone.
};

} // namespace Lavenderpick
