#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Base/Log.h"
#include "lavenderpick/Http/HttpServer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderpick {

class SettingsMap;

/// How often an entry does its periodic work.
struct EntryPeriods
{
    Duration documentPoll { Seconds(3) };   ///< D5.
    Duration vmListPoll { Seconds(10) };    ///< M1.
    Duration subscribe { Seconds(4) };      ///< M2.
    Duration gossip { Seconds(1) };         ///< M5.
    Duration holderRenewal { Seconds(10) }; ///< J2.
    Duration holderScan { Seconds(20) };    ///< J5.
    Duration recordSweep { Seconds(60) };

    bool operator==(const EntryPeriods &) const = default;

    static EntryPeriods parse(const SettingsMap &map);
};

/// Bounds on what callers can make an entry hold or wait for.
struct EntryCaps
{
    std::int64_t openRequests { 600 };
    std::int64_t waitingConnections { 256 };
    std::int64_t waitingRequests { 256 }; ///< Admitted requests without an upstream.
    std::int64_t bodyBytes { 16 * 1024 * 1024 };
    std::int64_t jobs { 16 }; ///< Jobs that run at once at this entry.
    Duration defaultDeadline { Seconds(120) };
    Duration maximumDeadline { Seconds(3600) };
    Duration defaultJobDeadline { std::chrono::hours(24) };
    Duration maximumJobDeadline { std::chrono::hours(7 * 24) };
    Duration streamSilence { Seconds(3) }; ///< R6.
    Duration drainNotice { Seconds(3) };   ///< Between `/ready` failing and refusing requests.

    bool operator==(const EntryCaps &) const = default;

    HttpServerLimits httpLimits() const;
    static EntryCaps parse(const SettingsMap &map);
};

/// Settings of one entry process.
struct EntrySettings
{
    std::string name;
    std::string host;
    int port { 0 };
    int datagramPort { 0 };
    std::string region;
    std::string availabilityZone;
    std::string clusterKey;
    std::string platformAddress;
    std::vector<std::string>
            peers {}; ///< Addresses of some entries, for a start without the store.
    std::int64_t subsetSize { 48 };
    LogLevel logLevel { LogLevel::Info };
    EntryPeriods periods {};
    EntryCaps caps {};

    bool operator==(const EntrySettings &) const = default;

    /// Where other processes reach this one.
    std::string address() const;

    /// Wrong values are noted in the map's reader; call its `finish` before using the result.
    static EntrySettings parse(const SettingsMap &root);

    /// Throws `Error` of kind InvalidSettings that lists every problem of the file.
    static EntrySettings fromFile(const std::string &path);
};

} // namespace Lavenderpick
