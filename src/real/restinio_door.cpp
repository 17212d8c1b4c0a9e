#include "real/restinio_door.hpp"

#include <restinio/all.hpp>

#include "base/plain_text.hpp"
#include "base/task_scope.hpp"
#include "edge/door_replies.hpp"

namespace tamarindshift {

namespace {

constexpr std::size_t mostPathShown = 256;

class DepartureListener {
 public:
  explicit DepartureListener(DoorKeeper& keeper) : keeper_(keeper) {}
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
    if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
      keeper_.gone(ConnectionId{notice.connection_id()});
  }

 private:
  DoorKeeper& keeper_;
};

struct DoorTraits : restinio::default_single_thread_traits_t {
  using connection_state_listener_t = DepartureListener;
};

std::string reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

}  // namespace

struct RestinioDoor::Server {
  Server(boost::asio::io_context& context, const HostAndPort& place, DoorKeeper& keeper, Journal& journal)
      : keeper(keeper), journal(journal), http(restinio::external_io_context(context), [&](auto& settings) {
          settings.address(place.host)
              .port(place.port)
              .read_next_http_message_timelimit(std::chrono::hours{2})
              .handle_request_timeout(std::chrono::seconds{30})
              .write_http_response_timelimit(std::chrono::seconds{10})
              .incoming_http_msg_limits(
                  restinio::incoming_http_msg_limits_t{}.max_url_size(2048).max_field_value_size(8192).max_body_size(6u << 20))
              .connection_state_listener(std::make_shared<DepartureListener>(keeper))
              .request_handler([this](auto request) {
                scope.spawn(handle(request));
                return restinio::request_accepted();
              });
        }) {}

  /// What the keeper answers; an exception ends its own request only, not the program.
  Task<DoorReply> served(DoorRequest request) {
    const auto place = request.method + " " + printable(request.path, mostPathShown);
    try {
      co_return co_await keeper.serve(std::move(request));
    } catch (const std::exception& error) {
      journal.count("requests.threw");
      journal.line(std::string{requestThrew} + place + ": " + printable(error.what(), mostPathShown));
    }
    co_return refusal(500, "internal error");
  }

  Task<void> handle(restinio::request_handle_t request) {
    DoorRequest asked{request->header().method().c_str(), std::string{request->header().path()}, request->body(),
                      ConnectionId{request->connection_id()}};
    request->header().for_each_field([&asked](const auto& field) {
      asked.headers.emplace_back(field.name(), field.value());
    });
    auto reply = co_await served(std::move(asked));
    auto response = request->create_response(
        restinio::http_status_line_t{restinio::http_status_code_t{static_cast<std::uint16_t>(reply.status)}, reasonPhrase(reply.status)});
    response.append_header(restinio::http_field::content_type, reply.contentType);
    if (reply.comeBack) {
      auto seconds = std::chrono::ceil<std::chrono::seconds>(*reply.comeBack).count();
      response.append_header(restinio::http_field::retry_after, std::to_string(seconds));
    }
    ++unsentReplies;
    response.set_body(std::move(reply.body)).done([this](const auto&) {
      --unsentReplies;
    });
  }

  DoorKeeper& keeper;
  Journal& journal;
  /// Replies that are being written to their connections.
  std::size_t unsentReplies = 0;
  TaskScope scope;
  restinio::http_server_t<DoorTraits> http;
};

RestinioDoor::RestinioDoor(boost::asio::io_context& context, Address address, DoorKeeper& keeper, Journal& journal) {
  auto split = splitAddress(address).value_or(HostAndPort{"", 0});
  server_ = std::make_unique<Server>(context, split, keeper, journal);
}

RestinioDoor::~RestinioDoor() = default;

bool RestinioDoor::holdsOutput() const {
  return server_->unsentReplies > 0;
}

std::optional<std::string> RestinioDoor::open() {
  try {
    server_->http.open_sync();
  } catch (const std::exception& error) {
    return error.what();
  }
  return std::nullopt;
}

}  // namespace tamarindshift
