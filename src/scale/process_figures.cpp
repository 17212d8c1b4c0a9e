#include "scale/process_figures.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace tamarindshift {

std::optional<ProcessFigures> processFigures(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  if (!std::getline(file, text)) return std::nullopt;
  std::istringstream words(text.substr(text.rfind(')') + 2));
  std::vector<std::string> fields;
  for (std::string word; words >> word;) fields.push_back(word);
  if (fields.size() < 22) return std::nullopt;
  ProcessFigures figures;
  figures.processorSeconds = (std::stod(fields[11]) + std::stod(fields[12])) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  figures.residentMegabytes = std::stod(fields[21]) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  return figures;
}

MachineFigures machineFigures() {
  std::ifstream file("/proc/stat");
  std::string name;
  file >> name;
  MachineFigures figures;
  double amount = 0;
  for (int field = 0; field < 8 && file >> amount; ++field) {
    figures.whole += amount;
    if (field != 3 && field != 4) figures.used += amount;
  }
  return figures;
}

}  // namespace tamarindshift
