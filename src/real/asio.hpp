#pragma once

#include <utility>

#include <boost/asio.hpp>
