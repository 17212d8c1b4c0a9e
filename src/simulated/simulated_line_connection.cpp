#include "simulated/simulated_line_connection.hpp"

namespace tamarindshift {

std::optional<std::string> SimulatedLineConnection::take(SimulatedLine::End& own) {
  auto place = own.arrived.find("\r\n", own.searched);
  if (place == std::string::npos) {
    own.searched = own.arrived.empty() ? 0 : own.arrived.size() - 1;
    return std::nullopt;
  }
  auto text = own.arrived.substr(0, place);
  own.arrived.erase(0, place + 2);
  own.searched = 0;
  return text;
}

Task<std::optional<std::string>> SimulatedLineConnection::readLine(std::optional<Instant> deadline) {
  auto line = line_;
  auto& own = line->ends[end_];
  auto gate = own.gate;
  for (;;) {
    if (!own.open) co_return std::nullopt;
    auto text = take(own);
    if (text && text->size() + 2 <= mostLineBytes) co_return text;
    if (text || own.arrived.size() > mostLineBytes) {
      lines_.reset(line, end_);
      co_return std::nullopt;
    }
    if (own.finished) co_return std::nullopt;
    if (deadline && clock_.now() >= *deadline) co_return std::nullopt;
    co_await gate->wait(clock_, deadline);
  }
}

bool SimulatedLineConnection::write(std::string bytes) {
  if (!usable()) return false;
  lines_.write(line_, end_, std::move(bytes));
  return true;
}

}  // namespace tamarindshift
