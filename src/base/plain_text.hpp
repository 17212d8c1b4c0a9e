#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarindshift {

/// Whether `text` has from one to `most` bytes, all of them printable ASCII other than blanks.
bool isPlainWord(std::string_view text, std::size_t most);

/// Whether `text` has at most `most` bytes and no control characters among them.
bool isPlainText(std::string_view text, std::size_t most);

/// `text` for logs and pages: at most `most` bytes, and '?' in place of each that is not printable ASCII.
std::string printable(std::string_view text, std::size_t most);

}  // namespace tamarindshift
