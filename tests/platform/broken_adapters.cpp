#include "tests/platform/broken_adapters.hpp"

#include <map>

#include "base/clock.hpp"

namespace tamarindshift::testing {

namespace {

class OtherConnection : public BackEndConnection {
 public:
  OtherConnection(std::unique_ptr<BackEndConnection> own, BackEndRun run) : own_(std::move(own)), run_(run) {}
  Task<BackEndReply> run(Statement statement, std::optional<LogPosition> after, Instant deadline) override {
    return run_(*own_, std::move(statement), after, deadline);
  }
  bool usable() const override { return own_->usable(); }
  void close() override { own_->close(); }

 private:
  std::unique_ptr<BackEndConnection> own_;
  BackEndRun run_;
};

class OtherRuns : public BackEndConnector {
 public:
  OtherRuns(BackEndConnector& own, BackEndRun run) : own_(own), run_(run) {}
  Task<BackEndOpenResult> open(DatabaseTarget target, Instant deadline) override {
    auto opening = co_await own_.open(std::move(target), deadline);
    if (opening.connection) opening.connection = std::make_unique<OtherConnection>(std::move(opening.connection), run_);
    co_return opening;
  }

 private:
  BackEndConnector& own_;
  BackEndRun run_;
};

class AnotherService : public BackEndConnector {
 public:
  explicit AnotherService(BackEndConnector& own) : own_(own) {}
  Task<BackEndOpenResult> open(DatabaseTarget target, Instant deadline) override {
    if (target.service == ServiceName{"service-2"}) seen_ = target;
    if (seen_) target = *seen_;
    co_return co_await own_.open(std::move(target), deadline);
  }

 private:
  BackEndConnector& own_;
  std::optional<DatabaseTarget> seen_;
};

class EndlessLeases : public UpdateFeed {
 public:
  EndlessLeases(UpdateFeed& own, Clock& clock) : own_(own), clock_(clock) {}
  const UpdateStore& updates() const override { return own_.updates(); }
  Gate& changed() override { return own_.changed(); }
  std::optional<Instant> leaseUntil(const Topic& topic) override {
    auto until = own_.leaseUntil(topic);
    return until || own_.updates().find(topic) ? std::optional{clock_.now() + 2s} : std::nullopt;
  }
  std::vector<DatabaseReport> databaseReports(const Topic& topic) override { return own_.databaseReports(topic); }
  std::uint64_t position(const Topic& topic) override { return own_.position(topic); }

 private:
  UpdateFeed& own_;
  Clock& clock_;
};

class DoorAnswers : public DoorKeeper {
 public:
  explicit DoorAnswers(DoorKeeper& own) : own_(own) {}
  void gone(ConnectionId connection) override { own_.gone(connection); }

 protected:
  DoorKeeper& own_;
};

class LeavesIgnored : public DoorAnswers {
 public:
  using DoorAnswers::DoorAnswers;
  Task<DoorReply> serve(DoorRequest request) override {
    const std::string leaving = "quiescing";
    if (auto found = request.body.find(leaving); found != std::string::npos) request.body.replace(found, leaving.size(), "in_service");
    if (request.path.starts_with("/api/Instances.Detach/")) co_return DoorReply{200, "{}", std::nullopt};
    co_return co_await own_.serve(std::move(request));
  }
};

class FirstConfigurationKept : public DoorAnswers {
 public:
  using DoorAnswers::DoorAnswers;
  Task<DoorReply> serve(DoorRequest request) override {
    if (request.path == "/api/Configuration.Replace") {
      DoorRequest asked{"GET", "/api/Configuration.Retrieve", {}, request.connection};
      auto held = co_await own_.serve(std::move(asked));
      if (held.status == 200) co_return DoorReply{200, "{}", std::nullopt};
    }
    co_return co_await own_.serve(std::move(request));
  }
};

class AnythingAcknowledged : public DoorAnswers {
 public:
  using DoorAnswers::DoorAnswers;
  Task<DoorReply> serve(DoorRequest request) override {
    bool replaces = request.path == "/api/Configuration.Replace";
    auto reply = co_await own_.serve(std::move(request));
    if (replaces && reply.status == 400) reply.status = 200;
    co_return reply;
  }
};

class DatabasesMisled : public DatabaseControl {
 public:
  explicit DatabasesMisled(DatabaseControl& own) : own_(own) {}
  Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) override {
    return own_.status(std::move(target), deadline);
  }
  Task<std::optional<DatabaseStatus>> demote(DatabaseTarget target, Epoch epoch, Instant deadline) override {
    return own_.demote(std::move(target), epoch, deadline);
  }
  Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) override {
    return own_.promote(std::move(target), epoch, std::move(holder), deadline);
  }

