#pragma once

#include <string>

namespace tamarindshift::testing {

// empty where the request, or its kind of request, carries no such header
template <class Request>
std::string headerOf(const Request& request, const std::string& name) {
  if constexpr (requires { request.headers.find(name); }) {
    auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
  } else {
    return {};
  }
}

}  // namespace tamarindshift::testing
