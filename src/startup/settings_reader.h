#pragma once

#include "startup/complete_text.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
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

    /// Reads the file. One of the functions is called, maybe before this returns. A read in progress goes on with these functions.
    void read(Done done, Failed failed);

    /// Reads the file while the host runs. Reports an Error of the function, and a file that is not complete, so that the settings stay.
    void reload(const Done &apply);

    /// Abandons a read in progress.
    void cancel();

private:
    void poll();
    void pollLater();

    std::string file_;
    boost::asio::steady_timer timer_;
    Done done_;
    Failed failed_;
    CompleteText text_;
    std::optional<Time> startedAt_; ///< of the read in progress
    Time finishedAt_; ///< end of the last read
    bool reported_ = false; ///< that the file is awaited was logged
};

} // namespace medlarway
