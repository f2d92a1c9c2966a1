#include "Services/Entry/DrainGate.h"

namespace Lavenderpick {

DrainGate::Pass::Pass(DrainGate &gate)
    : m_gate(gate)
{ }

DrainGate::Pass::~Pass()
{
    const std::lock_guard lock(m_gate.m_mutex);
    --m_gate.m_running;
    m_gate.m_changed.notify_all();
}

std::shared_ptr<DrainGate::Pass> DrainGate::enter()
{
    const std::lock_guard lock(m_mutex);
    if (m_closed)
        return nullptr;
    auto pass = std::make_shared<Pass>(*this);
    ++m_running;
    return pass;
}

void DrainGate::announce()
{
    const std::lock_guard lock(m_mutex);
    m_announced = true;
}

void DrainGate::close()
{
    const std::lock_guard lock(m_mutex);
    m_announced = true;
    m_closed = true;
}

bool DrainGate::isAnnounced() const
{
    const std::lock_guard lock(m_mutex);
    return m_announced;
}

std::size_t DrainGate::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

bool DrainGate::waitUntilEmpty(Duration limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] { return m_running == 0; });
}

} // namespace Lavenderpick
