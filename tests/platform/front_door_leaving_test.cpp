#include <catch2/catch.hpp>

#include "platform/front_door.hpp"
#include "real/completion.hpp"
#include "tests/pooler_trial.hpp"

using namespace tamarindshift;

namespace {

// a line whose close goes on with its reader at once, as one of a system's sockets may do
class PromptLine : public LineConnection {
 public:
  Task<std::optional<std::string>> readLine(std::optional<Instant>) override {
    if (!held_.empty()) co_return std::exchange(held_, {});
    if (open_)
      co_await Completion<>([this](auto done) {
        reader_ = done;
      });
    co_return std::nullopt;
  }
  bool write(std::string bytes) override {
    written_ += bytes;
    return open_;
  }
  const std::string& written() const { return written_; }
  bool usable() const override { return open_; }
  bool holdsInput() const override { return false; }
  bool holdsOutput() const override { return holdsOutput_; }
  void holdOutput(bool holds) { holdsOutput_ = holds; }
  void close() override {
    open_ = false;
    if (auto reader = std::exchange(reader_, nullptr)) reader();
  }
  bool closed() const { return !open_; }

 private:
  std::string held_ = "SETUP strict u1";
  std::string written_;
  std::function<void()> reader_;
  bool open_ = true;
  bool holdsOutput_ = false;
};

}  // namespace

TEST_CASE("front: a leaving node closes all idle sessions, also where a close ends one at once", "[front]") {
  PoolerTrial trial;
  platform::FrontDoor door(trial.clock, *trial.pooler);
  TaskScope scope;
  std::vector<std::shared_ptr<PromptLine>> lines;
  for (int count = 0; count < 50; ++count) {
    lines.push_back(std::make_shared<PromptLine>());
    scope.spawn(door.serve(lines.back()));
  }
  CHECK(trial.pooler->sessions() == 50);
  trial.pooler->drain();
  trial.run(trial.settings.drainServingTime + 500ms);
  for (const auto& line : lines) CHECK(line->closed());
  CHECK(trial.pooler->sessions() == 0);
}

// Guards against a reply that is cut off because the process exits while it is being sent.
TEST_CASE("front: a leaving node has stopped only once the last replies are sent, or its time is over", "[front]") {
  PoolerTrial trial;
  platform::FrontDoor door(trial.clock, *trial.pooler);
  TaskScope scope;
  auto line = std::make_shared<PromptLine>();
  scope.spawn(door.serve(line));
  line->holdOutput(true);
  trial.pooler->drain();
  trial.run(trial.settings.drainServingTime + 500ms);
  CHECK(line->closed());
  CHECK(trial.pooler->stopped());
  CHECK_FALSE(door.stopped());
  bool sent = GENERATE(false, true);
  if (sent) {
    line->holdOutput(false);
    CHECK(door.stopped());
  }
  trial.run(2900ms);
  CHECK(door.stopped() == sent);
  trial.run(200ms);
  CHECK(door.stopped());
}

// Guards against an exit without a word to a client whose session is being opened.
TEST_CASE("front: a leaving node answers a session that it is opening before it has stopped", "[front]") {
  PoolerTrial::Options options;
  options.published = false;
  // sessions wait for routes only while the process is young
  options.settings.drainServingTime = 300ms;
  PoolerTrial trial(options);
  platform::FrontDoor door(trial.clock, *trial.pooler);
  TaskScope scope;
  // so that the time to close comes between two looks of the pooler
  trial.run(40ms);
  trial.pooler->drain();
  trial.run(trial.settings.drainServingTime - 100ms);
  auto line = std::make_shared<PromptLine>();
  scope.spawn(door.serve(line));
  while (!door.stopped()) trial.run(1ms);
  CHECK(line->written().starts_with("ERROR CONGESTED"));
}
