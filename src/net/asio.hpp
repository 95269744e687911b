// The names of the links' Asio that the network code uses under its own.
#ifndef ANISEWICK_NET_ASIO_HPP_
#define ANISEWICK_NET_ASIO_HPP_

#include "links/asio.hpp"
#include "links/discovery_client.hpp"
#include "links/stream.hpp"
#include "links/upstream_pool.hpp"

namespace anisewick::net {

using links::DiscoveryClient;
using links::endpoint_of;
using links::Error;
using links::steady_unix_now;
using links::Tallies;
using links::Tally;
using links::Tcp;
using links::unix_now;
using links::UpstreamPool;

}  // namespace anisewick::net

#endif  // ANISEWICK_NET_ASIO_HPP_
