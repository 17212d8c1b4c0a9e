#include "base/plain_text.hpp"

#include <algorithm>

namespace tamarindshift {

namespace {

constexpr char firstPrintable = ' ';
constexpr char lastPrintable = '~';

bool isPrintable(char letter) {
  return letter >= firstPrintable && letter <= lastPrintable;
}

bool isControl(char letter) {
  auto byte = static_cast<unsigned char>(letter);
  return byte < static_cast<unsigned char>(firstPrintable) || byte == static_cast<unsigned char>(lastPrintable) + 1;
}

}  // namespace

bool isPlainWord(std::string_view text, std::size_t most) {
  if (text.empty() || text.size() > most) return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return isPrintable(letter) && letter != ' ';
  });
}

bool isPlainText(std::string_view text, std::size_t most) {
  return text.size() <= most && std::none_of(text.begin(), text.end(), isControl);
}

std::string printable(std::string_view text, std::size_t most) {
  std::string shown{text.substr(0, most)};
  std::replace_if(
      shown.begin(), shown.end(),
      [](char letter) {
        return !isPrintable(letter);
      },
      '?');
  return shown;
}

}  // namespace tamarindshift
