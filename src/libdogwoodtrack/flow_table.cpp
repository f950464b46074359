#include "dogwoodtrack/flow_table.hpp"

namespace dogwoodtrack {

namespace {

static_assert(sizeof(flow_entry) <= 48);

// The table has 4/3 as many slots as its capacity in flows. At 48 bytes per
// slot, these are 64 bytes per flow.
constexpr std::size_t slots_numerator = 4;
constexpr std::size_t slots_denominator = 3;

auto occupied(const flow_entry &entry) -> bool {
    return entry.key.service.port != 0;
}

} // namespace

flow_table::flow_table(std::size_t capacity)
    : slots_(capacity * slots_numerator / slots_denominator + 8),
      capacity_(capacity) {}

auto flow_table::home_slot(const flow_key &key) const -> std::size_t {
    const auto product =
        static_cast<unsigned __int128>(hash_flow(key)) * slots_.size();
    return static_cast<std::size_t>(product >> 64);
}

auto flow_table::next_slot(std::size_t at) const -> std::size_t {
    return at + 1 == slots_.size() ? 0 : at + 1;
}

auto flow_table::locate(const flow_key &key) const -> std::size_t {
    auto at = home_slot(key);
    while (occupied(slots_[at]) && slots_[at].key != key)
        at = next_slot(at);
    return at;
}

auto flow_table::find(const flow_key &key) -> flow_entry * {
    auto &entry = slots_[locate(key)];
    return occupied(entry) ? &entry : nullptr;
}

auto flow_table::insert(const flow_key &key) -> flow_entry * {
    auto &entry = slots_[locate(key)];
    if (occupied(entry))
        return &entry;
    if (size_ >= capacity_)
        return nullptr;
    entry = flow_entry{.key = key, .upstream = {}};
    ++size_;
    return &entry;
}

auto flow_table::erase(const flow_key &key) -> void {
    const auto at = locate(key);
    if (occupied(slots_[at]))
        erase_at(at);
}

// Deletes by backward shift: moves later entries of the probe sequence into
// the slot that becomes free, so that no tombstones are needed.
auto flow_table::erase_at(std::size_t at) -> void {
    auto hole = at;
    for (auto i = next_slot(at); occupied(slots_[i]); i = next_slot(i)) {
        const auto home = home_slot(slots_[i].key);
        const auto movable =
            hole <= i ? (home <= hole || home > i) : (home <= hole && home > i);
        if (!movable)
            continue;
        slots_[hole] = slots_[i];
        hole = i;
    }
    slots_[hole] = flow_entry{};
    --size_;
}

auto flow_table::sweep(std::size_t count,
                       const std::function<bool(flow_entry &)> &expired)
    -> void {
    for (std::size_t i = 0; i < count; ++i) {
        auto &entry = slots_[sweep_cursor_];
        // After a removal, the slot is examined again: another entry may have
        // been shifted into it.
        if (occupied(entry) && expired(entry))
            erase_at(sweep_cursor_);
        else
            sweep_cursor_ = next_slot(sweep_cursor_);
    }
}

auto flow_table::for_each(const std::function<void(flow_entry &)> &visit)
    -> void {
    for (auto &it : slots_) {
        if (occupied(it))
            visit(it);
    }
}

auto flow_table::visit_from(
    std::size_t cursor, std::size_t count,
    const std::function<void(const flow_entry &)> &visit) -> std::size_t {
    const auto end = std::min(slots_.size(), cursor + count);
    for (; cursor < end; ++cursor) {
        if (occupied(slots_[cursor]))
            visit(slots_[cursor]);
    }
    return cursor;
}

auto flow_table::erase_if(const std::function<bool(const flow_entry &)> &drop)
    -> void {
    std::vector<flow_key> dropped;
    for_each([&](const flow_entry &entry) {
        if (drop(entry))
            dropped.push_back(entry.key);
    });
    for (const auto &it : dropped)
        erase(it);
}

auto flow_table::size() const -> std::size_t {
    return size_;
}
auto flow_table::capacity() const -> std::size_t {
    return capacity_;
}
auto flow_table::slots() const -> std::size_t {
    return slots_.size();
}
auto flow_table::bytes() const -> std::size_t {
    return slots_.size() * sizeof(flow_entry);
}

} // namespace dogwoodtrack
