// Runs the HTTP client of the daemons until its call has ended; see the header.
#include "http_client.h"

#include "net/http_client.h"
#include "net/loop.h"

namespace balsambay::ctl {
namespace {

net::client_request MakeCall(const http_request& request) {
  net::client_request call;
  call.method = request.method;
  call.url = "http://" + request.address + request.path;
  if (!request.token.empty()) call.headers.push_back({"Authorization", "Bearer " + request.token});
  call.body = request.body;
  call.header_timeout = request.timeout;
  return call;
}

bool MayHaveArrived(net::call_failure failure) {
  return failure == net::call_failure::kTimeout || failure == net::call_failure::kBroken;
}

}  // namespace

result<http_reply> Send(const http_request& request) {
  net::loop loop;
  const auto client = net::MakeHttpClient(loop.Timers());
  net::whole_reply reply;
  net::Fetch(*client, MakeCall(request),
             [&](const net::whole_reply& received) {
               reply = received;
               loop.Quit();
             },
             {.body_time = request.timeout});
  loop.Run();
  if (reply.end.failure != net::call_failure::kNone) {
    return Failure(MayHaveArrived(reply.end.failure) ? errc::kUnknownOutcome : errc::kUnavailable,
                   reply.end.detail);
  }
  return http_reply{static_cast<unsigned>(reply.status), reply.body};
}

}  // namespace balsambay::ctl
