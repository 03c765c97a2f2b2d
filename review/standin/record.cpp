#include "record.h"

#include <stdexcept>

namespace review
{

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("can't write " + path);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const std::string &text)
{
    std::fprintf(file_, "%8lld %s\n", static_cast<long long>(millisAt(Clock::now())), text.c_str());
    std::fflush(file_);
}

void Record::note(const std::string &text)
{
    line(text);
    std::printf("%8lld %s\n", static_cast<long long>(millisAt(Clock::now())), text.c_str());
    std::fflush(stdout);
}

std::int64_t Record::millisAt(Time time) const
{
    return std::chrono::duration_cast<Millis>(time - start_).count();
}

} // namespace review
