#include "PlatformServer.h"

#include "lavenderpick/Base/Json.h"

#include <algorithm>
#include <charconv>

namespace Lavenderpick::StandIns {

namespace {

std::int64_t numberParameter(const httplib::Request &request, const char *name,
                             std::int64_t fallback)
{
    const std::string text = request.get_param_value(name);
    std::int64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

RowKey rowKeyOf(const nlohmann::json &write)
{
    return { requireString(write, "table"), requireString(write, "key") };
}

} // namespace

PlatformServer::PlatformServer(const PlatformOptions &options)
    : m_options(options)
    , m_weightTokens(1)
    , m_weightTokensAt(m_clock.now())
    , m_server({ .threads = 1024, .bodyBytes = 256 * 1024 * 1024 }, m_metrics)
{
    m_faults.addRoutes(m_server.routes());
    addTableRoutes();
    addObjectRoutes();
    addVmRoutes();
    addWeightRoute();
}

void PlatformServer::addTableRoutes()
{
    auto &routes = m_server.routes();
    routes.Post("/tables/transactions",
                m_faults.wrap(Access::Write, [this](const auto &request, auto &response) {
                    answerTransaction(request, response);
                }));
    routes.Get("/tables/([^/]+)",
               m_faults.wrap(Access::Read, [this](const auto &request, auto &response) {
                   answerRows(request, response);
               }));
    routes.Get(
            "/tables/([^/]+)/(.+)",
            m_faults.wrap(Access::Read, [this](const auto &request, auto &response) {
                const std::lock_guard lock(m_mutex);
                const Row *row = find({ request.matches[1], request.matches[2] });
                if (row == nullptr)
                    return answerJson(response, 404, nlohmann::json::object());
                answerJson(response, 200, { { "version", row->version }, { "value", row->value } });
            }));
}

const Row *PlatformServer::find(const RowKey &key) const
{
    const auto position = m_rows.find(key);
    return position == m_rows.end() ? nullptr : &position->second;
}

void PlatformServer::answerRows(const httplib::Request &request, httplib::Response &response)
{
    const std::string table = request.matches[1];
    const std::string prefix = request.get_param_value("prefix");
    const std::string after = request.get_param_value("after");
    const auto limit = static_cast<std::size_t>(numberParameter(request, "limit", 1'000));
    const bool keysOnly = request.get_param_value("keys_only") == "true";
    nlohmann::json items = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (auto row = m_rows.lower_bound({ table, std::max(prefix, after) }); row != m_rows.end()
         && row->first.table == table && row->first.key.starts_with(prefix) && items.size() < limit;
         ++row) {
        if (row->first.key > after)
            items.push_back({ { "key", row->first.key },
                              { "version", row->second.version },
                              { "value", keysOnly ? nlohmann::json() : row->second.value } });
    }
    answerJson(response, 200, { { "items", std::move(items) } });
}

void PlatformServer::answerTransaction(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json json = parseJson(request.body, "transaction");
    const nlohmann::json &writes = requireArray(json, "writes");
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < writes.size(); ++index) {
        const Row *row = find(rowKeyOf(writes[index]));
        const RowVersion version = row == nullptr ? 0 : row->version;
        if (version != requireInteger(writes[index], "if_version"))
            return answerJson(response, 409,
                              { { "index", index },
                                { "version", version },
                                { "value", row == nullptr ? nlohmann::json() : row->value } });
    }
    nlohmann::json versions = nlohmann::json::array();
    for (const nlohmann::json &write : writes) {
        const RowKey key = rowKeyOf(write);
        versions.push_back(++m_lastVersion);
        if (write.at("value").is_null())
            m_rows.erase(key);
        else
            m_rows[key] = { key.key, m_lastVersion, write.at("value") };
    }
    answerJson(response, 200, { { "versions", std::move(versions) } });
}

void PlatformServer::addObjectRoutes()
{
    auto &routes = m_server.routes();
    routes.Get("/objects", m_faults.wrap(Access::Read, [this](const auto &request, auto &response) {
        const std::string prefix = request.get_param_value("prefix");
        nlohmann::json items = nlohmann::json::array();
        const std::lock_guard lock(m_mutex);
        for (const auto &[name, bytes] : m_objects) {
            if (name.starts_with(prefix))
                items.push_back({ { "name", name }, { "size", bytes.size() } });
        }
        answerJson(response, 200, { { "items", std::move(items) } });
    }));
    routes.Get("/objects/(.+)",
               m_faults.wrap(Access::Read, [this](const auto &request, auto &response) {
                   const std::lock_guard lock(m_mutex);
                   const auto object = m_objects.find(request.matches[1]);
                   if (object == m_objects.end())
                       return answerJson(response, 404, nlohmann::json::object());
                   response.set_content(object->second, "application/octet-stream");
               }));
    routes.Put("/objects/(.+)",
               m_faults.wrap(Access::Write, [this](const auto &request, auto &response) {
                   const std::lock_guard lock(m_mutex);
                   m_objects[request.matches[1]] = request.body;
                   answerJson(response, 200, nlohmann::json::object());
               }));
    routes.Delete("/objects/(.+)",
                  m_faults.wrap(Access::Write, [this](const auto &request, auto &response) {
                      const std::lock_guard lock(m_mutex);
                      m_objects.erase(request.matches[1]);
                      answerJson(response, 200, nlohmann::json::object());
                  }));
}

void PlatformServer::addVmRoutes()
{
    auto &routes = m_server.routes();
    routes.Put("/vms/([^/]+)", [this](const auto &request, auto &response) {
        nlohmann::json json = parseJson(request.body, "VM");
        json["name"] = std::string(request.matches[1]);
        const std::lock_guard lock(m_mutex);
        m_vms.push_back({ .vm = Vm::parse(json),
                          .version = static_cast<std::int64_t>(m_vms.size()) + 1,
                          .visibleAt = m_clock.now() + m_options.vmLag });
        answerJson(response, 200, nlohmann::json::object());
    });
    routes.Get("/vms", m_faults.wrap(Access::Read, [this](const auto &request, auto &response) {
        answerVms(request, response);
    }));
}

void PlatformServer::answerVms(const httplib::Request &request, httplib::Response &response)
{
    const std::int64_t since = numberParameter(request, "since", 0);
    std::int64_t version = 0;
    std::map<std::string, nlohmann::json> latest;
    const std::lock_guard lock(m_mutex);
    for (const ListedVm &listed : m_vms) {
        if (listed.visibleAt > m_clock.now())
            break;
        version = listed.version;
        if (listed.version > since)
            latest[listed.vm.name] = listed.vm.toJson();
    }
    nlohmann::json vms = nlohmann::json::array();
    for (auto &[name, vm] : latest)
        vms.push_back(std::move(vm));
    answerJson(response, 200, { { "version", version }, { "vms", std::move(vms) } });
}

void PlatformServer::addWeightRoute()
{
    m_server.routes().Get(
            "/weights/([^/]+)/([^/]+)",
            m_faults.wrap(Access::Read, [this](const auto &, auto &response) {
                const std::lock_guard lock(m_mutex);
                const TimePoint now = m_clock.now();
                const std::chrono::duration<double> elapsed = now - m_weightTokensAt;
                m_weightTokensAt = now;
                m_weightTokens = std::min(
                        1.0, m_weightTokens + elapsed.count() * m_options.weightsPerMinute / 60);
                const bool admitted = m_weightTokens >= 1;
                m_weightTokens -= admitted ? 1 : 0;
                answerJson(response, admitted ? 200 : 429, nlohmann::json::object());
            }));
}

} // namespace Lavenderpick::StandIns
