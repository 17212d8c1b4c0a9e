#pragma once

namespace tamarindshift {

enum class TransactionState { idle, open, failed };

}  // namespace tamarindshift
