#pragma once

#include "Fakes/FakeFaults.h"
#include "lavenderpick/Platform/ObjectStore.h"

#include <map>

namespace Lavenderpick {

/// An object store in memory.
class FakeObjectStore final : public ObjectStore
{
public:
    FakeFaults faults {};

    std::optional<std::string> read(const std::string &name) override
    {
        faults.onRead();
        const std::lock_guard lock(m_mutex);
        const auto position = m_objects.find(name);
        return position == m_objects.end() ? std::nullopt : std::optional(position->second);
    }

    void write(const std::string &name, std::string_view bytes) override
    {
        faults.onWrite();
        {
            const std::lock_guard lock(m_mutex);
            m_objects[name] = std::string(bytes);
        }
        faults.onWritten();
    }

    void remove(const std::string &name) override
    {
        faults.onWrite();
        {
            const std::lock_guard lock(m_mutex);
            m_objects.erase(name);
        }
        faults.onWritten();
    }

    std::vector<std::string> list(const std::string &prefix) override
    {
        faults.onRead();
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        for (const auto &[name, bytes] : m_objects) {
            if (name.starts_with(prefix))
                names.push_back(name);
        }
        return names;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

} // namespace Lavenderpick
