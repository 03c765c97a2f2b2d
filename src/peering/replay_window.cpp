#include "peering/replay_window.h"

namespace medlarway
{

bool ReplayWindow::accept(std::uint64_t boot, std::uint64_t sequence)
{
    // Step 1. Reject earlier boots whatever their sequence number; a later boot starts an empty window.
    if (boot < boot_ || sequence == 0) {
        return false;
    }
    if (boot > boot_) {
        *this = ReplayWindow();
        boot_ = boot;
    }

    // Step 2. A new highest number moves the window. The numbers that it skips have not been received.
    if (sequence > highest_) {
        if (sequence - highest_ >= kWidth) {
            received_.reset();
        } else {
            for (auto skipped = highest_ + 1; skipped < sequence; ++skipped) {
                received_.reset(skipped % kWidth);
            }
        }
        highest_ = sequence;
        received_.set(sequence % kWidth);
        return true;
    }

    // Step 3. A late message is accepted once, and only within the window.
    if (highest_ - sequence >= kWidth || received_.test(sequence % kWidth)) {
        return false;
    }
    received_.set(sequence % kWidth);
    return true;
}

} // namespace medlarway
