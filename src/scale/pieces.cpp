#include "scale/pieces.hpp"

#include <time.h>

#include "control/report_tables.hpp"
#include "control/heartbeat_json.hpp"
#include "control/control_state.hpp"
#include "control/plan_reader.hpp"
#include "control/published_entries.hpp"
#include "control/share_allocation.hpp"
#include "group/group_messages.hpp"
#include "scale/scale_plan.hpp"
#include "wire/peer_request.hpp"

namespace tamarindshift {

namespace {

double processorSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// processor time of one call in microseconds; repeats for at least 50 ms
double cost(const std::function<void()>& call) {
  auto began = processorSeconds();
  std::size_t calls = 0;
  do {
    call();
    ++calls;
  } while (processorSeconds() - began < 0.05);
  return (processorSeconds() - began) / static_cast<double>(calls) * 1e6;
}

std::string asked(std::string subject, std::string body) {
  return packed(PeerRequest{1u << 30, ~0ull, std::move(subject), std::move(body)});
}

class Pieces {
 public:
  explicit Pieces(const ScaleShape& shape)
      : shape_(shape), addresses_{"127.64", shape}, state_(board_), planText_(scalePlan(addresses_, 1)) {}

  PieceFigures measure() {
    note("nodes", static_cast<double>(shape_.nodes));
    note("databases", static_cast<double>(shape_.databases));
    note("services", static_cast<double>(shape_.services()));
    planFigures();
    enrolAll();
    shareFigures();
    publishFigures();
    snapshotFigures();
    newsFigures();
    accessFigures();
    groupFigures();
    changeFigures();
    return std::move(figures_);
  }

 private:
  void note(const std::string& name, double value) { figures_.emplace_back(name, value); }

  std::string apply(ControlCommandType matter, std::string body) {
    Action action;
    action.update = packed(ControlCommand{matter, 0, std::move(body)});
    lastActionBytes_ = packed(action).size();
    return state_.applyGreen(action, ++position_);
  }

  void planFigures() {
    note("plan_bytes", static_cast<double>(planText_.size()));
    PlanReader reader;
    note("plan_read_us", cost([&] {
           reader.read(planText_);
         }));
    plan_ = reader.read(planText_);
    note("plan_taken", plan_ ? 1 : 0);
    PlanCommand update{planText_};
    apply(ControlCommandType::plan, packed(update));
    note("plan_action_bytes", static_cast<double>(lastActionBytes_));
  }

  void enrolAll() {
    for (std::size_t index = 0; index < shape_.nodes; ++index) {
      NodeCommand update{addresses_.agent(index), shape_.zone(index), index + 1};
      apply(ControlCommandType::enrolNode, packed(update));
      weights_[update.node] = 1;
    }
    note("enrol_action_bytes", static_cast<double>(lastActionBytes_));
  }

  void shareFigures() {
    auto service = plan_->services.begin()->second;
    WantedShares idle;
    for (const auto& [node, weight] : weights_)
      for (const auto& [branch, planned] : service.branches) idle[node][branch] = 1;
    note("share_cut_us", cost([&] {
           allocateShares(service, idle, weights_);
         }));
    auto grants = allocateShares(service, idle, weights_);
    std::size_t without = 0;
    for (const auto& [node, branches] : grants)
      for (const auto& [branch, amount] : branches) without += amount == 0;
    note("node_branches_without_a_connection", static_cast<double>(without));
    for (const auto& [name, planned] : plan_->services) {
      SharesCommand update{name, state_.services().at(name).sharesPosition, grants, {}};
      apply(ControlCommandType::shares, packed(update));
    }
    note("shares_action_bytes", static_cast<double>(lastActionBytes_));
  }

  void publishFigures() {
    NodeCommand update{addresses_.agent(0), shape_.zone(0), 1};
    note("action_us", cost([&] {
           apply(ControlCommandType::enrolNode, packed(update));
         }));
  }

  void snapshotFigures() {
    auto snapshot = state_.snapshot();
    note("snapshot_bytes", static_cast<double>(snapshot.size()));
    note("snapshot_us", cost([&] {
           state_.snapshot();
         }));
    UpdateStore board;
    ControlState joined(board);
    note("snapshot_restore_us", cost([&] {
           joined.restore(snapshot);
         }));
  }

  std::size_t replyBytes(const std::map<Topic, std::uint64_t>& have, bool signs = true) {
    FollowReply reply;
    for (const auto& [topic, mark] : have) {
      auto& own = reply.topics[topic];
      board_.fillReply(topic, mark, own);
      own.lease = 1600ms;
      own.position = position_;
      if (signs && topic != fleetTopic)
        for (std::size_t number = 1; number <= shape_.databasesPerService; ++number)
          own.databaseReports.push_back(DatabaseReport{"d" + std::to_string(number), "replica", 2, 123456, 150ms, 120ms});
    }
    return packed(PeerReply{1u << 30, ~0ull, packed(reply)}).size();
  }

