#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lavenderpick {

/// The platform's object store. Safe for concurrent use; throws like `Table`.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual std::optional<std::string> read(const std::string &name) = 0;
    virtual void write(const std::string &name, std::string_view bytes) = 0;
    virtual void remove(const std::string &name) = 0;
    virtual std::vector<std::string> list(const std::string &prefix) = 0;
};

} // namespace Lavenderpick
