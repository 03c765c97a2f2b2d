#include "startup/settings_reader.h"

#include "base/log.h"
#include "settings/settings_text.h"

#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr Duration kPollInterval = std::chrono::milliseconds{50};

} // namespace

SettingsReader::SettingsReader(boost::asio::io_context &context, std::string file)
    : file_(std::move(file))
    , timer_(context)
{
}

void SettingsReader::read(Done done, Failed failed)
{
    done_ = std::move(done);
    failed_ = std::move(failed);
    text_ = {};
    startedAt_ = monotonicNow();
    reported_ = false;
    poll();
}

void SettingsReader::cancel()
{
    timer_.cancel();
}

void SettingsReader::poll()
{
    const auto now = monotonicNow();
    const auto state = text_.offer(readSettingsText(file_), now);
    if (state == TextState::Complete) {
        done_(*text_.text());
        return;
    }
    const auto waited = now - startedAt_;
    const auto detail
        = fmt::format("{}: {}", file_, state == TextState::Unsettled ? "is still being written" : "can't be read, or is blank");
    if (waited >= kSettingsWait) {
        failed_(detail);
        return;
    }
    if (!reported_ && (state == TextState::Missing || waited > kSettleTime)) {
        reported_ = true;
        logEvent(Event::SettingsAwaited, {field("detail", detail), field("limit-ms", inMilliseconds(kSettingsWait))});
    }
    timer_.expires_after(toSteady(kPollInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            poll();
        }
    });
}

} // namespace medlarway