  std::map<Topic, std::uint64_t> marks() const {
    std::map<Topic, std::uint64_t> marks;
    for (const auto& [topic, entry] : board_.topics()) marks[topic] = entry->mark;
    return marks;
  }

  void newsFigures() {
    FollowRequest ask;
    ask.knownMarks = marks();
    note("ask_bytes", static_cast<double>(asked("follow", packed(ask)).size()));
    note("quiet_reply_bytes", static_cast<double>(replyBytes(ask.knownMarks)));
    note("quiet_reply_without_signs_bytes", static_cast<double>(replyBytes(ask.knownMarks, false)));
    note("fleet_table_bytes", static_cast<double>(replyBytes({{fleetTopic, 0}})));
    auto nothing = ask.knownMarks;
    for (auto& [topic, mark] : nothing) mark = 0;
    note("news_tables_bytes", static_cast<double>(replyBytes(nothing)));
    note("quiet_reply_us", cost([&] {
           replyBytes(ask.knownMarks);
         }));
    const auto* fleet = board_.find(fleetTopic);
    note("zone_agents_us", cost([&] {
           for (const auto& [key, value] : fleet->table)
             if (key.starts_with(nodePrefix)) unpacked<PublishedNode>(value);
         }));
  }

  std::size_t newsBytesAfter(const std::function<void()>& change) {
    auto before = marks();
    change();
    std::erase_if(before, [this](const auto& each) {
      return board_.mark(each.first) == each.second;
    });
    return replyBytes(before);
  }

  void changeFigures() {
    note("plan_news_bytes", static_cast<double>(newsBytesAfter([this] {
           PlanCommand update{scalePlan(addresses_, 2)};
           apply(ControlCommandType::plan, packed(update));
         })));
    note("shares_news_bytes", static_cast<double>(newsBytesAfter([this] {
           const auto& [name, service] = *state_.services().begin();
           SharesCommand update{name, service.sharesPosition, service.grants, {}};
           update.grants.erase(addresses_.agent(0));
           apply(ControlCommandType::shares, packed(update));
         })));
  }

  void accessFigures() {
    NodeReport report;
    report.node = addresses_.agent(0);
    report.zone = shape_.zone(0);
    report.boot = 1ull << 60;
    report.lease = 1500ms;
    for (const auto& [name, planned] : plan_->services) {
      auto& own = report.services[name];
      own.appliedPosition = 100000;
      own.epoch = Epoch{2};
      own.acknowledged = LogPosition{Epoch{2}, Position{123456}};
      for (const auto& [branch, each] : planned.branches) own.connectionDemand[branch] = 1;
    }
    auto bytes = packed(report);
    note("report_bytes", static_cast<double>(asked("report", bytes).size()));
    auto quiet = report;
    quiet.services.clear();
    quiet.full = false;
    note("quiet_report_bytes", static_cast<double>(asked("report", packed(quiet)).size()));
    ReportTables access;
    auto now = Instant{} + 1h;
    note("report_taken_us", cost([&] {
           access.recordReport(*unpacked<NodeReport>(bytes), now);
         }));
    DatabaseHeartbeat heartbeat{
        ServiceName{"s100"}, DatabaseName{"d1"}, 1ull << 40, 1000, "replica", Epoch{2}, Position{123456}, 100ms, false, {}, {}, 0};
    note("heartbeat_bytes", static_cast<double>(asked("heartbeat", packed(heartbeat)).size()));
    note("heartbeat_json_bytes", static_cast<double>(heartbeatToJson(heartbeat).size()));
    for (const auto& settings : addresses_.databases()) {
      heartbeat.service = settings.service;
      heartbeat.database = settings.name;
      access.recordHeartbeat(heartbeat, now, 1s);
    }
    note("signs_us", cost([&] {
           access.databaseReports(ServiceName{"s1"}, now);
         }));
  }

  void groupFigures() {
    GroupHeartbeat heartbeat;
    heartbeat.from = Member{ServerId{addresses_.replica(0), Incarnation{1ull << 60}}, Boot{1ull << 60}};
    heartbeat.view.coordinator = heartbeat.from;
    heartbeat.sentAt = 1h;
    for (std::size_t index = 1; index < shape_.replicas; ++index) {
      heartbeat.lastHeartbeatSentAt[Member{ServerId{addresses_.replica(index), Incarnation{1ull << 60}}, Boot{1ull << 60}}] = 1h;
      heartbeat.knownAddresses.insert(addresses_.replica(index));
    }
    note("group_heartbeat_bytes", static_cast<double>(packed(heartbeat).size()));
  }

  ScaleShape shape_;
  ScaleAddresses addresses_;
  UpdateStore board_;
  ControlState state_;
  std::string planText_;
  std::optional<Plan> plan_;
  NodeWeights weights_;
  std::uint64_t position_ = 0;
  std::size_t lastActionBytes_ = 0;
  PieceFigures figures_;
};

}  // namespace

PieceFigures measurePieces(const ScaleShape& shape) {
  return Pieces(shape).measure();
}

}  // namespace tamarindshift
