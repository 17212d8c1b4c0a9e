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
  bool write(std::string) override { return open_; }
  bool usable() const override { return open_; }
  bool holdsInput() const override { return false; }
  void close() override {
    open_ = false;
    if (auto reader = std::exchange(reader_, nullptr)) reader();
  }
  bool closed() const { return !open_; }

 private:
  std::string held_ = "SETUP strict u1";
  std::function<void()> reader_;
  bool open_ = true;
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
