#pragma once

#include <string>

namespace tamarindshift::testing {

// takes the first word and its blank off the text
std::string takeWireWord(std::string& text);

}  // namespace tamarindshift::testing
