#include "lavenderpick/Forward/ServingConfiguration.h"

#include <xxhash.h>

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

std::size_t ServingConfiguration::HashHostAndPrefix::operator()(const HostAndPrefix &key) const
{
    const auto hash = [](std::string_view text, std::uint64_t seed) {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    return hash(key.second, hash(key.first, 0));
}

ServingConfiguration::ServingConfiguration(ServingConfigurationParts parts)
{
    setGeneral(parts.version, parts.limits, parts.customers.has_value());
    for (Route &route : parts.routes)
        add(std::make_shared<const Route>(std::move(route)));
    for (ServiceProfile &service : parts.services)
        add(std::make_shared<const ServiceProfile>(std::move(service)));
    if (!parts.customers)
        return;
    for (Customer &customer : *parts.customers)
        add(std::make_shared<const Customer>(std::move(customer)));
}

void ServingConfiguration::add(std::shared_ptr<const Route> route)
{
    m_routeIndex.emplace(HostAndPrefix { route->host, route->prefix }, route.get());
    m_routes.add(std::move(route));
}

void ServingConfiguration::add(std::shared_ptr<const ServiceProfile> service)
{
    m_serviceIndex.emplace(service->name, service.get());
    m_services.add(std::move(service));
}

void ServingConfiguration::add(std::shared_ptr<const Customer> customer)
{
    for (const std::string &key : customer->keys)
        m_customerIndex.emplace(key, customer.get());
    m_customers.add(std::move(customer));
}

void ServingConfiguration::setGeneral(std::int64_t version, const CallerLimits &limits,
                                      bool requiresKeys)
{
    m_version = version;
    m_limits = limits;
    m_requiresKeys = requiresKeys;
}

const Route *ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = m_routeIndex.find({ host, path.substr(0, slash + 1) });
        if (found != m_routeIndex.end())
            return found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

const ServiceProfile *ServingConfiguration::findService(const std::string &name) const
{
    const auto found = m_serviceIndex.find(name);
    return found == m_serviceIndex.end() ? nullptr : found->second;
}

const Customer *ServingConfiguration::findCustomer(const std::string &key) const
{
    const auto found = m_customerIndex.find(key);
    return found == m_customerIndex.end() ? nullptr : found->second;
}

bool ServingConfiguration::operator==(const ServingConfiguration &other) const
{
    return m_version == other.m_version && m_limits == other.m_limits
            && m_requiresKeys == other.m_requiresKeys && m_routes == other.m_routes
            && m_services == other.m_services && m_customers == other.m_customers;
}

} // namespace Lavenderpick
