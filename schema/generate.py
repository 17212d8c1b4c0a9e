"""Makes a C++ header of a client from calls.json: a struct for each body, and a function for each call that makes its request.

usage: generate.py SCHEMA HEADER
"""

import json
import re
import sys
from pathlib import Path

HEAD = """// made by schema/generate.py from schema/calls.json
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace tamarindshift::client {

using Json = nlohmann::json;

struct Request {
  std::string method;
  std::string path;
  std::string body;
};

// nothing where the body is not one of this kind; what it has besides is ignored
template <class Body>
std::optional<Body> read(const std::string& text) {
  try {
    return Json::parse(text).get<Body>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

template <class Value>
void take(const Json& json, const char* key, Value& value) {
  json.at(key).get_to(value);
}

template <class Value>
void take(const Json& json, const char* key, std::optional<Value>& value) {
  if (auto found = json.find(key); found != json.end()) value = found->get<Value>();
}

template <class Value>
void put(Json& json, const char* key, const Value& value) {
  json[key] = value;
}

template <class Value>
void put(Json& json, const char* key, const std::optional<Value>& value) {
  if (value) json[key] = *value;
}
"""


def capital(name):
    return name[0].upper() + name[1:]


def member(key):
    first, *rest = re.split("[-_]", key)
    return first + "".join(capital(part) for part in rest)


def references(schema):
    if isinstance(schema, dict):
        for key, value in schema.items():
            yield from [value.rsplit("/", 1)[1]] if key == "$ref" else references(value)


def ordered(bodies):
    done = []

    def visit(name):
        if name in done:
            return
        for needed in references(bodies[name]):
            visit(needed)
        done.append(name)

    for name in bodies:
        visit(name)
    return done


def cpp_type(schema):
    if "$ref" in schema:
        return schema["$ref"].rsplit("/", 1)[1]
    if "enum" in schema:
        return "std::string"
    kind = schema["type"]
    if kind == ["string", "null"]:
        return "Json"
    if kind == "array":
        return f"std::vector<{cpp_type(schema['items'])}>"
    if kind == "object":
        return f"std::map<std::string, {cpp_type(schema['additionalProperties'])}>" if "additionalProperties" in schema else "Json"
    return {"string": "std::string", "boolean": "bool", "integer": "std::uint64_t" if "minimum" in schema else "std::int64_t"}[kind]


def field(schema, key):
    inner = cpp_type(schema["properties"][key])
    if key not in schema["required"]:
        return f"std::optional<{inner}> {member(key)};"
    return f"{inner} {member(key)}" + ("{};" if inner in ("bool", "std::uint64_t", "std::int64_t") else ";")


def body(name, schema):
    if "properties" not in schema:
        return f"using {name} = {cpp_type(schema)};\n"
    keys = list(schema["properties"])
    lines = [f"// {schema['description']}"] if "description" in schema else []
    lines += [f"struct {name} {{", *(f"  {field(schema, key)}" for key in keys), "};", ""]
    lines += [f"inline void to_json(Json& json, const {name}&{' body' if keys else ''}) {{", "  json = Json::object();"]
    lines += [f'  put(json, "{key}", body.{member(key)});' for key in keys]
    lines += ["}", "", f"inline void from_json(const Json& json, {name}&{' body' if keys else ''}) {{"]
    lines += [f'  take(json, "{key}", body.{member(key)});' for key in keys] or ["  json.get_ref<const Json::object_t&>();"]
    return "\n".join(lines + ["}", ""])


def call(name, schema):
    parts = re.split(r"\{(\w+)\}", schema["path"])
    arguments = [f"const std::string& {part}" for part in parts[1::2]]
    if "body" in schema:
        arguments.append(f"const {schema['body']}& body")
    path = " + ".join([f'std::string("{parts[0]}")'] + [f'"{part}"' if index % 2 else part for index, part in enumerate(parts[1:]) if part])
    text = "Json(body).dump()" if "body" in schema else "{}"
    return f"""inline Request {name}({', '.join(arguments)}) {{ return Request{{"{schema['method']}", {path}, {text}}}; }}"""


def header(schema):
    pieces = [HEAD]
    pieces += [body(name, schema["$defs"][name]) for name in ordered(schema["$defs"])]
    for door, calls in schema["doors"].items():
        pieces.append("\n".join([f"namespace {door} {{", "", *(call(name, made) for name, made in calls.items()), "", f"}}  // namespace {door}", ""]))
    pieces.append("}  // namespace tamarindshift::client\n")
    return "\n".join(pieces)


if __name__ == "__main__":
    source, target = map(Path, sys.argv[1:])
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(header(json.loads(source.read_text())))
