#pragma once

#include "startup/complete_text.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace medlarway
{

/// How long a settings file may be missing or keep changing.
inline constexpr Duration kSettingsWait = std::chrono::seconds{5};

/// Reads a settings file that may be rewritten in place meanwhile.
class SettingsReader
{
public:
    /// Called with the complete text, or with what is wrong if the file is not complete after kSettingsWait.
    using Done = std::function<void(const std::string &text)>;
    using Failed = std::function<void(const std::string &detail)>;

    SettingsReader(boost::asio::io_context &context, std::string file);

    /// Reads the file. One of the functions is called, maybe before this returns. A read in progress is abandoned.
    void read(Done done, Failed failed);

    /// Abandons a read in progress.
    void cancel();

private:
    void poll();

    std::string file_;
    boost::asio::steady_timer timer_;
    Done done_;
    Failed failed_;
    CompleteText text_;
    Time startedAt_;
    bool reported_ = false; ///< that the file is awaited was logged
};

} // namespace medlarway
