// A toy site for one doorman: the depots, the parent, the origin and the event bus of examples/config.json,
// on 127.0.0.1. Each depot keeps what it was told to keep, says what it is asked, and makes the bytes up.
// With --origin there are no toy depots: anisewick_depot takes their place.
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "standin/site.hpp"

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

int main(int argc, char** argv) {
  const bool depots = argc < 2 || std::string(argv[1]) != "--origin";
  asio::io_context io;
  Depot first{"s-00000001", {}}, second{"s-00000002", {}};
  const auto fatal = [](std::exception_ptr e) {
    if (e) std::rethrow_exception(e);
  };
  try {
    using namespace anisewick;
    standin::EventBus bus(7070);
    standin::Origin parent(7108), origin(7109);
    bus::Event list;
    list.kind = bus::Event::Kind::kWholeList;
    list.depots = {standin::depot_at(1, 7101, 0), standin::depot_at(2, 7102, 0),
                   standin::depot_at(8, 7108, 1, 0), standin::depot_at(9, 7109, 2, 0)};
    bus.tell(list);
    // Something with a time of its own, by which a depot that returns knows the numbering again.
    bus.purge(0, standin::unix_ms());
    if (depots) {
      asio::co_spawn(io, listen(7101, [&](Tcp::socket s) { return speak(std::move(s), first); }), fatal);
      asio::co_spawn(io, listen(7102, [&](Tcp::socket s) { return speak(std::move(s), second); }), fatal);
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { io.stop(); });
    io.run();
  } catch (const std::exception& e) {
    std::cerr << "toy_site: " << e.what() << std::endl;
    return 1;
  }
}
