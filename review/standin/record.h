#pragma once

#include "loop.h"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// What was sent, answered and run, with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

    /// Writes the line to standard output too.
    void note(const std::string &text);

    std::int64_t millisAt(Time time) const;

private:
    std::FILE *file_;
    Time start_ = Clock::now();
};

} // namespace review
