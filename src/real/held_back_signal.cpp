#include "real/held_back_signal.hpp"

#include <csignal>

namespace tamarindshift {

namespace {

// of the priorities that programs may use, this one runs first
constexpr int first = 101;

void mask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(how, &signals, nullptr);
}

[[gnu::constructor(first)]] void holdAtStart() {
  HeldBackHangUp::hold();
}

}  // namespace

void HeldBackHangUp::hold() {
  mask(SIG_BLOCK);
}

void HeldBackHangUp::release() {
  mask(SIG_UNBLOCK);
}

}  // namespace tamarindshift
