#pragma once

#include "base/desk.hpp"
#include "updates/update_store.hpp"
#include "updates/update_source.hpp"

namespace tamarindshift {

class UpdateServer {
 public:
  UpdateServer(Clock& clock, Desk& desk, UpdateStore& board, UpdateSource& source, Duration wait);

 private:
  using Marks = std::map<Topic, std::uint64_t>;
  struct Remembered {
    std::uint64_t number = 0;
    std::shared_ptr<const Marks> have;
    Instant askedAt{};
  };
  static constexpr Duration remembered = 10s;
  static constexpr Duration lookAgain = 20ms;
  /// A node passes on whole tables up to this size; larger ones are asked of a replica, whose link has the room.
  static constexpr std::size_t mostWholeOfNode = 64u << 10;
  Task<std::optional<std::string>> follow(Address from, std::string body);
  std::shared_ptr<const Marks> whole(const Address& from, FollowRequest& ask);
  Task<void> wait(std::shared_ptr<const Marks> have, Duration lease);
  bool nothingNew(const Marks& have) const;
  std::optional<Instant> leasedUntil(const Marks& have) const;
  FollowReply reply(const Address& from, const FollowRequest& ask, const Marks& have) const;
  bool passesWholeTo(const Address& from) const;
  static void leaveOutQuiet(FollowReply& reply, const Marks& have);
  Clock& clock_;
  Address own_;
  UpdateStore& board_;
  UpdateSource& source_;
  Duration wait_;
  std::map<Address, Remembered> followers_;
};

}  // namespace tamarindshift
