#pragma once

#include "daemon/duty_thread.h"
#include "pages/page_server.h"

namespace medlarway
{

/// The operator interface, on a thread of its own.
class OperatorServer
{
public:
    /// Binds at once. Throws Error(AddressTaken) where it can't. The pages may wait.
    OperatorServer(const Endpoint &listen, PageHandler pages);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    void start();

    /// Ends the thread and every connection.
    void stop();

private:
    DutyThread thread_;
    PageServer server_;
};

} // namespace medlarway
