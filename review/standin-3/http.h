#pragma once

#include "loop.h"
#include "packet.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standin
{

/// One connection of a server; answer() may be called later than the request came.
class HttpConnection
{
public:
    HttpConnection(Loop &loop, int descriptor);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void answer(int status, const std::string &body);

    bool isOpen() const
    {
        return descriptor_ >= 0;
    }

private:
    friend class HttpServer;

    void close();
    void send();

    Loop &loop_;
    int descriptor_;
    std::string input_;
    std::string output_;
};

/// A small HTTP/1.1 server for GET requests without bodies. The handler gets the target of each request.
class HttpServer
{
public:
    using Handler = std::function<void(const std::string &target, const std::shared_ptr<HttpConnection> &connection)>;

    HttpServer(Loop &loop, const Address &address, Handler handler);

    bool isOpen() const
    {
        return listener_ >= 0;
    }

private:
    void accept();
    void receive(const std::shared_ptr<HttpConnection> &connection);

    Loop &loop_;
    Handler handler_;
    int listener_;
};

/// The parameters of a target's query, decoded.
std::map<std::string, std::string> queryOf(const std::string &target);

/// Asks for a page once on a new connection; done gets the status, 0 without a response in time.
void fetchStatus(Loop &loop, const Address &address, const std::string &target, Span timeout, std::function<void(int status)> done);

} // namespace standin
