#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/journal.hpp"

namespace tamarindshift {

/// Builds a page of metrics in the Prometheus text format, version 0.0.4.
class MetricsText {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  /// Begins a family; its samples follow.
  void counter(const std::string& name, const std::string& help) { family(name, help, "counter"); }
  void gauge(const std::string& name, const std::string& help) { family(name, help, "gauge"); }
  void sample(const Labels& labels, double value);
  /// The counters and invariants that every program has.
  void journal(const Journal& journal);
  const std::string& text() const { return text_; }

 private:
  void family(const std::string& name, const std::string& help, const std::string& type);
  static std::string escaped(const std::string& value);

  std::string name_;
  std::string text_;
};

}  // namespace tamarindshift
