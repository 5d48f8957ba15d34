// Checks across sections: references, uniqueness and coverage of models.
#pragma once

#include <vector>

#include "inventory/inventory.h"

namespace balsambay::inventory::details {

// Appends what is wrong between the sections. Fields that already have an error of their own hold
// their default value and cause no second error.
void CheckConfiguration(const configuration& config, std::vector<field_error>& errors);

}  // namespace balsambay::inventory::details
