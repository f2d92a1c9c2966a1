#pragma once

#include "ServerFaults.h"
#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Http/HttpServer.h"
#include "lavenderpick/Platform/Table.h"
#include "lavenderpick/Platform/VmList.h"

#include <map>
#include <mutex>

namespace Lavenderpick::StandIns {

struct PlatformOptions
{
    Duration vmLag {}; ///< Time until the VM list shows a change.
    int weightsPerMinute { 60 };
};

/// The platform's published interface over state in memory. VMs are registered and changed with
/// `PUT /vms/<name>` and the fields of a VM.
class PlatformServer
{
public:
    explicit PlatformServer(const PlatformOptions &options);

    /// Binds loopback and serves; port 0 picks one. Returns the port.
    int start(int port) { return m_server.start("127.0.0.1", port); }

private:
    struct ListedVm
    {
        Vm vm;
        std::int64_t version;
        TimePoint visibleAt;
    };

    using Access = ServerFaults::Access;

    void addTableRoutes();
    void addObjectRoutes();
    void addVmRoutes();
    void addWeightRoute();
    void answerRows(const httplib::Request &request, httplib::Response &response);
    void answerTransaction(const httplib::Request &request, httplib::Response &response);
    void answerVms(const httplib::Request &request, httplib::Response &response);
    const Row *find(const RowKey &key) const;

    PlatformOptions m_options;
    SystemClock m_clock;
    std::mutex m_mutex;
    std::map<RowKey, Row> m_rows;
    RowVersion m_lastVersion { 0 }; ///< Shared by all rows, so that no version repeats.
    std::map<std::string, std::string> m_objects;
    std::vector<ListedVm> m_vms; ///< Every change in order; the list shows the last of each VM.
    double m_weightTokens;
    TimePoint m_weightTokensAt;
    ServerFaults m_faults;
    Metrics m_metrics;
    HttpServer m_server; ///< Last, so that its threads end first.
};

} // namespace Lavenderpick::StandIns
