// Bounds of a JSON document, checked before its tree is built.
#ifndef POPLARRAMP_MODEL_JSON_BOUNDS_HPP
#define POPLARRAMP_MODEL_JSON_BOUNDS_HPP

#include "base/result.hpp"

#include <cstddef>
#include <string_view>

namespace poplarramp
{

struct json_bounds
{
    // Nested objects and lists.
    std::size_t max_depth = 0;
    // Members of all objects together.
    std::size_t max_fields = 0;
    // Values of all lists and objects together.
    std::size_t max_elements = 0;
    // Bytes of one string as written.
    std::size_t max_string_bytes = 0;
};

// Checks a document in one pass without allocation. Returns false and fills
// `why` with `bad_request` and the bound that is exceeded. A text that is not
// valid JSON may pass; a tree built from it has no more values than the bounds
// allow. Thread safe.
bool check_bounds(std::string_view text,
                  const json_bounds& bounds,
                  failure& why);

} // namespace poplarramp

#endif
