#include "real/daemon.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace tamarindshift {

namespace {

/// A client that does not read its reply delays the exit for no longer than this.
constexpr Duration lastRepliesTimeout = 200ms;

}  // namespace

std::optional<std::string> Daemon::serve(const Address& address, DoorKeeper& keeper) {
  doors_.push_back(std::make_unique<RestinioDoor>(context, address, keeper, journal));
  auto fault = doors_.back()->open();
  if (fault) return "cannot serve on " + address.get() + ": " + *fault;
  return std::nullopt;
}

void Daemon::awaitSignal(std::function<void()> terminate, std::function<void()> reread) {
  signals_.async_wait([this, terminate, reread](const boost::system::error_code& error, int signal) {
    if (error) return;
    signal == SIGHUP ? reread() : terminate();
    awaitSignal(terminate, reread);
  });
}

Task<void> Daemon::sendLastReplies() {
  auto holdsOutput = [](const auto& door) {
    return door->holdsOutput();
  };
  auto until = clock.now() + lastRepliesTimeout;
  while (clock.now() < until && std::any_of(doors_.begin(), doors_.end(), holdsOutput)) co_await sleep(clock, 5ms);
}

Task<void> Daemon::watch(std::function<std::optional<int>()> ended) {
  for (auto nextLog = clock.now() + 60s;;) {
    if (auto code = ended()) {
      co_await sendLastReplies();
      code_ = *code;
      context.stop();
      co_return;
    }
    if (clock.now() >= nextLog) {
      journal.logCounters();
      nextLog += 60s;
    }
    co_await sleep(clock, 20ms);
  }
}

std::function<void()> Daemon::rereads(Program& program, std::function<void()> change) {
  return [this, &program, change = std::move(change)] {
    if (!program.reread()) return journal.line("settings refused, the old ones stay: " + program.lastReason());
    change();
    journal.line("settings read again");
  };
}

int Daemon::run(std::function<void()> terminate, std::function<void()> reread, std::function<std::optional<int>()> ended) {
  awaitSignal(std::move(terminate), std::move(reread));
  scope_.spawn(watch(std::move(ended)));
  journal.line("started");
  try {
    context.run();
  } catch (const std::exception& error) {
    std::cerr << name_ << ": " << error.what() << "\n";
    std::_Exit(1);
  }
  journal.logCounters();
  journal.line("ended");
  std::cout.flush();
  std::_Exit(code_);
}

}  // namespace tamarindshift
