// A client names the copy that it holds. Trouble: some answers of depots arrive spoilt: there is noise in the
// tag of the copy.
#include "rig.hpp"

using namespace rig;

namespace {

// What each object's copy is called now; an outdated client has an older one.
std::string tag_now(std::uint64_t object) { return hex16(mix(object)); }

std::mutex mutex;
std::set<std::string>
    named;  // a request's id and a tag that a depot has named in an answer to it, as it went out
int answers = 0, spoilt = 0;

void handle(Depot&, const std::shared_ptr<Peer>& peer, const Fetch& f) {
  sleep_ms(20);
  const auto seen = f.fields.find("seen");
  const std::uint64_t object = std::strtoull(f.fields.at("thing").c_str(), nullptr, 16);
  const std::string tag = tag_now(object);
  std::string sent = tag;
  {
    const Lock lock(mutex);
    if (trouble() && answers++ % 3 == 0) {
      // Noise: other characters in some places, none of them one that ends a word, a field or a line.
      for (const std::size_t place : {3u, 8u, 11u}) sent[place] = sent[place] == 'x' ? 'y' : 'x';
      ++spoilt;
      record.say("%s: the answer arrives spoilt: %s for %s", f.id.c_str(), sent.c_str(), tag.c_str());
    }
    named.insert(f.id + " " + sent);
  }
  const std::string told = "ver=" + sent + ",born=" + std::to_string(unix_ms() - 1000) + ",remark=hit";
  if (seen != f.fields.end() && seen->second == tag) return peer->answer(f.id, "KEEP", told, "");
  peer->answer(f.id, "DONE", told, "bytes of " + tag);
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv, 60);
  Depot a(1, 1, 0, handle), b(2, 1, 0, handle), parent(8, 0, 1, handle), source(9, 0, 2, handle);
  Bus bus;
  Config c;
  c.listen = free_port();
  c.bus = bus.port();
  c.depots = {a.listed, b.listed, parent.listed, source.listed};
  c.classes = kBooking;
  for (Depot* d : {&a, &b, &parent, &source}) d->start();
  bus.list(true, c.depots);
  bus.start();
  start_doorman(c);

  Client client(c.listen);
  int wrong = 0, same = 0, bytes = 0;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    const std::uint64_t object = mix(40 + n);
    const std::string id = hex16(mix(n));
    Fields fields = request("guide-video", n, object, 5000);
    // Of four clients two hold the copy of now, one an older one, and one holds none.
    std::string held = n % 4 == 0 ? "" : n % 4 == 1 ? hex16(mix(object + 1)) : tag_now(object);
    if (!held.empty()) fields.emplace_back("HTTP_X_GOT", held);
    const Answer answer = client.ask(fields, 6000);
    if (!answer.whole) cannot("a request without an answer: another matter than this case's");
    record.say("client: request %s holds %s: status %d%s, %zu bytes", id.c_str(),
               held.empty() ? "none" : held.c_str(), answer.status,
               answer.same ? ", its copy is current" : "", answer.body.size());
    if (answer.served() && answer.same) {
      ++same;
      const Lock lock(mutex);
      if (!named.contains(id + " " + held)) {
        ++wrong;
        record.say("broken: no depot has named the copy %s that the client is told to use", held.c_str());
      }
    }
    bytes += answer.served() && !answer.same ? 1 : 0;
    sleep_ms(30);
  }
  record.say(
      "%d told that their copy is current, %d of them though no depot had named it; %d with bytes; %d spoilt",
      same, wrong, bytes, spoilt);
  if (same + bytes < 20) cannot("too little was served");
  leave(wrong > 0 ? 1 : 0);
}
