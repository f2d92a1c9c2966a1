#include "Services/Entry/PeerClient.h"

#include <charconv>

namespace Lavenderpick {

PeerClient::PeerClient(const Clock &clock, const MessageAuthenticator &authenticator,
                       Version ownVersion)
    : m_authenticator(authenticator)
    , m_ownVersion(std::move(ownVersion))
    , m_pool(clock)
{ }

HttpResponse PeerClient::send(const std::string &address, HttpRequest request)
{
    sign(request);
    return observed(address, m_pool.client(address).send(request));
}

HttpResponse PeerClient::stream(const std::string &address, HttpRequest request,
                                const PieceReceiver &receiver)
{
    sign(request);
    return observed(address, m_pool.client(address).stream(request, receiver));
}

void PeerClient::sign(HttpRequest &request) const
{
    request.headers.emplace(authenticationHeader,
                            m_authenticator.sign(request.method, request.path, request.body));
    request.headers.emplace(documentVersionHeader, std::to_string(m_ownVersion()));
}

HttpResponse PeerClient::observed(const std::string &address, HttpResponse response) const
{
    const std::int64_t version = parseDocumentVersion(response.header(documentVersionHeader));
    if (m_observer && version > 0)
        m_observer(address, version);
    return response;
}

std::int64_t parseDocumentVersion(const std::string &header)
{
    std::int64_t version = 0;
    const char *end = header.data() + header.size();
    const auto [position, error] = std::from_chars(header.data(), end, version);
    return error == std::errc() && position == end && version > 0 ? version : 0;
}

} // namespace Lavenderpick
