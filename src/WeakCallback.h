#pragma once

#include <memory>
#include <utility>

namespace Bergamotramp {

/** Returns a callback that calls @p method on the object of @p weak, or does nothing once the object has been destroyed. */
template <typename Object, typename... Parameters>
auto makeWeakCallback(std::weak_ptr<Object> weak, void (Object::*method)(Parameters...))
{
    return [weak = std::move(weak), method](auto &&...arguments) {
        if (const auto object = weak.lock()) {
            (object.get()->*method)(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

} // namespace Bergamotramp
