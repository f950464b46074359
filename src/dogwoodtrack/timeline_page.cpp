#include "commands.hpp"

#include <map>

#include <fmt/format.h>

namespace dogwoodtrack::tool {

namespace {

constexpr int lane_height = 34;
constexpr int left_margin = 150;
constexpr int width = 1300;
constexpr int top_margin = 40;

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

auto escape(const std::string &text) -> std::string {
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

auto time_of(const ordered_json &event) -> std::uint64_t {
    return event["stamp"].get<std::uint64_t>() >> 16;
}

} // namespace

auto timeline_page(const ordered_json &events) -> std::string {
    std::map<std::string, int> lanes;
    for (const auto &it : events)
        lanes.emplace(it["instance"].get<std::string>(), 0);
    int n = 0;
    for (auto &[name, lane] : lanes)
        lane = n++;
    const auto first = events.empty() ? 0 : time_of(events.front());
    const auto last = events.empty() ? 1 : time_of(events.back());
    const auto span =
        static_cast<double>(std::max<std::uint64_t>(1, last - first));
    std::string svg;
    for (const auto &[name, lane] : lanes) {
        const auto y = top_margin + lane * lane_height;
        svg += fmt::format(
            "<text x=\"4\" y=\"{}\">{}</text><line x1=\"{}\" x2=\"{}\" "
            "y1=\"{}\" y2=\"{}\" stroke=\"#ccc\"/>\n",
            y + 4, escape(name), left_margin, width, y, y);
    }
    std::string rows;
    for (const auto &it : events) {
        const auto kind = it["kind"].get<std::string>();
        const auto at = static_cast<double>(time_of(it) - first);
        const auto label = escape(fmt::format("{} {} {}", kind,
                                              it["subject"].get<std::string>(),
                                              it["detail"].get<std::string>()));
        const auto instance = it["instance"].get<std::string>();
        svg += fmt::format(
            "<circle cx=\"{:.1f}\" cy=\"{}\" r=\"5\" fill=\"{}\"><title>"
            "+{} ms {}</title></circle>\n",
            left_margin + 10 + at / span * (width - left_margin - 20),
            top_margin + lanes[instance] * lane_height, colour_of(kind), at,
            label);
        rows += fmt::format("<tr><td>+{} ms</td><td>{}</td><td style=\""
                            "color:{}\">{}</td></tr>\n",
                            at, escape(instance), colour_of(kind), label);
    }
    return fmt::format(
        "<!doctype html><html><head><meta charset=\"utf-8\"><title>"
        "dogwoodtrack time line</title><style>body{{font:13px sans-serif}}"
        "td{{padding:1px 10px}}</style></head><body><h1>Time line: {} "
        "events in {} ms</h1><svg width=\"{}\" height=\"{}\" font-size=\""
        "12\">\n{}</svg><table>\n{}</table></body></html>\n",
        events.size(), last - first, width + 20, top_margin + n * lane_height,
        svg, rows);
}

} // namespace dogwoodtrack::tool
