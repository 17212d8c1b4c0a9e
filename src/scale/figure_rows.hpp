#pragma once

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace tamarindshift {

using Figures = std::vector<std::pair<std::string, double>>;

// appends a row to a file of comma separated values, with a head line if the file is new; a row may end early
inline bool writeRow(const std::string& path, const std::string& title, const Figures& figures) {
  std::ostringstream head;
  std::ostringstream row;
  row.precision(7);
  head << "title";
  row << title;
  for (const auto& [name, value] : figures) {
    head << "," << name;
    row << "," << value;
  }
  if (path.empty()) {
    std::cout << title << "\n";
    for (const auto& [name, value] : figures) std::cout << "  " << name << " " << value << "\n";
    return true;
  }
  std::ifstream before(path);
  std::string firstLine;
  bool fresh = !std::getline(before, firstLine);
  if (!fresh && !firstLine.starts_with(head.str())) return false;
  std::ofstream file(path, std::ios::app);
  if (fresh) file << head.str() << "\n";
  file << row.str() << "\n";
  return file.good();
}

}  // namespace tamarindshift
