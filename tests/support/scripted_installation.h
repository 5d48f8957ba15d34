// A daemon in its own mode with scripted endpoints, each for a service or model of its own, so that
// a failure of one does not affect the requests of the others.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cluster.h"
#include "scripted_endpoint.h"

namespace balsambay::system_test {

class scripted_installation {
 public:
  // The daemon is "d1".
  explicit scripted_installation(const std::string& name,
                                 const std::vector<std::string>& flags = {});

  // The service has one endpoint, which replies with `reply`.
  void AddService(const std::string& name, const scripted_faults& how, const std::string& reply);
  // The model has two engines that hold all layers. `reply_to` is not asked for status requests.
  void AddModel(const std::string& name, const scripted_faults& how,
                const scripted_endpoint::reply_function& reply_to);

  reply_ptr CallService(const std::string& name, bool repeatable, const std::string& text = "");
  reply_ptr CallModel(const std::string& name, bool stream);

  cluster c;
  std::map<std::string, int> requests;                       // by endpoint, without status requests
  std::function<void(std::string_view request)> on_request;  // the same ones; may be null
  int timeout_ms = 1500;                                     // of the next calls
  std::string status_reply;                                  // of all endpoints, to status requests

 private:
  nlohmann::json Add(const std::string& id, const scripted_faults& how,
                     scripted_endpoint::reply_function reply_to);

  std::vector<std::unique_ptr<scripted_endpoint>> endpoints_;
};

// Number of the attempt in a request to an engine; 0: none.
int AttemptOf(std::string_view request);

}  // namespace balsambay::system_test
