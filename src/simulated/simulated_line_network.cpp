#include "simulated/simulated_line_network.hpp"

#include "simulated/simulated_line_link.hpp"

namespace tamarindshift {

bool SimulatedLineNetwork::reaches(const Address& from, const Address& to) const {
  return network_.connected(from, to) && !unpowered_.contains(SimulatedNetwork::host(from)) &&
         !unpowered_.contains(SimulatedNetwork::host(to));
}

std::uint64_t SimulatedLineNetwork::opened(const Address& address) const {
  auto found = opened_.find(address);
  return found == opened_.end() ? 0 : found->second;
}

const LineFaults* SimulatedLineNetwork::faultsOf(const Line& line) const {
  for (const auto& end : line->ends)
    if (auto found = faults_.find(end.own); found != faults_.end()) return &found->second;
  return nullptr;
}

void SimulatedLineNetwork::write(const Line& line, std::size_t from, std::string bytes) {
  const auto* faults = faultsOf(line);
  auto unlucky = [&](unsigned perThousand) {
    return perThousand > 0 && world().chance(perThousand);
  };
  if (faults && unlucky(faults->lose)) return reset(line, from);
  if (faults && unlucky(faults->breakOff)) {
    bytes.resize(world().below(bytes.size()));
    send(line, from, LineEvent::bytes, std::move(bytes));
    return finish(line, from);
  }
  send(line, from, LineEvent::bytes, std::move(bytes));
  if (faults && unlucky(faults->resetAfterWrite)) {
    send(line, from, LineEvent::reset, {});
    line->ends[from].open = false;
    line->ends[from].finished = true;
    line->ends[from].gate->open();
  }
}

void SimulatedLineNetwork::send(const Line& line, std::size_t from, LineEvent event, std::string bytes) {
  auto& end = line->ends[from];
  end.lastArrival = std::max(end.lastArrival, world().now() + network_.latency());
  end.underway.push_back(SimulatedLine::Chunk{event, std::move(bytes), end.lastArrival});
  if (end.delivering) return;
  end.delivering = true;
  world().at(end.lastArrival, [this, line, from] {
    deliver(line, from, 100ms);
  });
}

void SimulatedLineNetwork::deliver(const Line& line, std::size_t from, Duration retry) {
  auto& end = line->ends[from];
  auto& far = line->ends[1 - from];
  if (end.underway.empty() || end.vanished) {
    end.delivering = false;
    return;
  }
  if (!reaches(end.own, far.own)) {
    world().at(world().now() + retry, [this, line, from, retry] {
      deliver(line, from, std::min<Duration>(2 * retry, 800ms));
    });
    return;
  }
  auto chunk = std::move(end.underway.front());
  end.underway.pop_front();
  arrive(line, from, std::move(chunk));
  if (end.underway.empty()) {
    end.delivering = false;
    return;
  }
  world().at(end.underway.front().due, [this, line, from] {
    deliver(line, from, 100ms);
  });
}

void SimulatedLineNetwork::arrive(const Line& line, std::size_t from, SimulatedLine::Chunk chunk) {
  auto& end = line->ends[from];
  auto& far = line->ends[1 - from];
  if (far.vanished || !far.open) {
    if (chunk.event == LineEvent::bytes && end.open) {
      end.underway.clear();
      world().at(world().now() + network_.latency(), [line, from] {
        line->ends[from].finished = true;
        line->ends[from].gate->open();
      });
    }
    return;
  }
  if (far.finished && chunk.event != LineEvent::reset) return;
  if (chunk.event == LineEvent::bytes)
    far.arrived += chunk.bytes;
  else
    far.finished = true;
  if (chunk.event == LineEvent::reset) far.underway.clear();
  far.gate->open();
}

void SimulatedLineNetwork::finish(const Line& line, std::size_t from) {
  auto& end = line->ends[from];
  if (!end.open) return;
  end.open = false;
  end.gate->open();
  if (!end.vanished && !end.finished) send(line, from, end.arrived.empty() ? LineEvent::finish : LineEvent::reset, {});
}

void SimulatedLineNetwork::reset(const Line& line, std::size_t from) {
  auto& end = line->ends[from];
  if (!end.open) return;
  end.open = false;
  end.finished = true;
  end.underway.clear();
  end.gate->open();
  if (!end.vanished) send(line, from, LineEvent::reset, {});
}

void SimulatedLineNetwork::vanish(const Line& line, std::size_t end) {
  auto& gone = line->ends[end];
  gone.vanished = true;
  gone.open = false;
  gone.finished = true;
  gone.underway.clear();
}

void SimulatedLineNetwork::resetConnections(const std::string& host, unsigned perThousand) {
  for (auto* link : links_)
    if (SimulatedNetwork::host(link->from_) == host)
      for (const auto& [line, end] : link->current())
        if (world().chance(perThousand)) {
          reset(line, end);
          line->ends[end].gate->open();
        }
}

}  // namespace tamarindshift
