#include "lavenderpick/Platform/HttpPlatform.h"

#include "lavenderpick/Base/Error.h"
#include "lavenderpick/Base/Json.h"
#include "lavenderpick/Base/PercentEncoding.h"

namespace Lavenderpick {

namespace {

// Idle connections of the client are this old at most.
constexpr Duration connectionIdleLimit = Seconds(3);

// The message without its remedy, which does not suit what the failure means here.
std::string causeOf(const Error &error)
{
    const std::string text = error.what();
    return text.substr(0, text.size() - error.remedy().size() - std::string(". ").size());
}

[[noreturn]] void throwUnavailable(const std::string &cause)
{
    throw Error(ErrorKind::StoreUnavailable, "The platform's store is unavailable: " + cause,
                "Nothing was written. Try again later.");
}

[[noreturn]] void throwOutcomeUnknown(const std::string &cause)
{
    throw Error(ErrorKind::StoreOutcomeUnknown,
                "It is unknown whether a write took effect: " + cause,
                "Read what was written before trying again.");
}

Row parseRow(const nlohmann::json &json, const std::string &key)
{
    return {
        .key = key,
        .version = requireInteger(json, "version", 1),
        .value = json.contains("value") ? json["value"] : nlohmann::json(),
    };
}

nlohmann::json toJson(const std::vector<Write> &writes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Write &write : writes)
        list.push_back({
                { "table", write.row.table },
                { "key", write.row.key },
                { "if_version", write.expectedVersion },
                { "value", write.value.value_or(nlohmann::json()) },
        });
    return { { "writes", std::move(list) } };
}

TransactionResult parseApplied(const nlohmann::json &json, std::size_t count)
{
    TransactionResult result { .applied = true };
    for (const nlohmann::json &version : requireArray(json, "versions"))
        result.versions.push_back(version.get<RowVersion>());
    if (result.versions.size() != count)
        throw Error(ErrorKind::InvalidMessage, "The platform returned another number of versions",
                    "Check the platform's release.");
    return result;
}

TransactionResult parseConflict(const nlohmann::json &json, const std::vector<Write> &writes)
{
    const auto last = static_cast<std::int64_t>(writes.size()) - 1;
    TransactionResult result;
    result.conflictIndex = static_cast<std::size_t>(requireInteger(json, "index", 0, last));
    if (requireInteger(json, "version") > 0)
        result.conflictRow = parseRow(json, writes[result.conflictIndex].row.key);
    return result;
}

// Callers list a table page by page, each from the last key of the page before, until one is short.
// A response that doesn't continue there would keep them listing, and collecting rows, for ever.
void checkOrder(const std::vector<Row> &rows, const std::string &prefix, const std::string &after)
{
    const std::string *previous = &after;
    for (const Row &row : rows) {
        if (row.key <= *previous || !row.key.starts_with(prefix))
            throwUnavailable("a page of a table has the row '" + row.key + "' behind '" + *previous
                             + "'");
        previous = &row.key;
    }
}

} // namespace

HttpPlatform::HttpPlatform(std::string address, const Clock &clock, Duration timeout)
    : m_client(std::move(address), clock, connectionIdleLimit)
    , m_clock(clock)
    , m_timeout(timeout)
    , m_lastFailure(clock.now() - connectionIdleLimit)
{ }

// After a failure the other idle connections may be just as dead, and each would cost a timeout.
HttpResponse HttpPlatform::send(const HttpRequest &request)
{
    const TimePoint now = m_clock.now();
    bool distrustIdle = false;
    {
        const std::lock_guard lock(m_mutex);
        distrustIdle = now - m_lastFailure < connectionIdleLimit;
    }
    try {
        return distrustIdle ? m_client.sendOnNewConnection(request) : m_client.send(request);
    } catch (const Error &) {
        const std::lock_guard lock(m_mutex);
        m_lastFailure = m_clock.now();
        throw;
    }
}

