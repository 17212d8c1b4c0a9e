#include "real/http_web_link.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "real/completion.hpp"
#include "real/endpoint.hpp"

namespace tamarindshift {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

struct Line {
  explicit Line(boost::asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> response;
  bool usable = true;
  bool busy = false;

  void close() {
    usable = false;
    Error ignored;
    stream.socket().close(ignored);
  }
  static void watch(const std::shared_ptr<Line>& line) {
    line->stream.expires_never();
    line->stream.socket().async_wait(boost::asio::ip::tcp::socket::wait_read, [weak = std::weak_ptr<Line>(line)](Error error) {
      auto open = weak.lock();
      if (open && !error && !open->busy) open->close();
    });
  }
};

class HttpWebConnection : public WebConnection {
 public:
  HttpWebConnection(std::shared_ptr<Line> line, std::string host) : line_(std::move(line)), host_(std::move(host)) {}
  ~HttpWebConnection() override { line_->close(); }
  bool usable() const override { return line_->usable; }
  void close() override { line_->close(); }

  Task<WebOutcome> exchange(std::string method, std::string path, std::string body, Instant deadline, WebHeaders headers) override {
    auto line = line_;
    if (!line->usable) co_return WebOutcome{PassFate::unsent, 0, {}};
    line->busy = true;
    Error ignored;
    line->stream.socket().cancel(ignored);
    line->request = {};
    line->request.method_string(method);
    line->request.target(path);
    line->request.version(11);
    line->request.set(http::field::host, host_);
    line->request.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : headers) line->request.set(name, value);
    line->request.body() = std::move(body);
    line->request.prepare_payload();
    line->stream.expires_at(deadline);
    auto [writeError, written] = co_await Completion<Error, std::size_t>([&](auto done) {
      http::async_write(line->stream, line->request, [line, done](Error error, std::size_t size) {
        done(error, size);
      });
    });
    if (writeError) {
      line->close();
      co_return WebOutcome{written == 0 ? PassFate::unsent : PassFate::lost, 0, {}};
    }
    line->response.emplace();
    line->response->body_limit(16u << 20);
    auto [readError, size] = co_await Completion<Error, std::size_t>([&](auto done) {
      http::async_read(line->stream, line->buffer, *line->response, [line, done](Error error, std::size_t amount) {
        done(error, amount);
      });
    });
    if (readError || size == 0) {
      line->close();
      co_return WebOutcome{PassFate::lost, 0, {}};
    }
    auto message = line->response->release();
    line->busy = false;
    if (message.keep_alive() && line->usable)
      Line::watch(line);
    else
      line->close();
    co_return WebOutcome{PassFate::replied, static_cast<int>(message.result_int()), std::move(message.body())};
  }

 private:
  std::shared_ptr<Line> line_;
  std::string host_;
};

}  // namespace

Task<std::unique_ptr<WebConnection>> HttpWebLink::open(Address address, Instant deadline) {
  auto found = endpointOf(detoured(detours_, address));
  if (!found) co_return nullptr;
  auto endpoint = *found;
  auto line = std::make_shared<Line>(context_);
  line->stream.expires_at(deadline);
  auto [connectError] = co_await Completion<Error>([&](auto done) {
    line->stream.async_connect(endpoint, [line, done](Error failure) {
      done(failure);
    });
  });
  if (connectError) co_return nullptr;
  Error ignored;
  line->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  Line::watch(line);
  co_return std::make_unique<HttpWebConnection>(line, address.get());
}

}  // namespace tamarindshift
