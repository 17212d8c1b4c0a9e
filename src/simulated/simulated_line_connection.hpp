#pragma once

#include "simulated/simulated_line_network.hpp"

namespace tamarindshift {

class SimulatedLineConnection : public LineConnection {
 public:
  SimulatedLineConnection(SimulatedLineNetwork& lines, Clock& clock, std::shared_ptr<SimulatedLine> line, std::size_t end)
      : lines_(lines), clock_(clock), line_(std::move(line)), end_(end) {}
  ~SimulatedLineConnection() override { close(); }
  Task<std::optional<std::string>> readLine(std::optional<Instant> deadline) override;
  bool write(std::string bytes) override;
  bool usable() const override { return line_->ends[end_].open && !line_->ends[end_].finished; }
  bool holdsInput() const override { return !line_->ends[end_].arrived.empty(); }
  void close() override { lines_.finish(line_, end_); }

 private:
  std::optional<std::string> take(SimulatedLine::End& own);

  SimulatedLineNetwork& lines_;
  Clock& clock_;
  std::shared_ptr<SimulatedLine> line_;
  std::size_t end_;
};

}  // namespace tamarindshift
