#include "base/metrics_text.hpp"

#include <sstream>

namespace tamarindshift {

void MetricsText::family(const std::string& name, const std::string& help, const std::string& type) {
  name_ = "tamarindshift_" + name;
  text_ += "# HELP " + name_ + " " + help + "\n# TYPE " + name_ + " " + type + "\n";
}

std::string MetricsText::escaped(const std::string& value) {
  std::string text;
  for (char each : value) {
    if (each == '\\' || each == '"') text += '\\';
    if (each == '\n')
      text += "\\n";
    else
      text += each;
  }
  return text;
}

void MetricsText::sample(const Labels& labels, double value) {
  text_ += name_;
  if (!labels.empty()) {
    text_ += '{';
    for (const auto& [name, label] : labels) {
      if (text_.back() != '{') text_ += ',';
      text_ += name;
      text_ += "=\"";
      text_ += escaped(label);
      text_ += '"';
    }
    text_ += '}';
  }
  std::ostringstream number;
  number.precision(15);
  number << value;
  text_ += ' ';
  text_ += number.str();
  text_ += '\n';
}

void MetricsText::journal(const Journal& journal) {
  counter("events_total", "What happened, by name.");
  for (const auto& [name, value] : journal.counters()) sample({{"event", name}}, static_cast<double>(value));
  counter("invariant_checks_total", "How often an invariant was checked.");
  for (std::size_t index = 0; index < invariantCount; ++index) {
    auto invariant = static_cast<Invariant>(index);
    sample({{"invariant", std::string{invariantName(invariant)}}}, static_cast<double>(journal.invariant(invariant).checked));
  }
  counter("invariant_violations_total", "How often an invariant did not hold; each is a defect of the program.");
  for (std::size_t index = 0; index < invariantCount; ++index) {
    auto invariant = static_cast<Invariant>(index);
    sample({{"invariant", std::string{invariantName(invariant)}}}, static_cast<double>(journal.invariant(invariant).violated));
  }
}

}  // namespace tamarindshift
