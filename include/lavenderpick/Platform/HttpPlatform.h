#pragma once

#include "lavenderpick/Base/Clock.h"
#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Platform/ObjectStore.h"
#include "lavenderpick/Platform/Table.h"
#include "lavenderpick/Platform/VmList.h"
#include "lavenderpick/Platform/WeightStore.h"

#include <mutex>
#include <string>

namespace Lavenderpick {

/// The platform's services over HTTP, as published by the platform. Safe for concurrent use.
///
/// A write throws StoreUnavailable when it can't have happened: the connection failed, or the
/// platform refused with 429 or 503. Any other failure of a write, also a timeout or an answer that
/// can't be read, throws StoreOutcomeUnknown. A failed read throws StoreUnavailable.
class HttpPlatform final : public Table, public ObjectStore, public VmList, public WeightStore
{
public:
    /// `address` is `host:port`.
    HttpPlatform(std::string address, const Clock &clock, Duration timeout = Seconds(2));

    std::optional<Row> read(const RowKey &row) override;
    std::vector<Row> list(const std::string &table, const std::string &prefix,
                          const std::string &after, std::size_t limit, bool keysOnly) override;
    TransactionResult transact(const std::vector<Write> &writes) override;

    std::optional<std::string> read(const std::string &name) override;
    void write(const std::string &name, std::string_view bytes) override;
    void remove(const std::string &name) override;
    std::vector<std::string> list(const std::string &prefix) override;

    VmChanges changesSince(std::int64_t version) override;

    bool mayDownload(const std::string &model, const std::string &version) override;

private:
    enum class Access {
        Read,
        Write,
    };

    HttpResponse exchange(Access access, HttpRequest request);
    HttpResponse send(const HttpRequest &request);
    nlohmann::json fetchJson(const std::string &path);

    HttpClient m_client;
    const Clock &m_clock;
    Duration m_timeout;
    std::mutex m_mutex;
    TimePoint m_lastFailure; ///< Connections that are older are not trusted.
};

} // namespace Lavenderpick
