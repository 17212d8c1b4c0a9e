#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "group/configuration.hpp"
#include "group/delivery.hpp"

namespace tamarindshift::testing {

struct GroupStretch {
  Configuration configuration;
  std::map<std::uint64_t, std::string> received;
  std::set<std::string> own;
  std::vector<std::pair<std::uint64_t, std::string>> delivered;
  std::size_t safely = 0;
  std::optional<std::set<ServerId>> transitional;
};

struct GroupLife {
  ServerId server;
  std::vector<GroupStretch> stretches;
};

class GroupHistory {
 public:
  std::size_t born(const ServerId& server);
  void regular(std::size_t life, const Configuration& configuration);
  void transitional(std::size_t life, const std::set<ServerId>& members);
  void received(std::size_t life, const Delivery& delivery);
  void stable(std::size_t life, const ViewId& view, std::uint64_t upto);
  void delivered(std::size_t life, const Delivery& delivery);
  void judge();

  std::vector<std::string> faults;
  std::size_t safe = 0;
  std::size_t inTransition = 0;
  std::size_t together = 0;

 private:
  void fault(const std::string& text);
  void compare(const GroupLife& left, const GroupLife& right);
  std::vector<GroupLife> lives_;
  std::map<ViewId, std::map<ServerId, std::uint64_t>> stable_;
  std::map<ViewId, std::map<std::uint64_t, std::string>> order_;
  std::map<ViewId, std::set<ServerId>> members_;
  std::map<ViewId, std::uint64_t> safeUpTo_;
};

}  // namespace tamarindshift::testing
