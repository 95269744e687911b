// A keyed class: the origin drops a repeat by the client's key. Trouble: a depot's connection is reset after
// the origin has run the request and before its answer has gone out.
#include "rig.hpp"

using namespace rig;

namespace {

constexpr std::int64_t kWindowMs = 2000;  // the origin drops a repeat for so long

// The place where payments run, behind all depots.
class Origin {
 public:
  // By the body, which says which payment it is; the key tells the origin that it is a repeat.
  void run(const std::string& payment, const std::string& key) {
    const Lock lock(mutex_);
    const std::int64_t now = unix_ms();
    if (!key.empty()) {
      const auto it = at_.find(key);
      if (it != at_.end() && now - it->second <= kWindowMs) {
        record.say("origin: %s is a repeat of key %s and is dropped", payment.c_str(), key.c_str());
        return;
      }
      at_[key] = now;
    }
    ++runs_[payment];
    record.say("origin: runs %s, key %s, time %d", payment.c_str(), key.empty() ? "(none came)" : key.c_str(),
               runs_[payment]);
  }
  std::map<std::string, int> runs() {
    const Lock lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::int64_t> at_;
  std::map<std::string, int> runs_;
};

Origin origin;
std::atomic<int> payments{0};

void handle(Depot&, const std::shared_ptr<Peer>& peer, const Fetch& f) {
  if (f.fields.at("profile") == "payment-post") {
    const auto key = f.fields.find("replay");
    origin.run(f.body, key == f.fields.end() ? "" : key->second);
    // Every third is cut off after its effect, once; its repeat is answered.
    if (trouble() && payments++ % 3 == 0) {
      record.say("a depot resets the connection of %s before the answer", f.body.c_str());
      return peer->reset();
    }
    sleep_ms(20);
    return peer->answer(f.id, "DONE", "ver=paid,born=" + std::to_string(unix_ms()) + ",remark=filled",
                        "paid");
  }
  sleep_ms(20);
  peer->answer(f.id, "DONE", "ver=a,born=" + std::to_string(unix_ms()) + ",remark=hit", "bytes");
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
  c.drain_grace_ms = 2000;
  c.classes = {{"video-part", "free", 6000, 500, 0, 2.0, false, 0, true},
               {"doc-page", "free", 2500, 250, 0, 1.0, false, 0, true},
               {"payment-post", "guarded", 3000, 600, 0, 3.0, true, kWindowMs, false}};
  for (Depot* d : {&a, &b, &parent, &source}) d->start();
  bus.list(true, c.depots);
  bus.start();
  start_doorman(c);

  Client client(c.listen);
  int unanswered = 0;
  std::map<std::string, std::string> answers;
  for (std::uint64_t n = 1; n <= 12; ++n) {
    // Other work in between, as a counter has it.
    client.ask(request("doc-page", 1000 + n, 77 + n, 2500), 3000);
    const std::string payment = "payment-" + std::to_string(n);
    Fields fields = request("payment-post", n, mix(500 + n), 3000);
    fields.emplace_back("HTTP_X_DEDUPE_KEY", hex16(mix(9000 + n)) + hex16(mix(7000 + n)));
    fields.emplace_back("CONTENT_LENGTH", std::to_string(payment.size()));
    const Answer answer = client.ask(fields, 3500, payment);
    record.say("client: %s was answered %d (%s)", payment.c_str(), answer.status, answer.head.c_str());
    if (!answer.whole) ++unanswered;
    sleep_ms(100);
  }
  if (unanswered > 0) cannot("payments without an answer: another matter than this case's");
  int twice = 0;
  for (const auto& [payment, n] : origin.runs()) {
    if (n > 1) {
      ++twice;
      record.say("broken: %s ran %d times, though its tries came within 2 s under one key", payment.c_str(),
                 n);
    }
  }
  record.say("%zu payments ran, %d of them more than once", origin.runs().size(), twice);
  leave(twice > 0 ? 1 : 0);
}
