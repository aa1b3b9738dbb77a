#pragma once

#include <memory>
#include <utility>

namespace Bergamotramp {

/** A callback that calls @p method while the object lives, and does nothing afterwards. */
template <typename Object, typename... Parameters>
auto whileAlive(std::weak_ptr<Object> weak, void (Object::*method)(Parameters...))
{
    return [weak = std::move(weak), method](auto &&...arguments) {
        if (const auto object = weak.lock()) {
            (object.get()->*method)(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

} // namespace Bergamotramp
