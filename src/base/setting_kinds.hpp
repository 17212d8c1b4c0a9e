#pragma once

#include <set>

#include "base/address.hpp"
#include "base/setting.hpp"
#include "base/time.hpp"

namespace tamarindshift {

Setting addressSetting(std::string key, std::string meaning, Address& target);
Setting optionalAddressSetting(std::string key, std::string meaning, Address& target);
Setting seedsSetting(std::set<Address>& target);
Setting addressesSetting(std::string key, std::string meaning, std::set<Address>& target);
Setting detoursSetting(Detours& target);
Setting zoneSetting(Zone& target);
Setting textSetting(std::string key, std::string meaning, std::string& target, bool required);
Setting durationSetting(std::string key, std::string meaning, Duration& target, Duration least, Duration most);
Setting numberSetting(std::string key, std::string meaning, std::size_t& target, std::size_t least, std::size_t most);
Setting rationsSetting(bool& target);
Setting flagSetting(std::string key, std::string meaning, bool& target);

}  // namespace tamarindshift
