#pragma once

#include <string>

namespace Lavenderpick {

/// The platform's store of model weights, which limits the rate of downloads.
class WeightStore
{
public:
    virtual ~WeightStore() = default;

    /// Whether a download may start now. Throws `Error` of kind StoreUnavailable when the store is
    /// down; returns false when its rate limit is reached.
    virtual bool mayDownload(const std::string &model, const std::string &version) = 0;
};

} // namespace Lavenderpick
