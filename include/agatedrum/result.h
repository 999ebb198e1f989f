#pragma once

#include <utility>
#include <variant>

namespace agatedrum {

/// Either a value or an error of the layer that returns it. The two types must differ.
template<typename T, typename E>
using Result = std::variant<T, E>;

/// Value type of a Result that carries no value on success.
struct Done
{
};

template<typename T, typename E>
bool isOk(const Result<T, E> &result)
{
    return result.index() == 0;
}

/// Precondition: isOk(result).
template<typename T, typename E>
const T &value(const Result<T, E> &result)
{
    return std::get<0>(result);
}

/// Precondition: isOk(result).
template<typename T, typename E>
T takeValue(Result<T, E> &&result)
{
    return std::get<0>(std::move(result));
}

/// Precondition: !isOk(result).
template<typename T, typename E>
const E &error(const Result<T, E> &result)
{
    return std::get<1>(result);
}

} // namespace agatedrum
