#include "startup/settings_reader.h"

#include "base/errors.h"
#include "settings/settings_text.h"
#include "yaml/fault.h"

#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

// Also the shortest time between two reads, so that signals in quick succession lead to one.
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
    if (startedAt_) {
        return;
    }
    startedAt_ = monotonicNow();
    text_ = {};
    reported_ = false;
    if (*startedAt_ - finishedAt_ < kPollInterval) {
        pollLater();
    } else {
        poll();
    }
}

void SettingsReader::reload(const Done &apply)
{
    const auto refuse = [](const std::string &detail) { reportError(ErrorKind::BadSettings, faultsOnOneLine(detail)); };
    const auto tryToApply = [apply, refuse](const std::string &text) {
        try {
            apply(text);
        } catch (const Error &error) {
            refuse(error.what());
        }
    };
    read(tryToApply, refuse);
}

void SettingsReader::cancel()
{
    startedAt_.reset();
    timer_.cancel();
}

void SettingsReader::poll()
{
    if (!startedAt_) {
        return; // abandoned after the timer had expired
    }
    const auto now = monotonicNow();
    const auto state = text_.offer(readSettingsText(file_), now);
    if (state == TextState::Complete) {
        startedAt_.reset();
        finishedAt_ = now;
        done_(*text_.text());
        return;
    }
    const auto waited = now - *startedAt_;
    const auto detail = fmt::format(
        "{} {}", file_, state == TextState::Unsettled ? "is still being written" : "can't be read, is blank or is longer than 1 MiB");
    if (waited >= kSettingsWait) {
        startedAt_.reset();
        finishedAt_ = now;
        failed_(detail);
        return;
    }
    if (!reported_ && (state == TextState::Missing || waited > kSettleTime)) {
        reported_ = true;
        logEvent(Event::SettingsAwaited, {field("detail", detail), field("limit-ms", inMilliseconds(kSettingsWait))});
    }
    pollLater();
}

void SettingsReader::pollLater()
{
    timer_.expires_after(toSteady(kPollInterval));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            poll();
        }
    });
}

} // namespace medlarway
