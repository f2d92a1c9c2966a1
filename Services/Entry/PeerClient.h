#pragma once

#include "lavenderpick/Http/HttpClient.h"
#include "lavenderpick/Http/MessageAuthenticator.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Lavenderpick {

/// Sends signed messages to other processes of the cluster. Safe for concurrent use.
///
/// Every message carries this process's document version, and every response shows the peer's (D5).
class PeerClient
{
public:
    using Version = std::function<std::int64_t()>;
    using PeerVersionObserver =
            std::function<void(const std::string &address, std::int64_t version)>;

    PeerClient(const Clock &clock, const MessageAuthenticator &authenticator, Version ownVersion);

    /// Called with the version of each response. Set it before messages are sent.
    void observePeerVersions(PeerVersionObserver observer) { m_observer = std::move(observer); }

    /// Throws like `HttpClient::send`.
    HttpResponse send(const std::string &address, HttpRequest request);

    /// Throws like `HttpClient::stream`.
    HttpResponse stream(const std::string &address, HttpRequest request,
                        const PieceReceiver &receiver);

    /// Call it every few seconds.
    void closeOldConnections() { m_pool.closeOldConnections(); }

private:
    void sign(HttpRequest &request) const;
    HttpResponse observed(const std::string &address, HttpResponse response) const;

    const MessageAuthenticator &m_authenticator;
    Version m_ownVersion;
    PeerVersionObserver m_observer;
    HttpClientPool m_pool;
};

/// The version in a message's header, or 0 when it has none.
std::int64_t parseDocumentVersion(const std::string &header);

} // namespace Lavenderpick
