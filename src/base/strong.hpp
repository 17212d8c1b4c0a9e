#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace tamarindshift {

template <class Tag, class Value>
class Strong {
 public:
  using value_type = Value;
  constexpr Strong() = default;
  constexpr explicit Strong(Value value) : value_(std::move(value)) {}
  constexpr const Value& get() const { return value_; }
  constexpr Value& get() { return value_; }
  auto operator<=>(const Strong&) const = default;
  bool operator==(const Strong&) const = default;

 private:
  Value value_{};
};

}  // namespace tamarindshift

template <class Tag, class Value>
struct std::hash<tamarindshift::Strong<Tag, Value>> {
  std::size_t operator()(const tamarindshift::Strong<Tag, Value>& strong) const { return std::hash<Value>{}(strong.get()); }
};
