// Reads and writes of connected sockets that assume nothing of how much a call moves. Asio waits for a new
// event after a short read or write, but where the rest was there already, or there was room, none comes; and
// its synchronous calls give up when they are interrupted. Here each call is tried until it would block. On
// the loop's thread; handlers are never called from within the call, and keep the socket alive.
#ifndef ANISEWICK_LINKS_STREAM_HPP_
#define ANISEWICK_LINKS_STREAM_HPP_

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "links/asio.hpp"

namespace anisewick::links {

// No failure of the connection: the call is to be made again once the socket is ready.
inline bool passing(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

// As a new connection needs it for the calls below.
inline void set_up(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
}

// Bytes that were written and that the peer's system has not acknowledged: they are lost if the connection is
// reset. The end of our half counts as one. 0 where the system cannot tell.
inline std::size_t undelivered_bytes(Tcp::socket& socket) {
  int bytes = 0;
  const bool known = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

// handler(error, size): some bytes have come. They stay in the kernel until then.
template <typename Handler>
void async_read_available(Tcp::socket& socket, asio::mutable_buffer to, Handler handler) {
  socket.async_wait(Tcp::socket::wait_read, [&socket, to, handler = std::move(handler)](Error error) mutable {
    const std::size_t size = error ? 0 : socket.read_some(asio::buffer(to), error);
    if (passing(error)) return async_read_available(socket, to, std::move(handler));
    handler(error, size);
  });
}

// handler(error, size): some bytes are written.
template <typename Buffers, typename Handler>
void async_write_available(Tcp::socket& socket, const Buffers& from, Handler handler) {
  Error error;
  const std::size_t size = socket.write_some(from, error);
  if (!passing(error)) {
    return asio::post(socket.get_executor(),
                      [error, size, handler = std::move(handler)]() mutable { handler(error, size); });
  }
  socket.async_wait(Tcp::socket::wait_write, [&socket, from, handler = std::move(handler)](Error e) mutable {
    if (e) return handler(e, 0);
    async_write_available(socket, from, std::move(handler));
  });
}

// What is to be written, in order; those that are not used are empty.
using Pieces = std::array<asio::const_buffer, 3>;

// Without the first `size` bytes.
inline Pieces after(Pieces pieces, std::size_t size) {
  for (asio::const_buffer& piece : pieces) {
    const std::size_t gone = std::min(size, piece.size());
    piece += gone;
    size -= gone;
  }
  return pieces;
}

// handler(error, size): all is written, or the connection is of no more use.
template <typename Handler>
void async_write_all(Tcp::socket& socket, const Pieces& pieces, Handler handler, std::size_t written = 0) {
  async_write_available(
      socket, pieces,
      [&socket, pieces, handler = std::move(handler), written](Error error, std::size_t size) mutable {
        const Pieces rest = after(pieces, size);
        written += size;
        if (error || asio::buffer_size(rest) == 0) return handler(error, written);
        async_write_all(socket, rest, std::move(handler), written);
      });
}

template <typename Handler>
void async_write_all(Tcp::socket& socket, asio::const_buffer bytes, Handler handler) {
  async_write_all(socket, Pieces{bytes}, std::move(handler));
}

}  // namespace anisewick::links

#endif  // ANISEWICK_LINKS_STREAM_HPP_
