#pragma once

#include <map>
#include <memory>

#include "runner/relay.hpp"

namespace tamarindshift::testing {

/// Relays on the ways between hosts, so that single ways can be cut and reset. Bytes on a way that is cut wait, as
/// TCP would hold them.
class SoakMesh {
 public:
  SoakMesh(boost::asio::io_context& context, Clock& clock, std::string prefix)
      : context_(context), clock_(clock), prefix_(std::move(prefix)) {}
  /// The address to use in place of `target` on the way from `source`; a reason in `fault` if it can't be had.
  Address way(const std::string& source, const Address& target, std::string& fault);
  /// One direction of all connections that `source` opens to `target`, and of those that go back on them.
  void cut(const std::string& source, const std::string& target, bool cut);
  void reset(const std::string& host);

 private:
  static constexpr int waysOfAddress = 200;

  struct Way {
    std::string source;
    std::string target;
    std::unique_ptr<Relay> relay;
  };

  boost::asio::io_context& context_;
  Clock& clock_;
  std::string prefix_;
  std::vector<Way> ways_;
};

}  // namespace tamarindshift::testing
