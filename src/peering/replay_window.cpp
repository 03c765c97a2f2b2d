#include "peering/replay_window.h"

namespace medlarway
{

bool ReplayWindow::accept(std::uint64_t boot, std::uint64_t sequence)
{
    // Step 1. An earlier boot's messages are old, whatever their number.
    if (boot < boot_ || sequence == 0) {
        return false;
    }
    if (boot > boot_) {
        *this = ReplayWindow();
        boot_ = boot;
    }

    // Step 2. A number ahead of all others moves the window; what it passes was not seen.
    if (sequence > newest_) {
        if (sequence - newest_ >= kWidth) {
            seen_.reset();
        } else {
            for (auto passed = newest_ + 1; passed < sequence; ++passed) {
                seen_.reset(passed % kWidth);
            }
        }
        newest_ = sequence;
        seen_.set(sequence % kWidth);
        return true;
    }

    // Step 3. A late one is taken once, and only while the window still covers it.
    if (newest_ - sequence >= kWidth || seen_.test(sequence % kWidth)) {
        return false;
    }
    seen_.set(sequence % kWidth);
    return true;
}

} // namespace medlarway
