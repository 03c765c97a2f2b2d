#include "daemon/operator_server.h"

#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kOperatorRingCapacity = 64;

} // namespace

OperatorServer::OperatorServer(const Endpoint &listen, PageHandler pages)
    : thread_("operator", kOperatorRingCapacity)
    , server_(thread_.context(), listen, std::move(pages))
{
}

OperatorServer::~OperatorServer()
{
    stop();
}

void OperatorServer::start()
{
    server_.start();
    thread_.start();
}

void OperatorServer::stop()
{
    thread_.stop();
}

} // namespace medlarway
