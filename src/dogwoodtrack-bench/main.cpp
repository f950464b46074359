#include <cstdlib>
#include <string_view>

#include <benchmark/benchmark.h>

#include "bench.hpp"

// `dogwoodtrack-bench packet-path [SECONDS]` compares the packet path with
// sending packets on unchanged; all other arguments go to Google Benchmark.
auto main(int argc, char **argv) -> int {
    if (argc > 1 && std::string_view(argv[1]) == "packet-path") {
        constexpr double default_seconds = 10;
        return dogwoodtrack::bench::compare_packet_path(
            argc > 2 ? std::strtod(argv[2], nullptr) : default_seconds);
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
