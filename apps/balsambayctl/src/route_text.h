// Routes for people.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace balsambay::ctl {

// "e1[0,5) > e2[5,8)" for an array of stages {"endpoint","first","end"}; stages of another form are
// shown as their JSON.
std::string RouteText(const nlohmann::json& stages);

}  // namespace balsambay::ctl
