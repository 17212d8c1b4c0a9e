#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace tamarindshift {

struct Flow {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  Flow& operator+=(const Flow& other) {
    messages += other.messages;
    bytes += other.bytes;
    return *this;
  }
  Flow operator-(const Flow& other) const { return Flow{messages - other.messages, bytes - other.bytes}; }
};

struct Traffic {
  std::map<std::string, Flow> in;
  std::map<std::string, Flow> out;

  Traffic& operator+=(const Traffic& other) {
    for (const auto& [name, flow] : other.in) in[name] += flow;
    for (const auto& [name, flow] : other.out) out[name] += flow;
    return *this;
  }
  Traffic operator-(const Traffic& earlier) const {
    auto rest = *this;
    for (const auto& [name, flow] : earlier.in) rest.in[name] = rest.in[name] - flow;
    for (const auto& [name, flow] : earlier.out) rest.out[name] = rest.out[name] - flow;
    return rest;
  }
  static Flow sum(const std::map<std::string, Flow>& flows, const std::string& prefix) {
    Flow all;
    for (const auto& [name, flow] : flows)
      if (name.starts_with(prefix)) all += flow;
    return all;
  }
};

}  // namespace tamarindshift
