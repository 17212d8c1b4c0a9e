#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

std::string takeWireWord(std::string& text) {
  auto blank = text.find(' ');
  auto word = text.substr(0, blank);
  text.erase(0, blank == std::string::npos ? blank : blank + 1);
  return word;
}

}  // namespace tamarindshift::testing
