#pragma once

#include "Services/Agent/UpstreamGate.h"
#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Protocol/Datagrams.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Lavenderpick {

/// Answers `subscribe` datagrams with reports (M3). Safe for concurrent use.
class LoadReporter
{
public:
    /// Sends bytes to a datagram address.
    using Sender = std::function<void(const std::string &address, const std::string &bytes)>;

    struct Identity
    {
        std::string upstream;
        std::int64_t incarnation { 0 };
        std::string clusterKey;
    };

    LoadReporter(Identity identity, UpstreamGate &gate, const Clock &clock, Sender sender);

    /// Handles one datagram; invalid ones throw `Error`.
    void receive(const std::string &bytes, const std::string &sender, std::int64_t ownVersion);

    /// Sends what is due; call it several times a second.
    void tick(std::int64_t ownVersion);

    struct DocumentPeer
    {
        std::string address;
        std::int64_t version { 0 };
    };

    /// The subscriber with the latest document, if there is one.
    std::optional<DocumentPeer> latestDocument() const;

private:
    struct Subscriber
    {
        std::string datagramAddress;
        std::string address;
        std::int64_t documentVersion { 0 };
        Duration shortestInterval { Seconds(1) };
        TimePoint subscribedAt;
        TimePoint reportedAt {};
        LoadReport lastReport {};
    };

    static bool isDue(const Subscriber &subscriber, const LoadReport &report, TimePoint now);

    LoadReport makeReport(std::int64_t ownVersion) const;
    void sendTo(Subscriber &subscriber, LoadReport report);

    Identity m_identity;
    UpstreamGate &m_gate;
    const Clock &m_clock;
    Sender m_sender;
    mutable std::mutex m_mutex;
    std::map<std::string, Subscriber> m_subscribers; ///< By entry name.
    std::int64_t m_sequence { 0 };
};

} // namespace Lavenderpick
