#include "commands.hpp"

#include <map>

#include <fmt/format.h>

namespace dogwoodtrack::tool {

namespace {

constexpr int lane_height_px = 34;
constexpr int left_margin_px = 150;
constexpr int page_width_px = 1300;
constexpr int top_margin_px = 40;

auto colour_of(const std::string &kind) -> const char * {
    static const std::map<std::string, const char *> colours{
        {"member_dead", "#c0392b"},     {"lease_lost", "#c0392b"},
        {"pause_noticed", "#c0392b"},   {"domain_cut", "#c0392b"},
        {"platform_lost", "#c0392b"},   {"condition_set", "#c0392b"},
        {"owner_changed", "#2471a3"},   {"sync_started", "#7d3c98"},
        {"sync_done", "#7d3c98"},       {"contract_accepted", "#b9770e"},
        {"upstream_ejected", "#d35400"}};
    const auto it = colours.find(kind);
    return it == colours.end() ? "#1e8449" : it->second;
}

auto escape_html(const std::string &text) -> std::string {
    std::string out;
    for (const auto c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

auto time_ms(const ordered_json &event) -> std::uint64_t {
    return event["stamp"].get<std::uint64_t>() >> 16;
}

} // namespace

auto timeline_page(const ordered_json &events) -> std::string {
    std::map<std::string, int> lanes;
    for (const auto &it : events)
        lanes.emplace(it["instance"].get<std::string>(), 0);
    int lane_count = 0;
    for (auto &[name, lane] : lanes)
        lane = lane_count++;
    const auto first_ms = events.empty() ? 0 : time_ms(events.front());
    const auto last_ms = events.empty() ? 1 : time_ms(events.back());
    const auto span_ms =
        static_cast<double>(std::max<std::uint64_t>(1, last_ms - first_ms));
    std::string svg;
    for (const auto &[name, lane] : lanes) {
        const auto y = top_margin_px + lane * lane_height_px;
        svg += fmt::format(
            "<text x=\"4\" y=\"{}\">{}</text><line x1=\"{}\" x2=\"{}\" "
            "y1=\"{}\" y2=\"{}\" stroke=\"#ccc\"/>\n",
            y + 4, escape_html(name), left_margin_px, page_width_px, y, y);
    }
    std::string rows;
    for (const auto &it : events) {
        const auto kind = it["kind"].get<std::string>();
        const auto offset_ms = static_cast<double>(time_ms(it) - first_ms);
        const auto label = escape_html(
            fmt::format("{} {} {}", kind, it["subject"].get<std::string>(),
                        it["detail"].get<std::string>()));
        const auto instance = it["instance"].get<std::string>();
        svg += fmt::format(
            "<circle cx=\"{:.1f}\" cy=\"{}\" r=\"5\" fill=\"{}\"><title>"
            "+{} ms {}</title></circle>\n",
            left_margin_px + 10 +
                offset_ms / span_ms * (page_width_px - left_margin_px - 20),
            top_margin_px + lanes[instance] * lane_height_px, colour_of(kind),
            offset_ms, label);
        rows += fmt::format("<tr><td>+{} ms</td><td>{}</td><td style=\""
                            "color:{}\">{}</td></tr>\n",
                            offset_ms, escape_html(instance), colour_of(kind),
                            label);
    }
    return fmt::format(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>"
        "dogwoodtrack time line</title><style>body{{font:13px sans-serif}}"
        "td{{padding:1px 10px}}</style></head><body><h1>Time line: {} "
        "events in {} ms</h1><svg width=\"{}\" height=\"{}\" font-size=\""
        "12\">\n{}</svg><table>\n{}</table></body></html>\n",
        events.size(), last_ms - first_ms, page_width_px + 20,
        top_margin_px + lane_count * lane_height_px, svg, rows);
}

} // namespace dogwoodtrack::tool
