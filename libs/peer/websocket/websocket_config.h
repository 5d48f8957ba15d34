// Configuration of websocketpp for one thread, without logs, with small read buffers.
#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace balsambay::peer {

template <class Base>
struct single_thread_config : Base {
  using type = single_thread_config;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;
  static const bool enable_multithreading = false;  // NOLINT(readability-identifier-naming)

  struct transport_config : Base::transport_config {
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    static const bool enable_multithreading = false;  // NOLINT(readability-identifier-naming)
  };
  using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

  // A zone has up to 150 links, and messages are small.
  static const size_t connection_read_buffer_size = 4096;  // NOLINT(readability-identifier-naming)
};

using server_endpoint = websocketpp::server<single_thread_config<websocketpp::config::core>>;
using client_endpoint = websocketpp::client<single_thread_config<websocketpp::config::core_client>>;

}  // namespace balsambay::peer
