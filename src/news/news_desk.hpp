#pragma once

#include "base/desk.hpp"
#include "news/news_board.hpp"
#include "news/news_source.hpp"

namespace tamarindshift {

class NewsDesk {
 public:
  NewsDesk(Clock& clock, Desk& desk, NewsBoard& board, NewsSource& source, Duration wait);

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
  std::shared_ptr<const Marks> whole(const Address& from, FollowAsk& ask);
  Task<void> wait(std::shared_ptr<const Marks> have, Duration lease);
  bool nothingNew(const Marks& have) const;
  std::optional<Instant> leasedUntil(const Marks& have) const;
  FollowReply reply(const Address& from, const FollowAsk& ask, const Marks& have) const;
  bool passesWholeTo(const Address& from) const;
  static void leaveOutQuiet(FollowReply& reply, const Marks& have);
  Clock& clock_;
  Address own_;
  NewsBoard& board_;
  NewsSource& source_;
  Duration wait_;
  std::map<Address, Remembered> followers_;
};

}  // namespace tamarindshift
