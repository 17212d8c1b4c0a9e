#pragma once

#include "base/journal.hpp"

namespace tamarindshift {

class QuietJournal : public Journal {
 public:
  void line(const std::string&) override {}
};

}  // namespace tamarindshift
