#include "lavenderpick/Forward/ServingConfiguration.h"

namespace Lavenderpick {

std::string_view toString(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Safe:
        return "safe";
    case RouteKind::Unsafe:
        return "unsafe";
    case RouteKind::Streaming:
        return "streaming";
    }
    return "unknown";
}

ServingConfiguration::ServingConfiguration(ServingConfigurationParts parts)
    : m_parts(std::move(parts))
{
    for (std::size_t index = 0; index < m_parts.routes.size(); ++index)
        m_routes.emplace(m_parts.routes[index].host + m_parts.routes[index].prefix, index);
    for (std::size_t index = 0; index < m_parts.services.size(); ++index)
        m_services.emplace(m_parts.services[index].name, index);
    if (!m_parts.customers)
        return;
    for (std::size_t index = 0; index < m_parts.customers->size(); ++index) {
        for (const std::string &key : (*m_parts.customers)[index].keys)
            m_customers.emplace(key, index);
    }
}

const Route *ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    std::string key;
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        key.assign(host).append(path.substr(0, slash + 1));
        if (const auto found = m_routes.find(key); found != m_routes.end())
            return &m_parts.routes[found->second];
        path = path.substr(0, slash);
    }
    return nullptr;
}

const ServiceProfile *ServingConfiguration::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_parts.services[found->second];
}

const Customer *ServingConfiguration::findCustomer(const std::string &key) const
{
    const auto found = m_customers.find(key);
    return found == m_customers.end() ? nullptr : &(*m_parts.customers)[found->second];
}

} // namespace Lavenderpick
