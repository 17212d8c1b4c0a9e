#pragma once

#include <functional>

#include "base/task_scope.hpp"
#include "base/gate.hpp"
#include "real/held_back_signal.hpp"
#include "real/http_web_link.hpp"
#include "real/program.hpp"
#include "real/restinio_door.hpp"

namespace tamarindshift {

class Daemon {
 public:
  explicit Daemon(const std::string& name) : clock(context), web(context), journal(name), name_(name), signals_(context, SIGINT, SIGTERM) {
    signals_.add(SIGHUP);
    HeldBackHangUp::release();
  }
  std::optional<std::string> serve(const Address& address, DoorKeeper& keeper);
  std::function<void()> rereads(Program& program, std::function<void()> change);
  int run(std::function<void()> terminate, std::function<void()> reread, std::function<std::optional<int>()> ended);

  boost::asio::io_context context{1};
  RealClock clock;
  HttpWebLink web;
  LogJournal journal;

 private:
  void awaitSignal(std::function<void()> terminate, std::function<void()> reread);
  Task<void> watch(std::function<std::optional<int>()> ended);
  /// Gives the last replies of the doors time to be sent.
  Task<void> sendLastReplies();
  std::string name_;
  boost::asio::signal_set signals_;
  std::vector<std::unique_ptr<RestinioDoor>> doors_;
  int code_ = 0;
  TaskScope scope_;
};

}  // namespace tamarindshift
