#include "tests/platform/wire_statement.hpp"

#include <map>

#include "tests/platform/wire_words.hpp"

namespace tamarindshift::testing {

namespace {

const std::map<std::string, WireVerb> verbs{
    {"BEGIN", WireVerb::begin},     {"COMMIT", WireVerb::commit}, {"ROLLBACK", WireVerb::rollback}, {"READ", WireVerb::read},
    {"WRITE", WireVerb::write},     {"SET", WireVerb::set},       {"PREPARE", WireVerb::prepare},   {"EXECUTE", WireVerb::execute},
    {"DISCARD", WireVerb::discard}, {"RESET", WireVerb::reset},   {"STATUS", WireVerb::status},     {"SUSPEND", WireVerb::suspend},
    {"RESUME", WireVerb::resume},   {"DEMOTE", WireVerb::demote}};

bool readFields(WireStatement& statement, std::string& rest) {
  switch (statement.verb) {
    case WireVerb::begin:
      statement.reads = rest == "READ";
      return rest.empty() || statement.reads;
    case WireVerb::read:
      statement.thing = rest;
      return !rest.empty() && rest.find(' ') == std::string::npos;
    case WireVerb::write:
      statement.thing = takeWireWord(rest);
      statement.data = rest;
      return !statement.thing.empty() && !rest.empty();
    case WireVerb::set:
      statement.name = takeWireWord(rest);
      statement.data = rest;
      return !statement.name.empty();
    case WireVerb::prepare: {
      statement.name = takeWireWord(rest);
      auto kind = takeWireWord(rest);
      statement.reads = kind == "READ";
      statement.shape = rest;
      return !statement.name.empty() && !rest.empty() && (kind == "READ" || kind == "WRITE");
    }
    case WireVerb::execute:
      statement.name = takeWireWord(rest);
      statement.thing = takeWireWord(rest);
      statement.data = rest;
      return !statement.name.empty() && !statement.thing.empty();
    case WireVerb::discard:
      statement.name = rest;
      return !rest.empty();
    case WireVerb::suspend:
    case WireVerb::demote: {
      auto term = wholeWireNumber(rest);
      statement.term = term.value_or(0);
      return term.has_value();
    }
    default:
      return rest.empty();
  }
}

}  // namespace

std::optional<WireStatement> parseWireStatement(std::string text) {
  WireStatement statement;
  auto word = takeWireWord(text);
  if (word == "AFTER") {
    statement.after = parseWirePosition(takeWireWord(text));
    if (!statement.after) return std::nullopt;
    word = takeWireWord(text);
  }
  auto verb = verbs.find(word);
  if (verb == verbs.end()) return std::nullopt;
  statement.verb = verb->second;
  if (!readFields(statement, text)) return std::nullopt;
  bool mayWait = statement.verb == WireVerb::read || statement.verb == WireVerb::begin || statement.verb == WireVerb::execute;
  if (statement.after && !mayWait) return std::nullopt;
  return statement;
}

std::string withoutAfter(const std::string& text) {
  auto rest = text;
  if (takeWireWord(rest) != "AFTER") return text;
  takeWireWord(rest);
  return rest;
}

}  // namespace tamarindshift::testing
