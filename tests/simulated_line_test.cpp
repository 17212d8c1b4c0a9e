#include <catch2/catch.hpp>

#include "simulated/simulated_clock.hpp"
#include "simulated/simulated_line_link.hpp"

using namespace tamarindshift;

namespace {

class Echo : public LineKeeper {
 public:
  Task<void> serve(std::shared_ptr<LineConnection> connection) override {
    ++served;
    while (auto line = co_await connection->readLine(std::nullopt)) connection->write(*line + "\r\n");
    ++ended;
  }
  int served = 0;
  int ended = 0;
};

struct Trial {
  World world{1};
  SimulatedNetwork network{world};
  SimulatedLineNetwork lines{network};
  SimulatedClock clientClock{world};
  SimulatedClock serverClock{world};
  Echo echo;
  Address server{"10.0.0.1:80"};
  std::unique_ptr<SimulatedLineLink> client = std::make_unique<SimulatedLineLink>(lines, clientClock, Address{"10.0.0.9:0"});
  std::unique_ptr<SimulatedLineLink> host = std::make_unique<SimulatedLineLink>(lines, serverClock, server);
  std::unique_ptr<LineConnection> connection;
  std::vector<std::optional<std::string>> read;
  bool tried = false;
  Instant triedAt{};
  TaskScope scope;

  Trial() { host->listen(server, echo); }

  Task<void> connect(Duration patience) {
    connection = co_await client->open(server, clientClock.now() + patience);
    tried = true;
    triedAt = world.now();
  }
  Task<void> readOne(std::optional<Duration> patience) {
    std::optional<Instant> deadline;
    if (patience) deadline = clientClock.now() + *patience;
    auto line = co_await connection->readLine(deadline);
    read.push_back(line);
  }
  void run(Duration duration) { world.runUntil(world.now() + duration); }
  void open() {
    scope.spawn(connect(1s));
    run(10ms);
    REQUIRE(connection);
  }
  void reads(std::optional<Duration> patience = std::nullopt) { scope.spawn(readOne(patience)); }
};

}  // namespace

TEST_CASE("simulated lines arrive whole and in order") {
  Trial trial;
  trial.open();
  trial.connection->write("one\r\ntw");
  trial.connection->write("o\r\nthree\r\n");
  for (int index = 0; index < 3; ++index) trial.reads();
  trial.run(20ms);
  CHECK(trial.read == std::vector<std::optional<std::string>>{"one", "two", "three"});
  trial.reads(50ms);
  trial.run(100ms);
  CHECK(trial.read.back() == std::nullopt);
  CHECK(trial.connection->usable());
  trial.connection->close();
  trial.run(10ms);
  CHECK(trial.echo.ended == 1);
}

TEST_CASE("where nothing listens a connection is refused at once, behind a cut it hangs until the deadline") {
  Trial trial;
  trial.host->unlisten(trial.server);
  trial.scope.spawn(trial.connect(1s));
  trial.run(20ms);
  CHECK(trial.tried);
  CHECK_FALSE(trial.connection);
  trial.tried = false;
  trial.host->listen(trial.server, trial.echo);
  trial.network.cut("10.0.0.9", "10.0.0.1");
  auto began = trial.world.now();
  trial.scope.spawn(trial.connect(1s));
  trial.run(900ms);
  CHECK_FALSE(trial.tried);
  trial.run(200ms);
  CHECK(trial.tried);
  CHECK_FALSE(trial.connection);
  CHECK(trial.triedAt - began >= 1s);
}

TEST_CASE("a cut holds bytes up and a healed one lets them through in order") {
  Trial trial;
  trial.open();
  trial.network.cut("10.0.0.9", "10.0.0.1");
  trial.connection->write("one\r\n");
  trial.connection->write("two\r\n");
  trial.reads();
  trial.reads();
  trial.run(2s);
  CHECK(trial.read.empty());
  CHECK(trial.connection->usable());
  trial.network.healAll();
  trial.run(1s);
  CHECK(trial.read == std::vector<std::optional<std::string>>{"one", "two"});
}

TEST_CASE("bytes held up by a cut are lost with the sender's power") {
  Trial trial;
  trial.open();
  trial.network.cut("10.0.0.9", "10.0.0.1");
  trial.connection->write("one\r\n");
  trial.run(100ms);
  trial.lines.powerOff("10.0.0.9");
  trial.client->losePower();
  trial.network.healAll();
  trial.run(5s);
  CHECK(trial.echo.ended == 0);
}

TEST_CASE("the end of a process closes its connections and refuses new ones") {
  Trial trial;
  trial.open();
  trial.reads();
  trial.host->kill();
  trial.run(10ms);
  REQUIRE(trial.read.size() == 1);
  CHECK(trial.read.front() == std::nullopt);
  CHECK_FALSE(trial.connection->usable());
  CHECK_FALSE(trial.connection->write("more\r\n"));
  trial.tried = false;
  trial.scope.spawn(trial.connect(1s));
  trial.run(10ms);
  CHECK(trial.tried);
  CHECK_FALSE(trial.connection);
}

TEST_CASE("a machine that lost its power says nothing, and resets what it is sent once it is back") {
  Trial trial;
  trial.open();
  trial.reads();
  trial.lines.powerOff("10.0.0.1");
  trial.host->losePower();
  trial.run(5s);
  CHECK(trial.read.empty());
  CHECK(trial.connection->usable());
  trial.connection->write("one\r\n");
  trial.run(1s);
  CHECK(trial.read.empty());
  trial.lines.powerOn("10.0.0.1");
  trial.run(2s);
  CHECK(trial.read.size() == 1);
  CHECK_FALSE(trial.connection->usable());
}

TEST_CASE("a connection whose far end is dark is dropped where that was asked for") {
  Trial trial;
  trial.host->dropDarkAfter(3s);
  trial.open();
  trial.network.cut("10.0.0.9", "10.0.0.1");
  trial.run(2500ms);
  CHECK(trial.echo.ended == 0);
  trial.run(1s);
  CHECK(trial.echo.ended == 1);
  CHECK(trial.host->connections() == 0);
}

TEST_CASE("resets and messages broken off end a connection") {
  Trial trial;
  trial.open();
  trial.reads();
  trial.lines.resetConnections("10.0.0.1", 1000);
  trial.run(10ms);
  CHECK(trial.read.size() == 1);
  CHECK(trial.echo.ended == 1);
  trial.open();
  trial.lines.faults(trial.server, LineFaults{0, 1000, 0});
  trial.connection->write("one\r\n");
  trial.run(10ms);
  CHECK(trial.echo.served == 2);
  CHECK(trial.echo.ended == 2);
  CHECK_FALSE(trial.connection->usable());
}

TEST_CASE("a line that is too long breaks the connection") {
  Trial trial;
  trial.open();
  trial.connection->write(std::string(LineConnection::mostLineBytes + 1, 'x'));
  trial.run(10ms);
  CHECK(trial.echo.ended == 1);
  trial.run(10ms);
  CHECK_FALSE(trial.connection->usable());
}

TEST_CASE("a frozen process neither takes connections nor reads until it thaws") {
  Trial trial;
  trial.serverClock.freeze();
  trial.open();
  trial.connection->write("one\r\n");
  trial.reads();
  trial.run(2s);
  CHECK(trial.echo.served == 0);
  CHECK(trial.read.empty());
  trial.serverClock.thaw();
  trial.run(10ms);
  CHECK(trial.read == std::vector<std::optional<std::string>>{"one"});
}
