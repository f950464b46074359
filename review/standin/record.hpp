#pragma once

#include <cstdarg>
#include <cstdio>

#include "event_loop.hpp"

namespace review {

/// What was sent, answered and run, with seconds since the start.
class record {
public:
    explicit record(const std::string &path)
        : file_(std::fopen(path.c_str(), "w")), start_(clock_type::now()) {}
    ~record() {
        std::fclose(file_);
    }
    record(const record &) = delete;
    auto operator=(const record &) -> record & = delete;

    auto seconds(time_point at) const -> double {
        return std::chrono::duration<double>(at - start_).count();
    }

    __attribute__((format(printf, 2, 3))) auto line(const char *format, ...)
        -> void {
        std::fprintf(file_, "%8.3f ", seconds(clock_type::now()));
        std::va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE *file_;
    time_point start_;
};

} // namespace review
