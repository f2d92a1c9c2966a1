#pragma once

#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/UpstreamGate.h"
#include "lavenderpick/Document/DocumentReplica.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Records/CallRecords.h"

#include <atomic>

namespace Lavenderpick {

/// Serves `/internal/calls` (C2 to C5): claims the start of a non-idempotent call, then sends it to
/// the service once. Safe for concurrent use.
class CallService
{
public:
    CallService(const AgentSettings &settings, UpstreamGate &gate, const DocumentReplica &document,
                CallRecords &records, const Clock &clock);

    /// Throws `ProblemError` when the call was refused before anything ran.
    CallAnswer run(const CallRequest &request);

    std::size_t openCount() const { return m_open; }

private:
    void check(const CallRequest &request) const;
    CallAnswer runOnce(const CallRequest &request, TimePoint deadline);
    ServiceResult send(const CallRequest &request, TimePoint deadline);

    AgentUpstream m_upstream;
    std::size_t m_maximumOpen;
    UpstreamGate &m_gate;
    const DocumentReplica &m_document;
    CallRecords &m_records;
    const Clock &m_clock;
    HttpClient m_service;
    std::atomic<std::size_t> m_open { 0 };
};

} // namespace Lavenderpick