HttpResponse HttpPlatform::exchange(Access access, HttpRequest request)
{
    constexpr int tooManyRequests = 429;
    constexpr int serviceUnavailable = 503;
    request.timeout = m_timeout;
    HttpResponse response;
    try {
        response = send(request);
    } catch (const Error &error) {
        if (access == Access::Write && error.kind() != ErrorKind::UpstreamUnavailable)
            throwOutcomeUnknown(causeOf(error));
        throwUnavailable(causeOf(error));
    }
    const std::string cause =
            request.method + " " + request.path + " returned " + std::to_string(response.status);
    if (response.status == tooManyRequests || response.status == serviceUnavailable)
        throwUnavailable(cause);
    if (response.status >= 500) {
        if (access == Access::Write)
            throwOutcomeUnknown(cause);
        throwUnavailable(cause);
    }
    const bool expected = response.status < 300 || response.status == 404 || response.status == 409;
    if (!expected)
        throw Error(ErrorKind::InvalidMessage, "The platform refused a request: " + cause,
                    "Check the platform's release and this process's settings.");
    return response;
}

nlohmann::json HttpPlatform::fetchJson(const std::string &path)
{
    return parseJson(exchange(Access::Read, { .method = "GET", .path = path }).body,
                     "platform's response");
}

std::optional<Row> HttpPlatform::read(const RowKey &row)
{
    const HttpResponse response = exchange(
            Access::Read,
            { .method = "GET",
              .path = "/tables/" + percentEncoded(row.table) + "/" + percentEncoded(row.key) });
    if (response.status == 404)
        return std::nullopt;
    return parseRow(parseJson(response.body, "row"), row.key);
}

std::vector<Row> HttpPlatform::list(const std::string &table, const std::string &prefix,
                                    const std::string &after, std::size_t limit, bool keysOnly)
{
    const nlohmann::json json =
            fetchJson("/tables/" + percentEncoded(table) + "?prefix=" + percentEncoded(prefix)
                      + "&after=" + percentEncoded(after) + "&limit=" + std::to_string(limit)
                      + "&keys_only=" + (keysOnly ? "true" : "false"));
    std::vector<Row> rows;
    for (const nlohmann::json &item : requireArray(json, "items"))
        rows.push_back(parseRow(item, requireString(item, "key")));
    checkOrder(rows, prefix, after);
    return rows;
}

TransactionResult HttpPlatform::transact(const std::vector<Write> &writes)
{
    const HttpResponse response = exchange(
            Access::Write,
            { .method = "POST", .path = "/tables/transactions", .body = toJson(writes).dump() });
    try {
        const nlohmann::json json = parseJson(response.body, "transaction's result");
        return response.status == 409 ? parseConflict(json, writes)
                                      : parseApplied(json, writes.size());
    } catch (const Error &error) {
        throwOutcomeUnknown(causeOf(error));
    } catch (const nlohmann::json::exception &error) {
        throwOutcomeUnknown(error.what());
    }
}

std::optional<std::string> HttpPlatform::read(const std::string &name)
{
    HttpResponse response =
            exchange(Access::Read, { .method = "GET", .path = "/objects/" + percentEncoded(name) });
    return response.status == 404 ? std::nullopt : std::optional(std::move(response.body));
}

void HttpPlatform::write(const std::string &name, std::string_view bytes)
{
    exchange(Access::Write,
             { .method = "PUT",
               .path = "/objects/" + percentEncoded(name),
               .body = std::string(bytes),
               .contentType = "application/octet-stream" });
}

void HttpPlatform::remove(const std::string &name)
{
    exchange(Access::Write, { .method = "DELETE", .path = "/objects/" + percentEncoded(name) });
}

std::vector<std::string> HttpPlatform::list(const std::string &prefix)
{
    const nlohmann::json json = fetchJson("/objects?prefix=" + percentEncoded(prefix));
    std::vector<std::string> names;
    for (const nlohmann::json &item : requireArray(json, "items"))
        names.push_back(requireString(item, "name"));
    return names;
}

VmChanges HttpPlatform::changesSince(std::int64_t version)
{
    return VmChanges::parse(fetchJson("/vms?since=" + std::to_string(version)));
}

bool HttpPlatform::mayDownload(const std::string &model, const std::string &version)
{
    constexpr int tooManyRequests = 429;
    const std::string path = "/weights/" + percentEncoded(model) + "/" + percentEncoded(version);
    int status = 0;
    try {
        status = send({ .method = "GET", .path = path, .timeout = m_timeout }).status;
    } catch (const Error &error) {
        throwUnavailable(causeOf(error));
    }
    if (status != 200 && status != tooManyRequests)
        throwUnavailable(path + " returned " + std::to_string(status));
    return status == 200;
}

} // namespace Lavenderpick
