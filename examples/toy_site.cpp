// A toy site for one doorman: the two depots and the event bus of examples/config.json, on 127.0.0.1.
// Each depot keeps what it was told to keep, says what it is asked, and makes the bytes up.
#include <asio.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace {

using asio::awaitable;
using asio::use_awaitable;
using Tcp = asio::ip::tcp;

struct Depot {
  std::string name;
  std::set<std::string> kept;
};

std::string answer_to(Depot& depot, const std::string& id, std::map<std::string, std::string>& fields) {
  const std::string& thing = fields["thing"];
  const bool kept = depot.kept.contains(thing);
  if (!kept && !fields.contains("from")) return id + " LACK - 0\r\n\r\n";
  if (fields.contains("rank")) depot.kept.insert(thing);
  const std::string body = fields["profile"] + " " + thing + " from " + depot.name + "\n";
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return id + " DONE ver=" + thing + ",born=" + std::to_string(born.count()) +
         ",remark=" + (kept ? "hit" : "filled") + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

awaitable<void> speak(Tcp::socket socket, Depot& depot) {
  std::string in;
  for (;;) {
    const std::size_t end =
        co_await asio::async_read_until(socket, asio::dynamic_buffer(in), "\r\n", use_awaitable);
    std::istringstream words(in.substr(0, end));
    in.erase(0, end);
    std::string verb, id, list, field;
    std::size_t length = 0;
    words >> verb >> id >> list >> length;
    std::cout << depot.name << ": " << verb << ' ' << id << ' ' << list << std::endl;
    if (verb != "fetch") continue;
    if (in.size() < length + 2) {
      co_await asio::async_read(socket, asio::dynamic_buffer(in),
                                asio::transfer_exactly(length + 2 - in.size()), use_awaitable);
    }
    in.erase(0, length + 2);
    std::map<std::string, std::string> fields;
    std::istringstream pairs(list);
    while (std::getline(pairs, field, ',')) {
      fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
    }
    const std::string answer = answer_to(depot, id, fields);
    co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
  }
}

// Nothing ever happens here: one empty frame a second after the number that the doorman has.
awaitable<void> tell(Tcp::socket socket) {
  std::string frame("\0\0\0\x09", 4);
  frame.resize(4 + 8);
  co_await asio::async_read(socket, asio::buffer(frame.data() + 4, 8), use_awaitable);
  frame.push_back('\0');
  asio::steady_timer second(socket.get_executor());
  for (;;) {
    co_await asio::async_write(socket, asio::buffer(frame), use_awaitable);
    second.expires_after(std::chrono::seconds(1));
    co_await second.async_wait(use_awaitable);
  }
}

template <typename Serve>
awaitable<void> listen(std::uint16_t port, Serve serve) {
  const auto executor = co_await asio::this_coro::executor;
  Tcp::acceptor acceptor(executor, {asio::ip::address_v4::loopback(), port});
  for (;;) {
    // A peer that goes away ends its own conversation, and nothing else.
    asio::co_spawn(executor, serve(co_await acceptor.async_accept(use_awaitable)), asio::detached);
  }
}

}  // namespace

int main() {
  asio::io_context io;
  Depot first{"s-00000001", {}}, second{"s-00000002", {}};
  const auto fatal = [](std::exception_ptr e) {
    if (e) std::rethrow_exception(e);
  };
  asio::co_spawn(io, listen(7101, [&](Tcp::socket s) { return speak(std::move(s), first); }), fatal);
  asio::co_spawn(io, listen(7102, [&](Tcp::socket s) { return speak(std::move(s), second); }), fatal);
  asio::co_spawn(io, listen(7070, [](Tcp::socket s) { return tell(std::move(s)); }), fatal);
  try {
    io.run();
  } catch (const std::exception& e) {
    std::cerr << "toy_site: " << e.what() << std::endl;
    return 1;
  }
}