 protected:
  DatabaseControl& own_;
};

class EmptiestChosen : public DatabasesMisled {
 public:
  using DatabasesMisled::DatabasesMisled;
  Task<std::optional<DatabaseStatus>> status(DatabaseTarget target, Instant deadline) override {
    auto standing = co_await own_.status(std::move(target), deadline);
    if (standing) standing->position = Position{1'000'000'000 - standing->position.get()};
    co_return standing;
  }
};

class FenceLowered : public DatabasesMisled {
 public:
  using DatabasesMisled::DatabasesMisled;
  Task<PromotionOutcome> promote(DatabaseTarget target, Epoch epoch, DutyHolder holder, Instant deadline) override {
    holder.fencingToken = 1'000'000 - epoch.get();
    return own_.promote(std::move(target), epoch, std::move(holder), deadline);
  }
};

class NothingSynced : public StableStore {
 public:
  NothingSynced(StableStore& own, Clock& clock) : own_(own), clock_(clock) {}
  std::optional<std::vector<std::string>> load() override { return own_.load(); }
  void append(const std::string& record) override { own_.append(record); }
  void sync(std::function<void()> synced) override { clock_.after(1ms, std::move(synced)); }
  void rewrite(const std::vector<std::string>& records) override {
    for (const auto& record : records) own_.append(record);
  }
  std::size_t sizeBytes() const override { return own_.sizeBytes(); }
  bool refusesWrites() const override { return own_.refusesWrites(); }
  const std::string& lastReason() const override { return own_.lastReason(); }

 private:
  StableStore& own_;
  Clock& clock_;
};

}  // namespace

AdapterWraps runsOtherwise(BackEndRun run) {
  AdapterWraps wraps;
  wraps.backEnds = [run](BackEndConnector& own) {
    return std::make_unique<OtherRuns>(own, run);
  };
  return wraps;
}

AdapterWraps sendsToAnotherService() {
  AdapterWraps wraps;
  wraps.backEnds = [](BackEndConnector& own) {
    return std::make_unique<AnotherService>(own);
  };
  return wraps;
}

AdapterWraps checksNoLease(Clock& clock) {
  AdapterWraps wraps;
  wraps.feed = [&clock](UpdateFeed& own) {
    return std::make_unique<EndlessLeases>(own, clock);
  };
  return wraps;
}

AdapterWraps ignoresLeaves() {
  AdapterWraps wraps;
  wraps.control = [](DoorKeeper& own) {
    return std::make_unique<LeavesIgnored>(own);
  };
  return wraps;
}

AdapterWraps keepsFirstConfiguration() {
  AdapterWraps wraps;
  wraps.control = [](DoorKeeper& own) {
    return std::make_unique<FirstConfigurationKept>(own);
  };
  return wraps;
}

AdapterWraps acknowledgesAnything() {
  AdapterWraps wraps;
  wraps.control = [](DoorKeeper& own) {
    return std::make_unique<AnythingAcknowledged>(own);
  };
  return wraps;
}

AdapterWraps promotesTheEmptiest() {
  AdapterWraps wraps;
  wraps.databases = [](DatabaseControl& own) {
    return std::make_unique<EmptiestChosen>(own);
  };
  return wraps;
}

AdapterWraps lowersItsFence() {
  AdapterWraps wraps;
  wraps.databases = [](DatabaseControl& own) {
    return std::make_unique<FenceLowered>(own);
  };
  return wraps;
}

AdapterWraps keepsNothing(Clock& clock) {
  AdapterWraps wraps;
  wraps.store = [&clock](StableStore& own) {
    return std::make_unique<NothingSynced>(own, clock);
  };
  return wraps;
}

}  // namespace tamarindshift::testing
