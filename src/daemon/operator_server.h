#pragma once

#include "daemon/worker_thread.h"
#include "pages/page_server.h"

namespace medlarway
{

/// Serves the operator pages over HTTP on its own thread.
class OperatorServer
{
public:
    /// Binds the address. Throws Error(AddressTaken) if that fails. The pages may block.
    OperatorServer(const Endpoint &listen, PageHandler pages);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    void start();

    /// Stops the thread, which ends the handling of every connection.
    void stop();

private:
    WorkerThread thread_;
    PageServer server_;
};

} // namespace medlarway
