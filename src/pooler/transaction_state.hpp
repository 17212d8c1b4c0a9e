/// State of a transaction.
#pragma once

namespace tamarindshift {

/// `idle`: no transaction; `failed`: only COMMIT and ROLLBACK are accepted.
enum class TransactionState { idle, open, failed };

}  // namespace tamarindshift
