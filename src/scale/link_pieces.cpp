#include "scale/link_pieces.hpp"

#include <time.h>

#include "updates/update_server.hpp"
#include "real/real_clock.hpp"
#include "real/tcp_link.hpp"
#include "scale/quiet_journal.hpp"

namespace tamarindshift {

namespace {

double processorSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class Source : public UpdateSource {
 public:
  explicit Source(Clock& clock) : clock_(clock) {}
  std::optional<Instant> leaseUntil(const Topic&) override { return clock_.now() + 2s; }
  std::vector<DatabaseReport> databaseReports(const Topic&) override {
    return std::vector<DatabaseReport>(3, DatabaseReport{"d1", "replica", 2, 123456, 150ms, 120ms});
  }
  std::uint64_t position(const Topic&) override { return 1000; }

 private:
  Clock& clock_;
};

class LinkPieces {
 public:
  explicit LinkPieces(const ScaleAddresses& addresses)
      : clock_(context_),
        source_(clock_),
        near_(context_, clock_, journal_, addresses.agent(0), {}),
        far_(context_, clock_, journal_, addresses.replica(0), {}),
        nearDesk_(clock_, near_, 1),
        farDesk_(clock_, far_, 2),
        news_(clock_, farDesk_, board_, source_, 0ms) {
    for (std::size_t service = 1; service <= addresses.shape.services(); ++service) {
      auto topic = numbered("s", service);
      board_.publish(topic, 1000, {{"plan", "news"}});
      ask_.knownMarks[topic] = 1000;
    }
    farDesk_.serve("report", [this](Address, std::string) -> Task<std::optional<std::string>> {
      ++reports_;
      co_return std::nullopt;
    });
  }

  Figures measure(std::size_t reportBytes) {
    if (near_.listen() || far_.listen()) return {};
    return {{"ask_alone_us", asks(1)}, {"ask_among_many_us", asks(64)}, {"report_link_us", reports(reportBytes)}};
  }

 private:
  Task<void> askOften(std::size_t often) {
    for (std::size_t attempt = 0; attempt < often; ++attempt) {
      auto bytes = co_await nearDesk_.ask(far_.own(), "follow", packed(ask_), clock_.now() + 5s);
      auto reply = bytes ? unpacked<FollowReply>(*bytes) : std::nullopt;
      answered_ += reply.has_value();
    }
    --running_;
  }

  double asks(std::size_t tasks) {
    TaskScope scope;
    answered_ = 0;
    running_ = tasks;
    auto began = processorSeconds();
    for (std::size_t task = 0; task < tasks; ++task) scope.spawn(askOften(4096 / tasks));
    while (running_ > 0) context_.run_one();
    return (processorSeconds() - began) / static_cast<double>(answered_) * 1e6;
  }

  double reports(std::size_t bytes) {
    std::string body(bytes, 'x');
    reports_ = 0;
    auto began = processorSeconds();
    for (std::size_t attempt = 0; attempt < 1000; ++attempt) {
      nearDesk_.tell(far_.own(), "report", body);
      while (reports_ <= attempt) context_.run_one();
    }
    return (processorSeconds() - began) / 1000 * 1e6;
  }

  boost::asio::io_context context_{1};
  RealClock clock_;
  QuietJournal journal_;
  Source source_;
  TcpLink near_;
  TcpLink far_;
  Desk nearDesk_;
  Desk farDesk_;
  UpdateStore board_;
  FollowRequest ask_;
  UpdateServer news_;
  std::size_t answered_ = 0;
  std::size_t running_ = 0;
  std::size_t reports_ = 0;
};

}  // namespace

Figures measureLinkPieces(const ScaleSettings& settings, std::size_t reportBytes) {
  auto addresses = settings.addresses;
  return LinkPieces(addresses).measure(reportBytes);
}

}  // namespace tamarindshift
